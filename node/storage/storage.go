// Package storage stores the identity, hard state, log and snapshot of one
// consensus member in a data folder. Every write is one synced bbolt transaction,
// so that after a torn write the previous state is still there.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

const (
	fileName = "consensus.db"
	// newFileName is the name of the file while it is being created. A file of this
	// name holds nothing that was acknowledged.
	newFileName = "consensus.db.new"
	// lockTimeout is the longest wait for the file lock, which a previous process
	// may still hold while it exits.
	lockTimeout = 2 * time.Second
	pageSize    = 4096
)

var (
	bucketMember = []byte("member")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

// Storage is the open data folder of one member. It is safe for concurrent use.
type Storage struct {
	db         *bolt.DB
	folder     string
	writeFault func() error
}

// Content is the content of a data folder when it is opened.
type Content struct {
	// ID identifies the member. It is a random number that is generated when the
	// folder is initialised.
	ID uint64
	// Joined is set once the member has taken part in a group.
	Joined  bool
	Initial consensus.StoredState
}

// Options are the parameters of Open.
type Options struct {
	Folder string
	// Host is this host's name. A folder that another host initialised is refused.
	Host string
	// MaxBytes is the largest size of the file; zero means that only the disk
	// limits it.
	MaxBytes int
	// WriteFault returns the error that the disk gives to writes at the time of the call, or
	// nil. Only tests set it.
	WriteFault func() error
}

// Open opens the folder and verifies its content. It initialises an empty folder
// for a new member. Its errors are *FolderError, *ForeignFolderError, *LockedError
// and *CorruptionError.
func Open(o Options) (*Storage, Content, error) {
	path := filepath.Join(o.Folder, fileName)
	if err := prepareFolder(o); err != nil {
		return nil, Content{}, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	content, err := verifyFile(path)
	if err != nil {
		return nil, Content{}, withFolder(err, o.Folder)
	}
	if content.identity.Host != o.Host {
		return nil, Content{}, &ForeignFolderError{o.Folder, "it was initialised by host " + content.identity.Host}
	}
	db, err := openFile(path, o.MaxBytes, false)
	if err != nil {
		return nil, Content{}, withFolder(err, o.Folder)
	}
	s := &Storage{db: db, folder: o.Folder, writeFault: o.WriteFault}
	return s, Content{ID: content.identity.ID, Joined: content.identity.Joined, Initial: content.initial}, nil
}

// Close closes the file and releases its lock.
func (s *Storage) Close() error { return s.db.Close() }

// openFile opens the database. The list of free pages is rebuilt at each start
// instead of stored, so that it cannot be corrupt and a commit writes one page
// less.
func openFile(path string, maxBytes int, readOnly bool) (db *bolt.DB, err error) {
	defer recoverCorruption(&err)
	db, err = bolt.Open(path, 0o600, &bolt.Options{
		Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bolt.FreelistMapType,
		PageSize: pageSize, MaxSize: maxBytes, ReadOnly: readOnly,
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, &LockedError{Folder: filepath.Dir(path)}
	}
	return db, err
}

// prepareFolder creates the folder if it is missing, and the file if the folder is
// empty. It refuses a folder with other files and no database.
func prepareFolder(o Options) error {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return &FolderError{o.Folder, err}
	}
	files, err := os.ReadDir(o.Folder)
	if err != nil {
		return &FolderError{o.Folder, err}
	}
	foreignFile := ""
	for _, file := range files {
		switch file.Name() {
		case fileName:
			return nil
		case newFileName, "lost+found":
		default:
			foreignFile = file.Name()
		}
	}
	if foreignFile != "" {
		return &ForeignFolderError{o.Folder, "it contains " + foreignFile + " and no " + fileName}
	}
	if err := createFile(o); err != nil {
		return &FolderError{o.Folder, err}
	}
	return nil
}

// createFile creates the file under newFileName and then renames it, so that the
// folder still counts as empty after a crash in between.
func createFile(o Options) error {
	path := filepath.Join(o.Folder, newFileName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := openFile(path, 0, false)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		if err := initialise(tx, o.Host); err != nil || o.WriteFault == nil {
			return err
		}
		return o.WriteFault()
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(path, filepath.Join(o.Folder, fileName)); err != nil {
		return err
	}
	return errors.Join(syncFolder(o.Folder), syncFolder(filepath.Dir(o.Folder)))
}

// initialise writes a random member id and an empty hard state.
func initialise(tx *bolt.Tx, host string) error {
	member, err := tx.CreateBucket(bucketMember)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return err
	}
	record, err := encodeIdentity(identityRecord{ID: binary.BigEndian.Uint64(id[:]) | 1, Host: host})
	if err != nil {
		return err
	}
	return errors.Join(member.Put(keyIdentity, record), member.Put(keyHardState, encodeHardState(hardStateRecord{})))
}

// syncFolder makes the creation and renaming of files in a folder durable.
func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Save writes the snapshot, entries and hard state of r in one synced transaction.
// A snapshot replaces the log, and entries replace those from the first new index.
// It also marks the member as joined. The error is a *WriteError.
func (s *Storage) Save(r consensus.Ready) error {
	return s.update(func(tx *bolt.Tx) error { return save(tx, r) })
}

// update makes one synced transaction. The error is a *WriteError.
func (s *Storage) update(f func(tx *bolt.Tx) error) error {
	return writeError(s.db.Update(func(tx *bolt.Tx) error {
		if err := f(tx); err != nil || s.writeFault == nil {
			return err
		}
		return s.writeFault()
	}))
}

func save(tx *bolt.Tx, r consensus.Ready) error {
	member, log := tx.Bucket(bucketMember), tx.Bucket(bucketLog)
	record, err := decodeHardState(member.Get(keyHardState))
	if err != nil {
		return err
	}
	if r.Snapshot != nil {
		if err := putSnapshot(member, *r.Snapshot); err != nil {
			return err
		}
		if err := deleteRange(log, 0, record.lastIndex); err != nil {
			return err
		}
		record.lastIndex = r.Snapshot.Index
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		if err := deleteRange(log, first, record.lastIndex); err != nil {
			return err
		}
		for _, e := range r.Entries {
			if err := log.Put(indexKey(e.Index), encodeEntry(e)); err != nil {
				return err
			}
		}
		record.lastIndex = first + uint64(len(r.Entries)) - 1
	}
	if r.HardState != nil {
		record.hardState = *r.HardState
	}
	if err := markJoined(member); err != nil {
		return err
	}
	return member.Put(keyHardState, encodeHardState(record))
}

// InitialiseGroup writes the first state of a new group to the folder of a member
// that has joined no group. The error is a *WriteError.
func (s *Storage) InitialiseGroup(snapshot consensus.Snapshot, hard consensus.HardState) error {
	return s.Save(consensus.Ready{Snapshot: &snapshot, HardState: &hard})
}

// markJoined records that the member has taken part in a group, so that it never
// takes part in forming a new one.
func markJoined(member *bolt.Bucket) error {
	identity, err := decodeIdentity(member.Get(keyIdentity))
	if err != nil || identity.Joined {
		return err
	}
	identity.Joined = true
	record, err := encodeIdentity(identity)
	if err != nil {
		return err
	}
	return member.Put(keyIdentity, record)
}

// Compact replaces the stored snapshot and deletes the entries before index
// firstKept. The entry at firstKept stays because its term is needed. The error is
// a *WriteError.
func (s *Storage) Compact(snapshot consensus.Snapshot, firstKept uint64) error {
	return s.update(func(tx *bolt.Tx) error {
		if firstKept > 0 {
			if err := deleteRange(tx.Bucket(bucketLog), 0, firstKept-1); err != nil {
				return err
			}
		}
		return putSnapshot(tx.Bucket(bucketMember), snapshot)
	})
}

func putSnapshot(member *bolt.Bucket, s consensus.Snapshot) error {
	record, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return member.Put(keySnapshot, record)
}

// deleteRange deletes the entries from first through last.
func deleteRange(log *bolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	// Collect the keys first, because a deletion moves the cursor.
	var keys [][]byte
	for k, _ := cursor.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = cursor.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
