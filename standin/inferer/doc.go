// Package inferer serves a modelled engine by the model engines' HTTP protocol, with faults that can be switched on.
package inferer
