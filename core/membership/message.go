package membership

import "cmp"

// Kind distinguishes host records from backend server records.
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

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Version orders the states of one record. Revision is the sequence of the
// announcement that last changed the state; a silent record is later than one of
// the same revision that is not silent.
type Version struct {
	Key         Key
	Incarnation uint64
	Revision    uint64
	Silent      bool
}

// after reports whether v is a later state than other of the same record.
func (v Version) after(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.Silent && !other.Silent
}

// HostRecord is a host's state as it is gossiped.
type HostRecord struct {
	Host
	Revision uint64
}

// ServerRecord is a backend server's state as it is gossiped. The load is zero
// outside the server's data centre. Sequence is that of the newest announcement
// known to describe the same state.
type ServerRecord struct {
	Server
	Revision uint64
	// Silent is set when the hosts of the server's data centre have received no
	// announcement after Sequence for SilentAfter.
	Silent bool
	// ModelsSequence is the sequence number of the announcement that Models is from. Where a change
	// of adapters is no new state, records of one revision may differ in it.
	ModelsSequence uint64
}

// Heartbeat confirms that a state is still current. ID is the hash of the state's
// key, incarnation and revision, so a receiver that does not hold the state
// ignores the heartbeat.
type Heartbeat struct {
	ID       uint64
	Sequence uint64
	Load     Load
}

// Digest summarises all records: one hash for each bucket of keys.
type Digest []uint64

// Difference is the response to a digest: the versions in the buckets that
// differ.
type Difference struct {
	// Incarnation is the incarnation of the process that sent the digest, so that
	// a restarted host does not accept a response to its previous process.
	Incarnation uint64
	Buckets     []uint32
	Versions    []Version
}

// Message is a gossip message from one host to another. Any part may be empty.
type Message struct {
	// From and FromAddress are the sending host and its peer address.
	From        string
	FromAddress string
	// Incarnation is the incarnation of the sending process.
	Incarnation uint64
	// To is the peer address of the receiver.
	To         string
	Hosts      []HostRecord
	Servers    []ServerRecord
	Heartbeats []Heartbeat
	Digest     Digest
	Difference *Difference
	// RequestedKeys holds the keys of the records that the sender requests.
	RequestedKeys []Key
}
