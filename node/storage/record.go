package storage

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

// Every record starts with an 8-byte checksum of its key and the rest of the
// record, because bbolt has checksums only on its two meta pages. Numbers are
// big-endian. The constants are the lengths of the parts of fixed length.
const (
	checksumBytes      = 8
	entryFixedBytes    = checksumBytes + 8 + 1     // checksum, term, kind
	hardStateBytes     = checksumBytes + 4*8       // checksum, term, vote, commit, last index
	snapshotFixedBytes = checksumBytes + 8 + 8 + 4 // checksum, index, term, membership length
)

// setChecksum writes the checksum into the first bytes of record and returns
// record.
func setChecksum(key, record []byte) []byte {
	binary.BigEndian.PutUint64(record, checksum(key, record[checksumBytes:]))
	return record
}

// checksum returns the checksum of a key and the part of its record after the
// checksum.
func checksum(key, rest []byte) uint64 {
	hash := xxhash.New()
	// Writes to a hash never fail.
	_, _ = hash.Write(key)
	_, _ = hash.Write(rest)
	return hash.Sum64()
}

// verifyChecksum returns the record without its checksum and true, or false if the
// record is shorter than minBytes or the checksum does not match.
func verifyChecksum(key, record []byte, minBytes int) ([]byte, bool) {
	if len(record) < minBytes || binary.BigEndian.Uint64(record) != checksum(key, record[checksumBytes:]) {
		return nil, false
	}
	return record[checksumBytes:], true
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func encodeEntry(e consensus.Entry) []byte {
	r := make([]byte, checksumBytes, entryFixedBytes+len(e.Data))
	r = binary.BigEndian.AppendUint64(r, e.Term)
	r = append(r, byte(e.Kind))
	r = append(r, e.Data...)
	return setChecksum(indexKey(e.Index), r)
}

func decodeEntry(key, record []byte) (consensus.Entry, error) {
	if len(key) != 8 {
		return consensus.Entry{}, &CorruptionError{Reason: "a key of the log bucket is not 8 bytes long"}
	}
	index := binary.BigEndian.Uint64(key)
	b, ok := verifyChecksum(key, record, entryFixedBytes)
	if !ok {
		return consensus.Entry{}, corruptionErrorf("entry %d does not match its checksum", index)
	}
	e := consensus.Entry{Index: index, Term: binary.BigEndian.Uint64(b), Kind: consensus.EntryKind(b[8])}
	if len(b) > 9 {
		e.Data = append([]byte(nil), b[9:]...)
	}
	return e, nil
}

// hardStateRecord holds the hard state and the last index of the log. The index
// allows verifyFile to detect that entries are missing at the end of the log.
type hardStateRecord struct {
	hardState consensus.HardState
	lastIndex uint64
}

func encodeHardState(h hardStateRecord) []byte {
	r := make([]byte, checksumBytes, hardStateBytes)
	for _, v := range []uint64{h.hardState.Term, h.hardState.Vote, h.hardState.Commit, h.lastIndex} {
		r = binary.BigEndian.AppendUint64(r, v)
	}
	return setChecksum(keyHardState, r)
}

func decodeHardState(record []byte) (hardStateRecord, error) {
	b, ok := verifyChecksum(keyHardState, record, hardStateBytes)
	if !ok || len(record) != hardStateBytes {
		return hardStateRecord{}, corruptionErrorf("hard state does not match its checksum")
	}
	field := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	return hardStateRecord{consensus.HardState{Term: field(0), Vote: field(1), Commit: field(2)}, field(3)}, nil
}

func encodeSnapshot(s consensus.Snapshot) ([]byte, error) {
	membership, err := json.Marshal(s.Membership)
	if err != nil {
		return nil, err
	}
	r := make([]byte, checksumBytes, snapshotFixedBytes+len(membership)+len(s.Data))
	r = binary.BigEndian.AppendUint64(r, s.Index)
	r = binary.BigEndian.AppendUint64(r, s.Term)
	r = binary.BigEndian.AppendUint32(r, uint32(len(membership)))
	r = append(append(r, membership...), s.Data...)
	return setChecksum(keySnapshot, r), nil
}

func decodeSnapshot(record []byte) (consensus.Snapshot, error) {
	b, ok := verifyChecksum(keySnapshot, record, snapshotFixedBytes)
	if !ok {
		return consensus.Snapshot{}, corruptionErrorf("snapshot does not match its checksum")
	}
	s := consensus.Snapshot{Index: binary.BigEndian.Uint64(b), Term: binary.BigEndian.Uint64(b[8:])}
	membershipBytes := uint64(binary.BigEndian.Uint32(b[16:]))
	b = b[20:]
	if membershipBytes > uint64(len(b)) {
		return s, corruptionErrorf("snapshot membership is truncated")
	}
	if err := json.Unmarshal(b[:membershipBytes], &s.Membership); err != nil {
		return s, corruptionErrorf("snapshot membership is not valid JSON: %v", err)
	}
	s.Data = append([]byte(nil), b[membershipBytes:]...)
	return s, nil
}

// identityRecord identifies the member that the folder belongs to.
type identityRecord struct {
	ID   uint64 `json:"id"`
	Host string `json:"host"`
	// Joined is set once the member has taken part in a group.
	Joined bool `json:"joined,omitempty"`
}

func encodeIdentity(i identityRecord) ([]byte, error) {
	data, err := json.Marshal(i)
	if err != nil {
		return nil, err
	}
	return setChecksum(keyIdentity, append(make([]byte, checksumBytes), data...)), nil
}

func decodeIdentity(record []byte) (identityRecord, error) {
	var i identityRecord
	b, ok := verifyChecksum(keyIdentity, record, checksumBytes)
	if !ok {
		return i, corruptionErrorf("identity does not match its checksum")
	}
	if err := json.Unmarshal(b, &i); err != nil || i.ID == 0 {
		return i, corruptionErrorf("identity is not valid JSON or has no id: %v", err)
	}
	return i, nil
}
