// Package lister keeps the faults.json files beside the tests equal to the tests' fault matrices.
package lister
