// Package retrier judges how an attempt ended and decides whether the request may be tried again.
package retrier
