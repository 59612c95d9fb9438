// Package spreader spreads a keyed state by revision from one place to many: deltas where they can be had, else the full state, never backwards.
package spreader
