// Package tracker keeps what backend servers say of themselves: who is there, since when, and who is leaving.
package tracker
