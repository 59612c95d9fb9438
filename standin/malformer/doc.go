// Package malformer has malformed heads of HTTP messages and a server that sends them, for tests of what reads heads.
package malformer
