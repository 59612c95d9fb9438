// Package limiter admits the requests of client accounts within quotas that all entries share.
package limiter
