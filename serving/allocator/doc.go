// Package allocator decides which engine holds which adapters, as a state machine without goroutine, clock or socket.
//
// Callers' processes ask for adapters that no engine holds and report what is in use; the allocator answers with
// orders to load adapters and to evict those that are used least. Nothing that is in use is evicted while another
// adapter can make way.
package allocator
