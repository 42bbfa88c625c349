package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	bolt "go.etcd.io/bbolt"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

// Layout of a bbolt meta page: a page header, then fields with an FNV-1a
// checksum over them.
const (
	pageHeaderBytes = 16
	metaTxOffset    = 48
	metaSumOffset   = 56
	metaBytes       = 64
)

type verified struct {
	identity identityRecord
	initial  consensus.StoredState
}

// verify reads and checks everything that the file holds before the file is
// opened for writing.
func verify(path string) (v verified, err error) {
	if err := checkMeta(path); err != nil {
		return v, err
	}
	defer recoverDamage(&err)
	db, err := openFile(path, 0, true)
	if err != nil {
		return v, asCorruption(err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(v.read)
	return v, asCorruption(err)
}

// recoverDamage turns a panic into a CorruptionError: damaged pages make bbolt
// panic or read outside its mapping.
func recoverDamage(err *error) {
	if p := recover(); p != nil {
		*err = corrupt("%v", p)
	}
}

// checkMeta requires both meta pages to be intact. bbolt alone would fall back
// to the older page and lose an acknowledged transaction. A torn write cannot
// damage a meta page, since its fields lie within one sector.
func checkMeta(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	var tx [2]uint64
	for i := range tx {
		var b [metaBytes]byte
		if _, err := f.ReadAt(b[:], int64(i*pageSize+pageHeaderBytes)); err != nil {
			return corrupt("meta page %d: %v", i, err)
		}
		h := fnv.New64a()
		_, _ = h.Write(b[:metaSumOffset])
		if h.Sum64() != binary.NativeEndian.Uint64(b[metaSumOffset:]) {
			return corrupt("meta page %d does not match its checksum", i)
		}
		tx[i] = binary.NativeEndian.Uint64(b[metaTxOffset:])
	}
	if max(tx[0], tx[1])-min(tx[0], tx[1]) != 1 {
		return corrupt("meta pages are of transactions %d and %d", tx[0], tx[1])
	}
	return nil
}

func (v *verified) read(tx *bolt.Tx) error {
	member, log := tx.Bucket(bucketMember), tx.Bucket(bucketLog)
	if member == nil || log == nil {
		return corrupt("a bucket is missing")
	}
	var err error
	if v.identity, err = decodeIdentity(member.Get(keyIdentity)); err != nil {
		return err
	}
	hard, err := decodeHard(member.Get(keyHard))
	if err != nil {
		return err
	}
	v.initial.HardState = hard.hard
	if record := member.Get(keySnapshot); record != nil {
		if v.initial.Snapshot, err = decodeSnapshot(record); err != nil {
			return err
		}
	}
	if v.initial.Snapshot.Index == 0 && hard.last > 0 {
		// A group starts with a snapshot, and so does every new member's log.
		return corrupt("the snapshot is missing")
	}
	if err := v.readLog(log); err != nil {
		return err
	}
	return v.checkLog(hard.last)
}

func (v *verified) readLog(log *bolt.Bucket) error {
	return log.ForEach(func(key, record []byte) error {
		e, err := decodeEntry(key, record)
		v.initial.Entries = append(v.initial.Entries, e)
		return err
	})
}

// checkLog requires the entries to continue the snapshot without a gap up to
// the recorded last index.
func (v *verified) checkLog(last uint64) error {
	next := v.initial.Snapshot.Index + 1
	for i, e := range v.initial.Entries {
		if i == 0 && e.Index <= next {
			next = e.Index
		}
		if e.Index != next {
			return corrupt("entry %d is missing", next)
		}
		next++
	}
	if next-1 != last {
		return corrupt("the log ends at entry %d instead of %d", next-1, last)
	}
	return nil
}

// asCorruption turns bbolt's complaints about the file into a CorruptionError.
func asCorruption(err error) error {
	var corruption *CorruptionError
	var locked *LockedError
	if err == nil || errors.As(err, &corruption) || errors.As(err, &locked) || errors.Is(err, os.ErrPermission) {
		return err
	}
	return corrupt("%s", fmt.Sprint(err))
}

// inFolder names the folder in an error.
func inFolder(err error, folder string) error {
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
