// Package malformer lists lines that no head of an HTTP message may hold, for tests of what reads heads.
package malformer
