// Package prefixer estimates which engines still hold the beginning of a prompt, so that they need not prefill it again.
package prefixer
