// Package comparer measures the traffic policy against baselines at a virtual time, before a model of the engines and the store.
package comparer
