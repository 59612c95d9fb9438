// Package balancer chooses the backend server for a request at one entry, from what the leader tells of servers and
// adapters and from what this entry sees of their answers.
package balancer
