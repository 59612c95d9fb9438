// Package reckoner reckons the memory that requests take at engines, in tokens, and orders the requests that wait for room.
package reckoner
