// Package marker names the HTTP headers used between callers, the serving layer and backend servers.
package marker
