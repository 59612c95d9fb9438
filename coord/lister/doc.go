// Package lister keeps the lists of fault matrices, which stand beside the tests, equal to the tests' tables.
package lister
