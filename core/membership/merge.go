package membership

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// bucketCount is the number of hashes in a digest. With 32, a digest has 256
// bytes, and a bucket that differs contains 1/32 of the records.
const bucketCount = 32

// hash returns a hash of all fields of v.
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

// heartbeatID returns the hash of v as a state that is not silent.
func (v Version) heartbeatID() uint64 {
	v.Silent = false
	return v.hash()
}

// bucket returns the index of the digest's bucket that contains k.
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

// version returns the version of the record that the table holds for a key.
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

// reindex adds next to the digest and the heartbeat ids. It first removes old if
// known is set, that is, if the table held an earlier state of the record.
func (t *Table) reindex(old Version, known bool, next Version) {
	b := next.Key.bucket()
	if known {
		t.unindex(old)
	}
	t.buckets[b] ^= next.hash()
	t.byID[next.hash()] = next.Key
	t.byID[next.heartbeatID()] = next.Key
}

// unindex removes a version from the digest and from the heartbeat ids.
func (t *Table) unindex(old Version) {
	t.buckets[old.Key.bucket()] ^= old.hash()
	delete(t.byID, old.hash())
	delete(t.byID, old.heartbeatID())
}

// putHost stores a host record and starts an update if its state is new.
func (t *Table) putHost(r HostRecord, now time.Duration) {
	e, known := t.hosts[r.Name]
	var old Version
	synced := false
	if known {
		old, synced = e.version(), e.synced && e.Incarnation == r.Incarnation
	}
	t.hosts[r.Name] = &hostEntry{HostRecord: r, lastSeen: now, synced: synced}
	if next := r.version(); !known || next != old {
		t.reindex(old, known, next)
		t.startUpdate(next.Key)
	}
}

// mergeHost accepts a host record that is newer than the known one. Only the
// host itself issues its records, so incarnation and sequence order them.
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
// announcement describes the server; with the same announcement, a silent record
// is later than one that is not. If the later record has the lower revision, its
// issuer missed the other state, and the record gets a new revision so that all
// hosts accept it.
func (t *Table) mergeServer(now time.Duration, r ServerRecord) {
	e, known := t.servers[r.Name]
	if !known {
		t.putServer(r, now)
		return
	}
	local := e.ServerRecord
	if sounder := t.compareServices(r.Server, local.Server); sounder != 0 {
		if sounder > 0 {
			t.putServer(r, now)
		}
		return
	}
	if r.Incarnation < local.Incarnation && !t.opts.disabled.incarnationOrder {
		return
	}
	if r.Incarnation > local.Incarnation || r.Incarnation != local.Incarnation && t.opts.disabled.incarnationOrder {
		t.putServer(r, now)
		return
	}
	later := r.Sequence > local.Sequence || r.Sequence == local.Sequence && r.Silent && !local.Silent
	winner, loser, lastSeen := local, r, e.lastSeen
	if later {
		winner, loser = r, local
	}
	if r.Sequence > local.Sequence && !r.Silent {
		lastSeen = now
	}
	if t.opts.disabled.revisionReissue {
		winner.Revision = max(winner.Revision, loser.Revision)
	} else {
		winner.Revision = t.mergedRevision(winner, loser)
	}
	if winner.Revision == loser.Revision && loser.ModelsSequence > winner.ModelsSequence {
		winner.Models, winner.ModelsSequence = loser.Models, loser.ModelsSequence
	}
	winner.Load = newerLoad(winner, loser)
	t.putServer(winner, lastSeen)
}

// mergedRevision returns the revision of the merged record. It exceeds the loser's
// if the winner has a later announcement and another state.
func (t *Table) mergedRevision(winner, loser ServerRecord) uint64 {
	if winner.Silent == loser.Silent && t.sameState(winner.Server, loser.Server) {
		return max(winner.Revision, loser.Revision)
	}
	if winner.Revision > loser.Revision {
		return winner.Revision
	}
	if winner.Sequence > loser.Sequence {
		return winner.Sequence
	}
	return loser.Revision
}

// newerLoad returns the last load that was reported. The winner may have none,
// because records from other data centres carry no load.
func newerLoad(winner, loser ServerRecord) Load {
	if winner.Load == (Load{}) && winner.Sequence == loser.Sequence {
		return loser.Load
	}
	return winner.Load
}

// putServer stores a server record. A new state starts an update; a newer
// announcement of the same state is forwarded as a heartbeat.
func (t *Table) putServer(r ServerRecord, lastSeen time.Duration) {
	e, known := t.servers[r.Name]
	var old Version
	var sequence uint64
	if known {
		old, sequence = e.version(), e.Sequence
	}
	t.servers[r.Name] = &serverEntry{ServerRecord: r, lastSeen: lastSeen}
	delete(t.requested, r.Name)
	next := r.version()
	if !known || next != old {
		t.reindex(old, known, next)
		t.startUpdate(next.Key)
		return
	}
	if r.Sequence > sequence {
		t.pendingHeartbeats[next.Key] = true
	}
}

// mergeHeartbeat accepts a heartbeat for a state that this table holds.
func (t *Table) mergeHeartbeat(now time.Duration, heartbeat Heartbeat) {
	k, ok := t.byID[heartbeat.ID]
	if !ok {
		return
	}
	if k.Kind == KindHost {
		h := t.hosts[k.Name]
		if k.Name == t.opts.Self.Name || heartbeat.Sequence <= h.Sequence {
			return
		}
		h.Sequence, h.lastSeen = heartbeat.Sequence, now
		t.pendingHeartbeats[k] = true
		return
	}
	r := t.servers[k.Name].ServerRecord
	if heartbeat.Sequence <= r.Sequence {
		return
	}
	r.Sequence, r.Silent, r.Load = heartbeat.Sequence, false, heartbeat.Load
	t.mergeServer(now, r)
}
