// Package encoder encodes own messages as CBOR, for connect-go handlers over plain structs and for files.
package encoder
