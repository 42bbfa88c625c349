package storage

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

func open(t testing.TB, folder string) (*Storage, Content) {
	t.Helper()
	s, c, err := Open(Options{Folder: folder, Host: "h1"})
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

func entries(from, to, term uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i)}, int(i*37%900)+1)})
	}
	return out
}

func snapshot(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{
		Index: index, Term: term, Data: bytes.Repeat([]byte("state"), 2000),
		Membership: consensus.Membership{Voters: []consensus.Member{{ID: 7, Host: "h1"}}},
	}
}

// fill writes what a member writes in a busy group and returns the content.
func fill(t testing.TB, folder string) consensus.StoredState {
	t.Helper()
	s, c := open(t, folder)
	snap := snapshot(40, 2)
	steps := []error{
		s.Found(snapshot(1, 1), consensus.HardState{Term: 1, Commit: 1}),
		s.Save(consensus.Ready{Entries: entries(2, 60, 2), HardState: &consensus.HardState{Term: 2, Vote: c.ID, Commit: 1}}),
		s.Compact(snap, 30),
		s.Save(consensus.Ready{Entries: entries(55, 80, 3), HardState: &consensus.HardState{Term: 3, Commit: 54}}),
		s.Close(),
	}
	if err := errors.Join(steps...); err != nil {
		t.Fatal(err)
	}
	all := append(entries(30, 54, 2), entries(55, 80, 3)...)
	return consensus.StoredState{HardState: consensus.HardState{Term: 3, Commit: 54}, Snapshot: snap, Entries: all}
}

// TestReopen guards against content that is lost or changed by a restart, and
// against an identity that changes.
func TestReopen(t *testing.T) {
	folder := t.TempDir()
	fresh, first := open(t, folder)
	_ = fresh.Close()
	want := fill(t, folder)
	s, got := open(t, folder)
	defer func() { _ = s.Close() }()
	if first.Joined || !got.Joined || first.ID != got.ID {
		t.Errorf("identity %x joined %v, then %x joined %v", first.ID, first.Joined, got.ID, got.Joined)
	}
	if !reflect.DeepEqual(got.Initial, want) {
		t.Errorf("content differs: %v", got.Initial.HardState)
	}
	if _, err := consensus.New(consensus.Options{ElectionTimeout: 1, Rand: rand.New(rand.NewSource(1))}, got.Initial, 0); err != nil {
		t.Error(err)
	}
	if _, _, err := Open(Options{Folder: folder, Host: "h1"}); !errors.As(err, new(*LockedError)) {
		t.Errorf("second open: %v", err)
	}
}

// TestDamage guards against a damaged file that opens with other content:
// every change either goes unnoticed because it is in unused space, or is
// refused.
func TestDamage(t *testing.T) {
	source := t.TempDir()
	want := fill(t, source)
	file, err := os.ReadFile(filepath.Join(source, fileName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewSource(1))
	refused, same := 0, 0
	for i := range 400 {
		damaged := bytes.Clone(file)
		what := "truncate"
		if i%8 == 0 {
			damaged = damaged[:rng.Intn(len(damaged))]
		} else {
			at := rng.Intn(len(damaged) / 2)
			what = fmt.Sprint("change at ", at)
			damaged[at] ^= byte(1 + rng.Intn(255))
		}
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, fileName), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		s, got, err := Open(Options{Folder: folder, Host: "h1"})
		if err != nil {
			refused++
			continue
		}
		same++
		_ = s.Close()
		if !reflect.DeepEqual(got.Initial, want) {
			t.Fatalf("%s: opened with other content", what)
		}
	}
	t.Logf("%d refused, %d in unused space", refused, same)
}

// TestTornWrite guards the truncation of an unacknowledged tail: pages of a
// transaction whose meta page was not written are ignored.
func TestTornWrite(t *testing.T) {
	folder := t.TempDir()
	want := fill(t, folder)
	path := filepath.Join(folder, fileName)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, _ := open(t, folder)
	if err := errors.Join(s.Save(consensus.Ready{Entries: entries(81, 90, 3)}), s.Close()); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copy(after, before[:2*pageSize])
	if err := os.WriteFile(path, after, 0o600); err != nil {
		t.Fatal(err)
	}
	s, got := open(t, folder)
	defer func() { _ = s.Close() }()
	if !reflect.DeepEqual(got.Initial, want) {
		t.Error("a transaction without its meta page changed the content")
	}
}

// TestFolders guards against starting on a folder that is not this member's.
func TestFolders(t *testing.T) {
	cases := []struct {
		name   string
		change func(folder string) error
		want   any
	}{
		{"other host", func(f string) error {
			s, _, err := Open(Options{Folder: f, Host: "h2"})
			return errors.Join(err, s.Close())
		}, new(*ForeignFolderError)},
		{"other program", func(f string) error { return os.WriteFile(filepath.Join(f, "x.txt"), nil, 0o600) }, new(*ForeignFolderError)},
		{"file cut to nothing", func(f string) error { return os.WriteFile(filepath.Join(f, fileName), nil, 0o600) }, new(*CorruptionError)},
		{"file in place of the folder", func(f string) error {
			return errors.Join(os.Remove(f), os.WriteFile(f, nil, 0o600))
		}, new(*FolderError)},
		{"crash while creating", func(f string) error { return os.WriteFile(filepath.Join(f, newFileName), []byte("x"), 0o600) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "data")
			if err := errors.Join(os.Mkdir(folder, 0o700), c.change(folder)); err != nil {
				t.Fatal(err)
			}
			_, content, err := Open(Options{Folder: folder, Host: "h1"})
			if c.want == nil && (err != nil || content.Joined) || c.want != nil && !errors.As(err, c.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestFull guards against losing accepted records when the disk is full, and
// against a member that cannot go on once there is space again.
func TestFull(t *testing.T) {
	folder := t.TempDir()
	want := fill(t, folder)
	s, _, err := Open(Options{Folder: folder, Host: "h1", MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	big := consensus.Ready{Entries: []consensus.Entry{{Index: 81, Term: 3, Data: make([]byte, 4<<20)}}}
	var full *WriteError
	if err := s.Save(big); !errors.As(err, &full) || !full.Full {
		t.Fatalf("got %v", err)
	}
	if err := errors.Join(s.Save(consensus.Ready{Entries: entries(81, 82, 3)}), s.Close()); err != nil {
		t.Fatalf("after a full disk: %v", err)
	}
	s, got := open(t, folder)
	defer func() { _ = s.Close() }()
	want.Entries = append(want.Entries, entries(81, 82, 3)...)
	if !reflect.DeepEqual(got.Initial, want) {
		t.Error("content differs after a full disk")
	}
}

// FuzzRecord guards the reading of records against crashes and against bytes
// that decode although they were not written so.
func FuzzRecord(f *testing.F) {
	f.Add(indexKey(3), encodeEntry(consensus.Entry{Index: 3, Term: 2, Data: []byte("x")}))
	f.Add(keyHard, encodeHard(hardRecord{consensus.HardState{Term: 4, Vote: 5, Commit: 6}, 7}))
	snap, _ := encodeSnapshot(snapshot(3, 2))
	f.Add(keySnapshot, snap)
	identity, _ := encodeIdentity(identityRecord{ID: 1, Host: "h"})
	f.Add(keyIdentity, identity)
	f.Fuzz(func(t *testing.T, key, raw []byte) {
		// Sealing lets the fuzzer past the checksum.
		for _, record := range [][]byte{raw, seal(key, append(make([]byte, sumBytes), raw...))} {
			if e, err := decodeEntry(key, record); err == nil && !bytes.Equal(encodeEntry(e), record) {
				t.Errorf("entry %v", e)
			}
			if h, err := decodeHard(record); err == nil && !bytes.Equal(encodeHard(h), record) {
				t.Errorf("hard state %v", h)
			}
			_, _ = decodeSnapshot(record)
			_, _ = decodeIdentity(record)
		}
	})
}
