// Package streamer has the types of a request and its streamed answer within an entry process.
package streamer
