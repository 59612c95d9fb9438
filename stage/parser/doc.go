// Package parser reads the heads and bodies of HTTP messages more strictly than the libraries do, which take more than the protocol allows.
package parser
