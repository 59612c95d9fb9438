// Package allocator decides which engine holds which adapters, as a state machine without goroutines, clock or sockets.
//
// Entries request adapters that no engine holds and report adapters in use; the allocator answers with orders to load
// adapters and to evict the least used ones. No adapter in use is evicted while another one can be.
package allocator
