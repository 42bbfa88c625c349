package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	bolt "go.etcd.io/bbolt"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

// Layout of a bbolt meta page: a page header, then fields and their FNV-1a
// checksum. The offsets count from the end of the page header.
const (
	pageHeaderBytes    = 16
	metaRootOffset     = 16
	metaEndOffset      = 40
	metaTxOffset       = 48
	metaChecksumOffset = 56
	metaBytes          = 64
)

// verifiedContent is the decoded content of a file that passed all checks.
type verifiedContent struct {
	identity identityRecord
	initial  consensus.StoredState
}

// verifyFile reads and checks all content of the file. It opens the file only for
// reading, and must succeed before the file is opened for writing.
func verifyFile(path string) (v verifiedContent, err error) {
	if err := checkStructure(path); err != nil {
		return v, err
	}
	defer recoverCorruption(&err)
	db, err := openFile(path, 0, true)
	if err != nil {
		return v, toCorruptionError(err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(v.readAll)
	return v, toCorruptionError(err)
}

// recoverCorruption converts a panic to a CorruptionError: on corrupt pages bbolt
// panics or reads outside its memory mapping.
func recoverCorruption(err *error) {
	if cause := recover(); cause != nil {
		*err = corruptionErrorf("the database cannot be opened or read: %v", cause)
	}
}

// checkStructure checks the meta pages and all pages in use of the file.
func checkStructure(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	root, end, err := checkMetaPages(f)
	if err != nil {
		return err
	}
	return checkPages(f, root, end)
}

// checkMetaPages checks that both meta pages are intact and belong to consecutive
// transactions. If the newer page is corrupt, bbolt uses the older one, which
// would lose an acknowledged transaction. A torn write cannot corrupt a meta page,
// because its fields lie within one sector. It returns the root page and the end of the
// pages of the newer one.
func checkMetaPages(f io.ReaderAt) (root, end uint64, err error) {
	var txIDs [2]uint64
	for i := range txIDs {
		var b [metaBytes]byte
		if _, err := f.ReadAt(b[:], int64(i*pageSize+pageHeaderBytes)); err != nil {
			return 0, 0, corruptionErrorf("meta page %d: %v", i, err)
		}
		hash := fnv.New64a()
		_, _ = hash.Write(b[:metaChecksumOffset])
		if hash.Sum64() != binary.NativeEndian.Uint64(b[metaChecksumOffset:]) {
			return 0, 0, corruptionErrorf("meta page %d does not match its checksum", i)
		}
		txIDs[i] = binary.NativeEndian.Uint64(b[metaTxOffset:])
		if i == 0 || txIDs[1] > txIDs[0] {
			root, end = binary.NativeEndian.Uint64(b[metaRootOffset:]), binary.NativeEndian.Uint64(b[metaEndOffset:])
		}
	}
	if max(txIDs[0], txIDs[1])-min(txIDs[0], txIDs[1]) != 1 {
		return 0, 0, corruptionErrorf("meta pages belong to transactions %d and %d, which are not consecutive", txIDs[0], txIDs[1])
	}
	return root, end, nil
}

// readAll reads all records of tx into v and checks them.
func (v *verifiedContent) readAll(tx *bolt.Tx) error {
	member, log := tx.Bucket(bucketMember), tx.Bucket(bucketLog)
	if member == nil || log == nil {
		return corruptionErrorf("the member bucket or the log bucket is missing")
	}
	var err error
	if v.identity, err = decodeIdentity(member.Get(keyIdentity)); err != nil {
		return err
	}
	record, err := decodeHardState(member.Get(keyHardState))
	if err != nil {
		return err
	}
	v.initial.HardState = record.hardState
	if snapshot := member.Get(keySnapshot); snapshot != nil {
		if v.initial.Snapshot, err = decodeSnapshot(snapshot); err != nil {
			return err
		}
	}
	if v.initial.Snapshot.Index == 0 && record.lastIndex > 0 {
		// The log of every member starts with a snapshot, both in a new group and after
		// a member joins.
		return corruptionErrorf("the snapshot is missing")
	}
	if err := v.readLog(log); err != nil {
		return err
	}
	return v.checkEntries(record.lastIndex)
}

// readLog appends the entries of the log bucket to v.
func (v *verifiedContent) readLog(log *bolt.Bucket) error {
	return log.ForEach(func(key, record []byte) error {
		e, err := decodeEntry(key, record)
		v.initial.Entries = append(v.initial.Entries, e)
		return err
	})
}

// checkEntries checks that the entries continue the snapshot without a gap up to
// the recorded lastIndex. They may start before the end of the snapshot.
func (v *verifiedContent) checkEntries(lastIndex uint64) error {
	next := v.initial.Snapshot.Index + 1
	for i, e := range v.initial.Entries {
		if i == 0 && e.Index <= next {
			next = e.Index
		}
		if e.Index != next {
			return corruptionErrorf("entry %d is missing", next)
		}
		next++
	}
	if next-1 != lastIndex {
		return corruptionErrorf("the log ends at entry %d instead of %d", next-1, lastIndex)
	}
	return nil
}

// toCorruptionError converts an error of opening or reading the database to a
// CorruptionError, except for LockedError and permission errors.
func toCorruptionError(err error) error {
	var corruption *CorruptionError
	var locked *LockedError
	if err == nil || errors.As(err, &corruption) || errors.As(err, &locked) || errors.Is(err, os.ErrPermission) {
		return err
	}
	return corruptionErrorf("the database cannot be opened or read: %s", fmt.Sprint(err))
}

// withFolder adds the folder to a CorruptionError, and wraps any error that does
// not name a folder in a FolderError.
func withFolder(err error, folder string) error {
	var corruption *CorruptionError
	if errors.As(err, &corruption) {
		corruption.Folder = folder
		return corruption
	}
	var locked *LockedError
	if errors.As(err, &locked) {
		return err
	}
	return &FolderError{folder, err}
}
