// Package retrier decides after an attempt whether the request may be retried, and when it may be hedged.
package retrier
