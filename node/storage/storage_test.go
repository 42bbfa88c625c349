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

// openStorage opens folder for host h1.
func openStorage(t testing.TB, folder string) (*Storage, Content) {
	t.Helper()
	s, c, err := Open(Options{Folder: folder, Host: "h1"})
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

// testEntries returns the entries from index from through to, with data of
// different lengths.
func testEntries(from, to, term uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i)}, int(i*37%900)+1)})
	}
	return out
}

func testSnapshot(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{
		Index: index, Term: term, Data: bytes.Repeat([]byte("state"), 2000),
		Membership: consensus.Membership{Voters: []consensus.Member{{ID: 7, Host: "h1"}}},
	}
}

// writeBusyMember makes the writes of a member in a busy group: a first snapshot,
// entries, a compaction and the replacement of entries of an older term. It
// returns the expected content.
func writeBusyMember(t testing.TB, folder string) consensus.StoredState {
	t.Helper()
	s, c := openStorage(t, folder)
	snap := testSnapshot(40, 2)
	steps := []error{
		s.InitialiseGroup(testSnapshot(1, 1), consensus.HardState{Term: 1, Commit: 1}),
		s.Save(consensus.Ready{Entries: testEntries(2, 60, 2), HardState: &consensus.HardState{Term: 2, Vote: c.ID, Commit: 1}}),
		s.Compact(snap, 30),
		s.Save(consensus.Ready{Entries: testEntries(55, 80, 3), HardState: &consensus.HardState{Term: 3, Commit: 54}}),
		s.Close(),
	}
	if err := errors.Join(steps...); err != nil {
		t.Fatal(err)
	}
	all := append(testEntries(30, 54, 2), testEntries(55, 80, 3)...)
	return consensus.StoredState{HardState: consensus.HardState{Term: 3, Commit: 54}, Snapshot: snap, Entries: all}
}

// TestReopenKeepsContent guards against a member whose content or identity is lost
// or changed by a restart.
func TestReopenKeepsContent(t *testing.T) {
	folder := t.TempDir()
	empty, first := openStorage(t, folder)
	_ = empty.Close()
	want := writeBusyMember(t, folder)
	s, got := openStorage(t, folder)
	defer func() { _ = s.Close() }()
	if first.Joined || !got.Joined || first.ID != got.ID {
		t.Errorf("member id %x with joined %v, after reopening %x with joined %v; want the same id, and joined only after reopening", first.ID, first.Joined, got.ID, got.Joined)
	}
	if !reflect.DeepEqual(got.Initial, want) {
		t.Errorf("content differs after reopening; its hard state is %+v", got.Initial.HardState)
	}
	if _, err := consensus.New(consensus.Options{ElectionTimeout: 1, Rand: rand.New(rand.NewSource(1))}, got.Initial, 0); err != nil {
		t.Error(err)
	}
	if _, _, err := Open(Options{Folder: folder, Host: "h1"}); !errors.As(err, new(*LockedError)) {
		t.Errorf("second Open of an open folder: got error %v, want a *LockedError", err)
	}
}

// TestCorruptFile guards against a corrupt file that opens with changed content:
// the file must be refused unless the change is in unused space.
func TestCorruptFile(t *testing.T) {
	source := t.TempDir()
	want := writeBusyMember(t, source)
	file, err := os.ReadFile(filepath.Join(source, fileName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewSource(1))
	refused, unchanged := 0, 0
	for i := range 400 {
		corrupted := bytes.Clone(file)
		change := "truncate"
		if i%8 == 0 {
			corrupted = corrupted[:rng.Intn(len(corrupted))]
		} else {
			offset := rng.Intn(len(corrupted) / 2)
			change = fmt.Sprint("change at ", offset)
			corrupted[offset] ^= byte(1 + rng.Intn(255))
		}
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, fileName), corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		s, got, err := Open(Options{Folder: folder, Host: "h1"})
		if err != nil {
			refused++
			continue
		}
		unchanged++
		_ = s.Close()
		if !reflect.DeepEqual(got.Initial, want) {
			t.Fatalf("%s: opened with changed content", change)
		}
	}
	t.Logf("%d refused, %d in unused space", refused, unchanged)
}

// TestDamagedPageHeadersAreRefused guards against a start that never ends, or ends the process, since
// damage is noticed only while bbolt looks for the free pages.
func TestDamagedPageHeadersAreRefused(t *testing.T) {
	source := t.TempDir()
	want := writeBusyMember(t, source)
	file, err := os.ReadFile(filepath.Join(source, fileName))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), fileName)
	rng := rand.New(rand.NewSource(2))
	refused := 0
	for page := firstDataPage; page < len(file)/pageSize; page++ {
		for offset := range pageHeaderBytes {
			corrupted := bytes.Clone(file)
			corrupted[page*pageSize+offset] ^= byte(1 + rng.Intn(255))
			if err := os.WriteFile(path, corrupted, 0o600); err != nil {
				t.Fatal(err)
			}
			s, got, err := Open(Options{Folder: filepath.Dir(path), Host: "h1"})
			var corruption *CorruptionError
			switch {
			case err != nil && !errors.As(err, &corruption):
				t.Fatalf("page %d, byte %d: error %v, want a CorruptionError", page, offset, err)
			case err != nil:
				refused++
			default:
				_ = s.Close()
				if !reflect.DeepEqual(got.Initial, want) {
					t.Fatalf("page %d, byte %d: opened with changed content", page, offset)
				}
			}
		}
	}
	if refused == 0 {
		t.Error("no damage was refused")
	}
	t.Logf("%d of %d refused, the others in free pages", refused, pageHeaderBytes*(len(file)/pageSize-firstDataPage))
}

// TestTornWrite guards against a torn write that changes the content: pages of an
// unacknowledged transaction, whose meta page was not written, must be ignored.
func TestTornWrite(t *testing.T) {
	folder := t.TempDir()
	want := writeBusyMember(t, folder)
	path := filepath.Join(folder, fileName)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, _ := openStorage(t, folder)
	if err := errors.Join(s.Save(consensus.Ready{Entries: testEntries(81, 90, 3)}), s.Close()); err != nil {
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
	s, got := openStorage(t, folder)
	defer func() { _ = s.Close() }()
	if !reflect.DeepEqual(got.Initial, want) {
		t.Error("a transaction without its meta page changed the content")
	}
}

// TestOpenRefusesWrongFolder guards against a member that starts on a folder of
// another host or program. A crash during the creation of the file must not
// prevent the start.
func TestOpenRefusesWrongFolder(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(folder string) error
		want    any
	}{
		{"other host", func(f string) error {
			s, _, err := Open(Options{Folder: f, Host: "h2"})
			return errors.Join(err, s.Close())
		}, new(*ForeignFolderError)},
		{"other program", func(f string) error { return os.WriteFile(filepath.Join(f, "x.txt"), nil, 0o600) }, new(*ForeignFolderError)},
		{"file truncated to zero bytes", func(f string) error { return os.WriteFile(filepath.Join(f, fileName), nil, 0o600) }, new(*CorruptionError)},
		{"file in place of the folder", func(f string) error {
			return errors.Join(os.Remove(f), os.WriteFile(f, nil, 0o600))
		}, new(*FolderError)},
		{"crash while creating", func(f string) error { return os.WriteFile(filepath.Join(f, newFileName), []byte("x"), 0o600) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "data")
			if err := errors.Join(os.Mkdir(folder, 0o700), c.prepare(folder)); err != nil {
				t.Fatal(err)
			}
			_, content, err := Open(Options{Folder: folder, Host: "h1"})
			if c.want == nil && (err != nil || content.Joined) || c.want != nil && !errors.As(err, c.want) {
				t.Errorf("Open: error %v is not the wanted one, or the content is marked as joined", err)
			}
		})
	}
}

// TestDiskFull guards against the loss of accepted records when the disk is full,
// and against a member that cannot continue once there is space again.
func TestDiskFull(t *testing.T) {
	folder := t.TempDir()
	want := writeBusyMember(t, folder)
	s, _, err := Open(Options{Folder: folder, Host: "h1", MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	tooLarge := consensus.Ready{Entries: []consensus.Entry{{Index: 81, Term: 3, Data: make([]byte, 4<<20)}}}
	var writeErr *WriteError
	if err := s.Save(tooLarge); !errors.As(err, &writeErr) || !writeErr.OutOfSpace {
		t.Fatalf("save of 4 MiB with a limit of 1 MiB: got error %v, want a *WriteError with OutOfSpace set", err)
	}
	if err := errors.Join(s.Save(consensus.Ready{Entries: testEntries(81, 82, 3)}), s.Close()); err != nil {
		t.Fatalf("save after a full disk: %v", err)
	}
	s, got := openStorage(t, folder)
	defer func() { _ = s.Close() }()
	want.Entries = append(want.Entries, testEntries(81, 82, 3)...)
	if !reflect.DeepEqual(got.Initial, want) {
		t.Error("content after a full disk differs from the accepted writes")
	}
}

// FuzzRecord guards against records that crash the decoder, and against bytes that
// decode although the encoder never writes them.
func FuzzRecord(f *testing.F) {
	f.Add(indexKey(3), encodeEntry(consensus.Entry{Index: 3, Term: 2, Data: []byte("x")}))
	f.Add(keyHardState, encodeHardState(hardStateRecord{consensus.HardState{Term: 4, Vote: 5, Commit: 6}, 7}))
	snap, _ := encodeSnapshot(testSnapshot(3, 2))
	f.Add(keySnapshot, snap)
	identity, _ := encodeIdentity(identityRecord{ID: 1, Host: "h"})
	f.Add(keyIdentity, identity)
	f.Fuzz(func(t *testing.T, key, raw []byte) {
		// The raw bytes rarely have a matching checksum, so they are also tried with a
		// checksum added.
		for _, record := range [][]byte{raw, setChecksum(key, append(make([]byte, checksumBytes), raw...))} {
			if e, err := decodeEntry(key, record); err == nil && !bytes.Equal(encodeEntry(e), record) {
				t.Errorf("decoded entry %v encodes to other bytes", e)
			}
			if h, err := decodeHardState(record); err == nil && !bytes.Equal(encodeHardState(h), record) {
				t.Errorf("decoded hard state %v encodes to other bytes", h)
			}
			_, _ = decodeSnapshot(record)
			_, _ = decodeIdentity(record)
		}
	})
}
