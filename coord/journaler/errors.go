package journaler

import "fmt"

// DamageError reports where stored data are damaged, other than by a torn write at the end of the log.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FolderError reports a data folder that is incomplete or belongs to another replica.
type FolderError struct {
	Folder string
	Reason string
}

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder %s: %s", e.Folder, e.Reason)
}

// OpError reports a failed operation, after which the journal refuses all writes.
type OpError struct {
	Op   string
	File string
	Err  error
}

// Error implements error.
func (e *OpError) Error() string {
	return fmt.Sprintf("%s of %s failed: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the cause, for example syscall.ENOSPC.
func (e *OpError) Unwrap() error { return e.Err }

// SizeError reports a batch or record larger than MaxBatchBytes.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("batch of %d bytes exceeds the maximum of %d", e.Bytes, MaxBatchBytes)
}
