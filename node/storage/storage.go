// Package storage keeps one consensus member's identity, hard state, log and
// snapshot in one data folder. Every write is one synced bbolt transaction, so
// a torn write leaves the state before it.
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
	// newFileName is the file while it is created; it has never been used.
	newFileName = "consensus.db.new"
	// lockWait bounds the wait for a predecessor process that is exiting.
	lockWait = 2 * time.Second
	pageSize = 4096
)

var (
	bucketMember = []byte("member")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("identity")
	keyHard      = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

// Storage is one member's open data folder. It is safe for concurrent use.
type Storage struct {
	db     *bolt.DB
	folder string
}

// Content is what a data folder holds.
type Content struct {
	// ID is the member's identity: a random number made with the folder.
	ID uint64
	// Joined is set once the member has belonged to a group.
	Joined  bool
	Initial consensus.StoredState
}

// Options open a data folder.
type Options struct {
	Folder string
	// Host is this host's name. A folder made by another host is refused.
	Host string
	// MaxBytes bounds the file; zero means no bound besides the disk.
	MaxBytes int
}

// Open opens the folder, or makes it a new member's if it is empty.
func Open(o Options) (*Storage, Content, error) {
	path := filepath.Join(o.Folder, fileName)
	if err := prepare(o); err != nil {
		return nil, Content{}, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	content, err := verify(path)
	if err != nil {
		return nil, Content{}, inFolder(err, o.Folder)
	}
	if content.identity.Host != o.Host {
		return nil, Content{}, &ForeignFolderError{o.Folder, "it was made by host " + content.identity.Host}
	}
	db, err := openFile(path, o.MaxBytes, false)
	if err != nil {
		return nil, Content{}, inFolder(err, o.Folder)
	}
	s := &Storage{db: db, folder: o.Folder}
	return s, Content{ID: content.identity.ID, Joined: content.identity.Joined, Initial: content.initial}, nil
}

// Close releases the folder.
func (s *Storage) Close() error { return s.db.Close() }

// openFile opens the database. The list of free pages is not stored but
// rebuilt, so that it cannot be corrupt, and a commit writes one page less.
func openFile(path string, maxBytes int, readOnly bool) (db *bolt.DB, err error) {
	defer recoverDamage(&err)
	db, err = bolt.Open(path, 0o600, &bolt.Options{
		Timeout: lockWait, NoFreelistSync: true, FreelistType: bolt.FreelistMapType,
		PageSize: pageSize, MaxSize: maxBytes, ReadOnly: readOnly,
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, &LockedError{Folder: filepath.Dir(path)}
	}
	return db, err
}

// prepare checks the folder and creates the file if the folder is empty.
func prepare(o Options) error {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return &FolderError{o.Folder, err}
	}
	list, err := os.ReadDir(o.Folder)
	if err != nil {
		return &FolderError{o.Folder, err}
	}
	foreign := ""
	for _, f := range list {
		switch f.Name() {
		case fileName:
			return nil
		case newFileName, "lost+found":
		default:
			foreign = f.Name()
		}
	}
	if foreign != "" {
		return &ForeignFolderError{o.Folder, "it holds " + foreign + " and no " + fileName}
	}
	if err := create(o); err != nil {
		return &FolderError{o.Folder, err}
	}
	return nil
}

// create makes the file under another name first, so that a crash meanwhile
// leaves a folder that still counts as empty.
func create(o Options) error {
	path := filepath.Join(o.Folder, newFileName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := openFile(path, 0, false)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error { return initialise(tx, o.Host) })
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(path, filepath.Join(o.Folder, fileName)); err != nil {
		return err
	}
	return errors.Join(syncFolder(o.Folder), syncFolder(filepath.Dir(o.Folder)))
}

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
	return errors.Join(member.Put(keyIdentity, record), member.Put(keyHard, encodeHard(hardRecord{})))
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Save makes a Ready's durable part durable in one synced transaction.
func (s *Storage) Save(r consensus.Ready) error {
	return writeError(s.db.Update(func(tx *bolt.Tx) error { return save(tx, r) }))
}

func save(tx *bolt.Tx, r consensus.Ready) error {
	member, log := tx.Bucket(bucketMember), tx.Bucket(bucketLog)
	hard, err := decodeHard(member.Get(keyHard))
	if err != nil {
		return err
	}
	if r.Snapshot != nil {
		if err := putSnapshot(member, *r.Snapshot); err != nil {
			return err
		}
		if err := deleteRange(log, 0, hard.last); err != nil {
			return err
		}
		hard.last = r.Snapshot.Index
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		if err := deleteRange(log, first, hard.last); err != nil {
			return err
		}
		for _, e := range r.Entries {
			if err := log.Put(indexKey(e.Index), encodeEntry(e)); err != nil {
				return err
			}
		}
		hard.last = first + uint64(len(r.Entries)) - 1
	}
	if r.HardState != nil {
		hard.hard = *r.HardState
	}
	if err := markJoined(member); err != nil {
		return err
	}
	return member.Put(keyHard, encodeHard(hard))
}

// Found makes an empty folder the first state of a new group.
func (s *Storage) Found(snapshot consensus.Snapshot, hard consensus.HardState) error {
	return s.Save(consensus.Ready{Snapshot: &snapshot, HardState: &hard})
}

// markJoined records that the member has taken part in a group, so that it
// never helps to found another.
func markJoined(member *bolt.Bucket) error {
	i, err := decodeIdentity(member.Get(keyIdentity))
	if err != nil || i.Joined {
		return err
	}
	i.Joined = true
	record, err := encodeIdentity(i)
	if err != nil {
		return err
	}
	return member.Put(keyIdentity, record)
}

// Compact replaces the stored snapshot and drops the entries below index
// dropped. The entry at dropped stays, since its term is needed.
func (s *Storage) Compact(snapshot consensus.Snapshot, dropped uint64) error {
	return writeError(s.db.Update(func(tx *bolt.Tx) error {
		if dropped > 0 {
			if err := deleteRange(tx.Bucket(bucketLog), 0, dropped-1); err != nil {
				return err
			}
		}
		return putSnapshot(tx.Bucket(bucketMember), snapshot)
	}))
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
	c := log.Cursor()
	// Keys are collected first, since deleting moves a cursor.
	var keys [][]byte
	for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
