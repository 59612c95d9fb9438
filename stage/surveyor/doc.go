// Package surveyor measures what one more entry, server, adapter, change, load permit or booking costs the control plane.
package surveyor
