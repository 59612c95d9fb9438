// Package modeler simulates a model engine and a weight store in virtual time: continuous batching, adapter slots, loads, prefix cache, faults.
package modeler
