// Package issuer makes certificates that sign themselves, in place of an authority, for tests.
package issuer
