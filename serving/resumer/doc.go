// Package resumer remembers which service and software version began each stream, so that it goes on only there.
package resumer
