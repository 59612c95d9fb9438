// Package leaser grants leases with epochs: one holder a key, numbers that only grow over restarts and changes of leader.
//
// A Granter lives in the memory of a leader for one era. An era is a number that a replicated log gives to each
// leadership, so that a later leader has a higher one. A new leader knows nothing of the leases of the last: it takes up
// what holders claim and waits until all others have run out before it grants.
package leaser
