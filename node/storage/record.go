package storage

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

// Every record starts with an 8-byte checksum of its key and the rest, because
// bbolt has checksums only on its two meta pages. Numbers are big-endian.
const (
	sumBytes   = 8
	entryFixed = sumBytes + 8 + 1     // checksum, term, kind
	hardFixed  = sumBytes + 4*8       // checksum, term, vote, commit, last index
	snapFixed  = sumBytes + 8 + 8 + 4 // checksum, index, term, membership length
)

func seal(key, record []byte) []byte {
	binary.BigEndian.PutUint64(record, sum(key, record[sumBytes:]))
	return record
}

func sum(key, rest []byte) uint64 {
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.Write(key)
	_, _ = d.Write(rest)
	return d.Sum64()
}

// unseal checks length and checksum and returns the record without the checksum.
func unseal(key, record []byte, fixed int) ([]byte, bool) {
	if len(record) < fixed || binary.BigEndian.Uint64(record) != sum(key, record[sumBytes:]) {
		return nil, false
	}
	return record[sumBytes:], true
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func encodeEntry(e consensus.Entry) []byte {
	r := make([]byte, sumBytes, entryFixed+len(e.Data))
	r = binary.BigEndian.AppendUint64(r, e.Term)
	r = append(r, byte(e.Kind))
	r = append(r, e.Data...)
	return seal(indexKey(e.Index), r)
}

func decodeEntry(key, record []byte) (consensus.Entry, error) {
	if len(key) != 8 {
		return consensus.Entry{}, &CorruptionError{Reason: "log key is not 8 bytes"}
	}
	index := binary.BigEndian.Uint64(key)
	b, ok := unseal(key, record, entryFixed)
	if !ok {
		return consensus.Entry{}, corrupt("entry %d does not match its checksum", index)
	}
	e := consensus.Entry{Index: index, Term: binary.BigEndian.Uint64(b), Kind: consensus.EntryKind(b[8])}
	if len(b) > 9 {
		e.Data = append([]byte(nil), b[9:]...)
	}
	return e, nil
}

// hardRecord also holds the last index of the log, which shows that no record
// at the end is missing.
type hardRecord struct {
	hard consensus.HardState
	last uint64
}

func encodeHard(h hardRecord) []byte {
	r := make([]byte, sumBytes, hardFixed)
	for _, v := range []uint64{h.hard.Term, h.hard.Vote, h.hard.Commit, h.last} {
		r = binary.BigEndian.AppendUint64(r, v)
	}
	return seal(keyHard, r)
}

func decodeHard(record []byte) (hardRecord, error) {
	b, ok := unseal(keyHard, record, hardFixed)
	if !ok || len(record) != hardFixed {
		return hardRecord{}, corrupt("hard state does not match its checksum")
	}
	at := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	return hardRecord{consensus.HardState{Term: at(0), Vote: at(1), Commit: at(2)}, at(3)}, nil
}

func encodeSnapshot(s consensus.Snapshot) ([]byte, error) {
	members, err := json.Marshal(s.Membership)
	if err != nil {
		return nil, err
	}
	r := make([]byte, sumBytes, snapFixed+len(members)+len(s.Data))
	r = binary.BigEndian.AppendUint64(r, s.Index)
	r = binary.BigEndian.AppendUint64(r, s.Term)
	r = binary.BigEndian.AppendUint32(r, uint32(len(members)))
	r = append(append(r, members...), s.Data...)
	return seal(keySnapshot, r), nil
}

func decodeSnapshot(record []byte) (consensus.Snapshot, error) {
	b, ok := unseal(keySnapshot, record, snapFixed)
	if !ok {
		return consensus.Snapshot{}, corrupt("snapshot does not match its checksum")
	}
	s := consensus.Snapshot{Index: binary.BigEndian.Uint64(b), Term: binary.BigEndian.Uint64(b[8:])}
	n := uint64(binary.BigEndian.Uint32(b[16:]))
	b = b[20:]
	if n > uint64(len(b)) {
		return s, corrupt("snapshot membership is cut")
	}
	if err := json.Unmarshal(b[:n], &s.Membership); err != nil {
		return s, corrupt("snapshot membership: %v", err)
	}
	s.Data = append([]byte(nil), b[n:]...)
	return s, nil
}

// identityRecord binds the folder to one member.
type identityRecord struct {
	ID   uint64 `json:"id"`
	Host string `json:"host"`
	// Joined is set once the member has belonged to a group.
	Joined bool `json:"joined,omitempty"`
}

func encodeIdentity(i identityRecord) ([]byte, error) {
	data, err := json.Marshal(i)
	if err != nil {
		return nil, err
	}
	return seal(keyIdentity, append(make([]byte, sumBytes), data...)), nil
}

func decodeIdentity(record []byte) (identityRecord, error) {
	var i identityRecord
	b, ok := unseal(keyIdentity, record, sumBytes)
	if !ok {
		return i, corrupt("identity does not match its checksum")
	}
	if err := json.Unmarshal(b, &i); err != nil || i.ID == 0 {
		return i, corrupt("identity has no id: %v", err)
	}
	return i, nil
}
