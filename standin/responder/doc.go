// Package responder implements the JSON answers, errors and admin calls that all stand-in servers share.
package responder
