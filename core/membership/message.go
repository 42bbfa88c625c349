package membership

import "cmp"

// Kind tells host records from backend server records.
type Kind uint8

// Record kinds.
const (
	KindHost Kind = iota
	KindServer
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Version orders the states of one record. Revision is the sequence of the
// announcement that last changed the state; a silent record follows the heard
// record of the same revision.
type Version struct {
	Key         Key
	Incarnation uint64
	Revision    uint64
	Silent      bool
}

// after reports whether v is a later state than o of the same record.
func (v Version) after(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation > o.Incarnation
	}
	if v.Revision != o.Revision {
		return v.Revision > o.Revision
	}
	return v.Silent && !o.Silent
}

// HostRecord is a host's state as it is spread.
type HostRecord struct {
	Host
	Revision uint64
}

// ServerRecord is a backend server's state as it is spread. The load is zero
// outside the server's data centre. Sequence is the newest announcement that
// is known to describe the same state.
type ServerRecord struct {
	Server
	Revision uint64
	// Silent records that the hosts of the server's data centre did not hear
	// from it after Sequence.
	Silent bool
}

// Beat confirms that a state is still current. ID is the hash of its key,
// incarnation and revision, so a beat of a state that the receiver does not
// hold changes nothing.
type Beat struct {
	ID       uint64
	Sequence uint64
	Load     Load
}

// Digest summarises all records: one hash for each bucket of keys.
type Digest []uint64

// Difference answers a digest with the versions in the buckets that differ.
type Difference struct {
	// Incarnation is that of the process that sent the digest, so that a
	// restarted host does not take the answer to its predecessor for its own.
	Incarnation uint64
	Buckets     []uint32
	Versions    []Version
}

// Message is what one host sends to another. Any part may be empty.
type Message struct {
	// From and FromAddress are the sending host and its peer address.
	From        string
	FromAddress string
	// Incarnation is that of the sending process.
	Incarnation uint64
	// To is the peer address of the receiver.
	To         string
	Hosts      []HostRecord
	Servers    []ServerRecord
	Beats      []Beat
	Digest     Digest
	Difference *Difference
	Want       []Key
}
