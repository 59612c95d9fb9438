// Package scheduler schedules the work of the backend servers that one entry owns: queues, sends, adapter loads, evictions, cancels.
package scheduler
