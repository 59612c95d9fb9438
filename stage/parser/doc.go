// Package parser checks the heads of HTTP messages more strictly than the libraries that read the rest of them.
package parser
