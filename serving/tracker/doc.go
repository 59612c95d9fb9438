// Package tracker keeps the backend servers' announcements: which instances are known, their current start, and which
// are leaving.
package tracker
