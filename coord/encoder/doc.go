// Package encoder encodes internal messages as CBOR, for files and for connect-go handlers over plain structs.
package encoder
