// Package balancer chooses the backend server for a request at one entry, from the leader's reports about servers and
// adapters and from the results of this entry's attempts.
package balancer
