// Package spreader propagates a revisioned keyed state from one source to many replicas: by deltas where available, else in full, never backwards.
package spreader
