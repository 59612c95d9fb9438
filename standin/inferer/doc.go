// Package inferer serves a simulated engine over the model engines' HTTP protocol, with injectable faults.
package inferer
