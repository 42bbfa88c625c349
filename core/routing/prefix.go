package routing

import "time"

// maxPrefixes bounds the prefix index. One entry takes about 60 bytes, so the
// index stays below 4 MB.
const maxPrefixes = 1 << 16

// holder is a server that is believed to have a prefix cached.
type holder struct {
	server *server
	epoch  uint32
}

// prefixEntry keeps the two servers that last cached a prefix.
type prefixEntry struct{ holders [2]holder }

func (h holder) valid() bool { return h.server != nil && h.epoch == h.server.cacheEpoch }

// CacheEvent is one change of a server's prefix cache.
type CacheEvent struct {
	Prefix  uint64
	Evicted bool
}

// CacheEvents merges events of a server, the first of which has the sequence
// number first. A gap in the numbers drops all prefix entries of the server,
// because an eviction may have been missed.
func (r *Router) CacheEvents(name string, incarnation, first uint64, events []CacheEvent) {
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
			r.evict(e.Prefix, s)
		} else {
			r.cache(e.Prefix, s)
		}
	}
}

// Cached records that an attempt has brought a prefix into its server's cache.
func (r *Router) Cached(a Attempt, prefix uint64) {
	if prefix != 0 {
		r.cache(prefix, a.candidate.server)
	}
}

func (r *Router) cache(prefix uint64, s *server) {
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

func (r *Router) evict(prefix uint64, s *server) {
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

// cached returns the less loaded usable server that has the prefix.
func (r *Router) cached(now time.Duration, q Query) *candidate {
	if q.Prefix == 0 {
		return nil
	}
	e, ok := r.prefixes[q.Prefix]
	if !ok {
		return nil
	}
	var best *candidate
	for _, h := range e.holders {
		if !h.valid() {
			continue
		}
		c := r.places[Replica{h.server.Name, q.Key}]
		if c == nil || c.server != h.server || !r.usable(now, c, q.Exclude) {
			continue
		}
		if best == nil || c.server.load() < best.server.load() {
			best = c
		}
	}
	return best
}
