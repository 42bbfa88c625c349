package storage

import (
	"errors"
	"fmt"
	"syscall"

	bolterrors "go.etcd.io/bbolt/errors"
)

// CorruptionError reports a data folder whose content is not what was written.
// The member must not start: it may have acknowledged what is missing. Emptying
// the folder makes the host join as a new member.
type CorruptionError struct {
	Folder string
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: data folder %s is corrupt: %s", e.Folder, e.Reason)
}

func corrupt(format string, args ...any) *CorruptionError {
	return &CorruptionError{Reason: fmt.Sprintf(format, args...)}
}

// ForeignFolderError reports a folder that belongs to another host or program.
type ForeignFolderError struct {
	Folder string
	Reason string
}

func (e *ForeignFolderError) Error() string {
	return fmt.Sprintf("storage: %s is not this host's data folder: %s", e.Folder, e.Reason)
}

// LockedError reports that another process uses the folder.
type LockedError struct{ Folder string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("storage: data folder %s is used by another process", e.Folder)
}

// FolderError reports a folder that cannot be read or created.
type FolderError struct {
	Folder string
	Err    error
}

func (e *FolderError) Error() string { return fmt.Sprintf("storage: folder %s: %v", e.Folder, e.Err) }

// Unwrap returns the system's error.
func (e *FolderError) Unwrap() error { return e.Err }

// WriteError reports a write that did not take effect; what was written before
// is intact. After a full disk the same write can be repeated. After any other
// error the member must stop, because a failed sync may be forgotten by the
// system.
type WriteError struct {
	Full bool
	Err  error
}

func (e *WriteError) Error() string { return fmt.Sprintf("storage: write: %v", e.Err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

func writeError(err error) error {
	if err == nil {
		return nil
	}
	full := errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, bolterrors.ErrMaxSizeReached)
	return &WriteError{Full: full, Err: err}
}
