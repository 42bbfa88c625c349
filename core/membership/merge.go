package membership

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// bucketCount is the number of hashes in a digest: 32 make 256 bytes, and a
// difference then names 1/32 of the records.
const bucketCount = 32

func (v Version) hash() uint64 {
	h := fnv.New64a()
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], v.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], v.Revision)
	if v.Silent {
		b[16] = 1
	}
	_, _ = h.Write([]byte{byte(v.Key.Kind)})
	_, _ = h.Write([]byte(v.Key.Name))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// beatID is the hash of the heard state of v.
func (v Version) beatID() uint64 {
	v.Silent = false
	return v.hash()
}

func (k Key) bucket() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.Kind)})
	_, _ = h.Write([]byte(k.Name))
	return h.Sum32() % bucketCount
}

func (r HostRecord) version() Version {
	return Version{Key: Key{KindHost, r.Name}, Incarnation: r.Incarnation, Revision: r.Revision}
}

func (r ServerRecord) version() Version {
	return Version{Key: Key{KindServer, r.Name}, Incarnation: r.Incarnation, Revision: r.Revision, Silent: r.Silent}
}

// version returns what the table holds for a key.
func (t *Table) version(k Key) (Version, bool) {
	if k.Kind == KindHost {
		if h, ok := t.hosts[k.Name]; ok {
			return h.version(), true
		}
		return Version{}, false
	}
	if s, ok := t.servers[k.Name]; ok {
		return s.version(), true
	}
	return Version{}, false
}

// reindex replaces a version in the digest and among the beat identifiers.
func (t *Table) reindex(old Version, known bool, next Version) {
	b := next.Key.bucket()
	if known {
		t.drop(old)
	}
	t.buckets[b] ^= next.hash()
	t.byID[next.hash()] = next.Key
	t.byID[next.beatID()] = next.Key
}

func (t *Table) drop(old Version) {
	t.buckets[old.Key.bucket()] ^= old.hash()
	delete(t.byID, old.hash())
	delete(t.byID, old.beatID())
}

// putHost stores a host record and starts to spread it if its state is new.
func (t *Table) putHost(r HostRecord, now time.Duration) {
	e, known := t.hosts[r.Name]
	var old Version
	synced := false
	if known {
		old, synced = e.version(), e.synced && e.Incarnation == r.Incarnation
	}
	t.hosts[r.Name] = &hostEntry{HostRecord: r, heard: now, synced: synced}
	if next := r.version(); !known || next != old {
		t.reindex(old, known, next)
		t.spread(next.Key)
	}
}

// mergeHost accepts a host record that is newer than the known one. Only a
// host itself issues its records, so its incarnation and sequence order them.
func (t *Table) mergeHost(now time.Duration, r HostRecord) {
	if r.Name == t.opts.Self.Name {
		t.superseded = t.superseded || r.Incarnation > t.opts.Self.Incarnation
		return
	}
	e, known := t.hosts[r.Name]
	if known && (r.Incarnation < e.Incarnation || r.Incarnation == e.Incarnation && r.Sequence <= e.Sequence) {
		return
	}
	t.putHost(r, now)
}

// mergeServer combines a record with the known one. The record with the later
// announcement describes the server; at the same announcement, silence follows
// hearing. When the later record carries the lower revision, its issuer missed
// the other state, and the record gets a new revision so that it wins
// everywhere.
func (t *Table) mergeServer(now time.Duration, r ServerRecord) {
	e, known := t.servers[r.Name]
	if !known {
		t.putServer(r, now)
		return
	}
	held := e.ServerRecord
	if r.Incarnation < held.Incarnation && !t.opts.off.incarnation {
		return
	}
	if r.Incarnation > held.Incarnation || r.Incarnation != held.Incarnation && t.opts.off.incarnation {
		t.putServer(r, now)
		return
	}
	later := r.Sequence > held.Sequence || r.Sequence == held.Sequence && r.Silent && !held.Silent
	win, lose, heard := held, r, e.heard
	if later {
		win, lose = r, held
	}
	if r.Sequence > held.Sequence && !r.Silent {
		heard = now
	}
	if t.opts.off.reissue {
		win.Revision = max(win.Revision, lose.Revision)
	} else {
		win.Revision = mergedRevision(win, lose)
	}
	win.Load = newerLoad(win, lose)
	t.putServer(win, heard)
}

func mergedRevision(win, lose ServerRecord) uint64 {
	if win.Silent == lose.Silent && sameState(win.Server, lose.Server) {
		return max(win.Revision, lose.Revision)
	}
	if win.Revision > lose.Revision {
		return win.Revision
	}
	if win.Sequence > lose.Sequence {
		return win.Sequence
	}
	return lose.Revision
}

// newerLoad keeps the last load that was reported, because records from other
// data centres carry none.
func newerLoad(win, lose ServerRecord) Load {
	if win.Load == (Load{}) && win.Sequence == lose.Sequence {
		return lose.Load
	}
	return win.Load
}

// putServer stores a server record. A new state is spread everywhere, and a
// newer announcement of the same state as a beat.
func (t *Table) putServer(r ServerRecord, heard time.Duration) {
	e, known := t.servers[r.Name]
	var old Version
	var sequence uint64
	if known {
		old, sequence = e.version(), e.Sequence
	}
	t.servers[r.Name] = &serverEntry{ServerRecord: r, heard: heard}
	next := r.version()
	if !known || next != old {
		t.reindex(old, known, next)
		t.spread(next.Key)
		return
	}
	if r.Sequence > sequence {
		t.beats[next.Key] = true
	}
}

// mergeBeat accepts the confirmation of a state that this table holds.
func (t *Table) mergeBeat(now time.Duration, b Beat) {
	k, ok := t.byID[b.ID]
	if !ok {
		return
	}
	if k.Kind == KindHost {
		h := t.hosts[k.Name]
		if k.Name == t.opts.Self.Name || b.Sequence <= h.Sequence {
			return
		}
		h.Sequence, h.heard = b.Sequence, now
		t.beats[k] = true
		return
	}
	r := t.servers[k.Name].ServerRecord
	if b.Sequence <= r.Sequence {
		return
	}
	r.Sequence, r.Silent, r.Load = b.Sequence, false, b.Load
	t.mergeServer(now, r)
}
