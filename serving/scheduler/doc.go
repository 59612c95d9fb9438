// Package scheduler decides for the backend servers that one entry owns: queues, sends, adapter loads, evictions, cancels.
package scheduler
