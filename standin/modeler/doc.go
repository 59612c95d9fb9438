// Package modeler models a model engine and a weight store at a virtual time: continuous batching, adapter slots, loads, prefix cache, faults.
package modeler
