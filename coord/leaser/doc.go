// Package leaser grants leases with epochs: one holder per key, and epochs that grow over restarts and leader changes.
//
// A leader keeps a Granter in memory for one leader epoch, the number that a replicated log assigns to each leadership;
// later leaders have higher ones. A new leader doesn't know the leases of earlier ones: it accepts the holders' claims
// and waits until all other leases have expired before it grants.
package leaser
