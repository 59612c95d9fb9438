// Package streamer holds the types of a request and its streamed answer that the packages of an entry process share.
package streamer
