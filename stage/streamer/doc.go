// Package streamer carries one request and its answer between the parts of an entry process.
package streamer
