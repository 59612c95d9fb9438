// Package journaler stores batches of records and one snapshot in a data folder: each batch is checksummed and synced
// before it is acknowledged, and a checkpoint bounds how much is read at the next start.
package journaler
