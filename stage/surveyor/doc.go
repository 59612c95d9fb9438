// Package surveyor measures how control's cost grows with nodes, servers, adapters, changes, wake-ups and bookings.
package surveyor
