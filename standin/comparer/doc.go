// Package comparer simulates the traffic policy and baselines in virtual time against a model of the engines and the adapter store.
package comparer
