// Package quarantiner finds requests that crash backend servers and has them refused everywhere.
package quarantiner
