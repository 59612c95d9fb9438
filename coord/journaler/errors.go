package journaler

import "fmt"

// DamageError names the place where stored data are damaged before the end of the journal.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FolderError says that a data folder belongs to another cluster or replica.
type FolderError struct {
	Folder string
	Reason string
}

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder %s: %s", e.Folder, e.Reason)
}

// FailedError says which operation failed; the journal takes no more records after it.
type FailedError struct {
	Op   string
	File string
	Err  error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%s of %s failed: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the cause, for example syscall.ENOSPC.
func (e *FailedError) Unwrap() error { return e.Err }

// SizeError says that a batch is larger than a frame may be.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("batch of %d bytes, at most %d", e.Bytes, MaxBatchBytes)
}
