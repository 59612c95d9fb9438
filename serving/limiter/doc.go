// Package limiter admits the requests of client accounts within quotas that all entries share.
//
// An entry has a Set of buckets, one for each limited account. Half of an account's rate is split evenly between all entries,
// which refill their buckets with it by themselves for a bounded time after the leader's last sign of life. The other half
// goes into the leader's Pool, from which entries that report demand get one-time additions. The package has no clock.
package limiter
