// Package issuer issues self-signed certificates for tests.
package issuer
