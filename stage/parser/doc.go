// Package parser checks the status lines of HTTP responses more strictly than the libraries that read the rest of them.
package parser
