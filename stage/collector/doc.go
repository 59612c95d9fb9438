// Package collector reads bodies into memory within a budget that all connections of a process share.
package collector
