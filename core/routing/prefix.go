package routing

import "time"

// maxPrefixes is the maximum number of entries in the prefix index. One entry
// takes about 60 bytes, so the index stays below 4 MB.
const maxPrefixes = 1 << 16

// holder is a server that has cached a prefix, according to its cache events or to
// earlier attempts. It is valid as long as cacheEpoch is that of the server.
type holder struct {
	server     *server
	cacheEpoch uint32
}

// prefixEntry records the two servers that cached a prefix most recently.
type prefixEntry struct{ holders [2]holder }

func (h holder) isCurrent() bool { return h.server != nil && h.cacheEpoch == h.server.cacheEpoch }

// CacheEvent is one change of a server's prefix cache: the prefix was added, or
// removed if Evicted is set.
type CacheEvent struct {
	Prefix  uint64
	Evicted bool
}

// ApplyCacheEvents applies consecutive cache events of a server; first is the sequence
// number of the first one. Events that were already applied are skipped. A gap in
// the numbers invalidates all prefix entries of the server, because an eviction
// may have been missed.
func (r *Router) ApplyCacheEvents(name string, incarnation, first uint64, events []CacheEvent) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation {
		return
	}
	if first > s.cacheSequence+1 {
		s.cacheEpoch++
		s.cacheSequence = first - 1
	}
	for i, e := range events {
		if first+uint64(i) <= s.cacheSequence {
			continue
		}
		s.cacheSequence = first + uint64(i)
		if e.Evicted {
			r.removeHolder(e.Prefix, s)
		} else {
			r.addHolder(e.Prefix, s)
		}
	}
}

// RecordCachedPrefix records that an attempt has added a prefix to the cache of its
// server. A zero prefix is ignored.
func (r *Router) RecordCachedPrefix(a Attempt, prefix uint64) {
	if prefix != 0 {
		r.addHolder(prefix, a.candidate.server)
	}
}

// addHolder records a server as the latest one to cache a prefix. A full index drops
// an arbitrary entry for a new one.
func (r *Router) addHolder(prefix uint64, s *server) {
	e, ok := r.prefixes[prefix]
	if !ok && len(r.prefixes) >= maxPrefixes {
		for old := range r.prefixes {
			delete(r.prefixes, old)
			break
		}
	}
	if e.holders[0].server != s {
		e.holders[1] = e.holders[0]
	}
	e.holders[0] = holder{s, s.cacheEpoch}
	r.prefixes[prefix] = e
}

func (r *Router) removeHolder(prefix uint64, s *server) {
	e, ok := r.prefixes[prefix]
	if !ok {
		return
	}
	for i := range e.holders {
		if e.holders[i].server == s {
			e.holders[i] = holder{}
		}
	}
	r.prefixes[prefix] = e
}

// cachedCandidate returns the least loaded usable server that has the prefix of
// the query cached, or nil if there is none.
func (r *Router) cachedCandidate(now time.Duration, q Query) *candidate {
	if q.Prefix == 0 {
		return nil
	}
	e, ok := r.prefixes[q.Prefix]
	if !ok {
		return nil
	}
	var best *candidate
	for _, h := range e.holders {
		if !h.isCurrent() {
			continue
		}
		c := r.candidates[Replica{h.server.Name, q.Key}]
		if c == nil || c.server != h.server || !r.usable(now, c, q) {
			continue
		}
		if best == nil || c.server.load() < best.server.load() {
			best = c
		}
	}
	return best
}
