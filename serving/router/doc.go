// Package router picks the backend servers that a request is offered to, in order, without state for each adapter.
package router
