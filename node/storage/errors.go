package storage

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"

	bolterrors "go.etcd.io/bbolt/errors"
)

// CorruptionError reports a data folder whose content differs from what the member
// wrote. The member must not start, because it may have acknowledged entries that
// are now missing. If the folder is emptied, the host joins as a new member.
type CorruptionError struct {
	Folder string
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: data folder %s is corrupt: %s", e.Folder, e.Reason)
}

// corruptionErrorf returns a CorruptionError without a folder; withFolder adds it.
func corruptionErrorf(format string, args ...any) *CorruptionError {
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

// LockedError reports that another process has opened the folder.
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

// Unwrap returns the error of the operating system or of bbolt.
func (e *FolderError) Unwrap() error { return e.Err }

// WriteError reports a write that had no effect; earlier writes are intact. If
// OutOfSpace is set, the disk, the quota or the limit MaxBytes is exhausted and the
// same write can be repeated. After any other error the member must stop, because
// the operating system may report a failed sync only once, and a repeated write
// could then succeed without being durable.
type WriteError struct {
	OutOfSpace bool
	Err        error
}

func (e *WriteError) Error() string { return fmt.Sprintf("storage: write: %v", e.Err) }

// Unwrap returns the error of bbolt or of the operating system.
func (e *WriteError) Unwrap() error { return e.Err }

// writeError wraps err in a *WriteError. It returns nil if err is nil.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	return &WriteError{OutOfSpace: isOutOfSpace(err), Err: err}
}

// growErrors begin the errors with which bbolt fails to make the file larger. It does so before
// it writes any page of the transaction. These errors hold that of the system as text only.
var growErrors = []string{"file resize error: ", "file sync error: "}

func isOutOfSpace(err error) bool {
	if errors.Is(err, bolterrors.ErrMaxSizeReached) {
		return true
	}
	text := err.Error()
	growing := slices.ContainsFunc(growErrors, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
	for _, e := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT} {
		if errors.Is(err, e) || growing && strings.HasSuffix(text, e.Error()) {
			return true
		}
	}
	return false
}
