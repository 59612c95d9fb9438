// Package placer keeps the adapter slots of one backend server: what is loaded, what is pinned and what may be evicted.
package placer
