// Package responder writes the JSON bodies and errors that all stand-in servers share.
package responder
