package membership

import (
	"cmp"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"time"
)

// SilentAfter is how long a backend server may be quiet before it counts as
// silent. Announcements come about once a second.
const SilentAfter = 4 * time.Second

// forgetAfter is how long a silent record is kept. It is far longer than any
// separation that is expected, so a host that was cut off cannot bring an old
// incarnation back.
const forgetAfter = 24 * time.Hour

// frozenAfter is the gap between two ticks that shows that this process was
// stopped. Silence is counted from the end of the gap, because nothing could
// be heard during it.
const frozenAfter = time.Second

// Options configure a table.
type Options struct {
	// Self is the record of the host that owns the table. Its incarnation must
	// exceed those of earlier processes of the same host.
	Self Host
	// Seeds are peer addresses to contact when no other host is known.
	Seeds []string
	Rand  *rand.Rand
	// WideBeats is how many beats of a backend server there are for each that
	// leaves its data centre. Zero means 4. It is 1 where servers announce
	// themselves to hosts of any data centre.
	WideBeats uint64

	// off switches mechanisms off, to show that the tests see it.
	off mechanisms
}

// mechanisms are switched off only by tests.
type mechanisms struct {
	push, resend, digest, ownBeat, incarnation, reissue, process, resume bool
}

type serverEntry struct {
	ServerRecord
	heard time.Duration
}

type hostEntry struct {
	HostRecord
	heard time.Duration
	// synced is set once an exchange of digests with the host found nothing
	// that it knew better.
	synced bool
}

// Table holds the newest record of every host and backend server and spreads
// them. It is not safe for concurrent use. Times are since an arbitrary
// monotonic origin.
type Table struct {
	opts    Options
	rand    *rand.Rand
	servers map[string]*serverEntry
	hosts   map[string]*hostEntry
	buckets [bucketCount]uint64
	byID    map[uint64]Key

	rumors map[Key]*rumor
	beats  map[Key]bool
	out    []Message

	started    bool
	startedAt  time.Duration
	lastTick   time.Duration
	resumedAt  time.Duration
	nextBeat   time.Duration
	nextFlush  time.Duration
	nextDigest time.Duration
	seedSynced bool
	superseded bool
	// fresh is set while a state waits for its first round.
	fresh   bool
	changes uint64
}

// NewTable returns an empty table that exchanges nothing with other hosts.
func NewTable() *Table { return New(Options{}) }

// New returns a table that knows only its own host.
func New(o Options) *Table {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(1))
	}
	t := &Table{
		opts: o, rand: o.Rand, servers: map[string]*serverEntry{}, hosts: map[string]*hostEntry{},
		byID: map[uint64]Key{}, rumors: map[Key]*rumor{}, beats: map[Key]bool{},
	}
	if t.opts.WideBeats == 0 {
		t.opts.WideBeats = wideBeats
	}
	self := o.Self
	self.Sequence++
	t.putHost(HostRecord{Host: self, Revision: self.Sequence}, 0)
	return t
}

func (t *Table) self() *hostEntry { return t.hosts[t.opts.Self.Name] }

// Self returns the own record.
func (t *Table) Self() Host { return t.self().Host }

// SetReady publishes whether this host serves callers.
func (t *Table) SetReady(ready bool) {
	t.changeSelf(func(h *Host) { h.Ready = ready })
}

// SetSeeds replaces the addresses to contact when no other host is known.
func (t *Table) SetSeeds(seeds []string) { t.opts.Seeds = seeds }

// Leave publishes that this host is leaving.
func (t *Table) Leave() {
	t.changeSelf(func(h *Host) { h.Leaving = true })
}

func (t *Table) changeSelf(change func(*Host)) {
	e := t.self()
	next := e.Host
	change(&next)
	if next == e.Host {
		return
	}
	next.Sequence++
	t.putHost(HostRecord{Host: next, Revision: next.Sequence}, t.lastTick)
}

// Superseded reports that a newer process runs under the own host's name.
func (t *Table) Superseded() bool { return t.superseded }

// Announce merges an announcement received at now and reports whether it was
// newer than what was known.
func (t *Table) Announce(now time.Duration, s Server) bool {
	t.start(now)
	normalise(&s)
	old, ok := t.servers[s.Name]
	if ok && !s.Newer(old.Server) {
		return false
	}
	r := ServerRecord{Server: s, Revision: s.Sequence}
	if ok && !old.Silent && sameState(old.Server, s) {
		r.Revision = old.Revision
	}
	t.mergeServer(now, r)
	return true
}

// normalise gives equal states an equal form; backend servers list their
// models in any order.
func normalise(s *Server) {
	s.Models = slices.Clone(s.Models)
	slices.SortFunc(s.Models, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	s.Cached = slices.Clone(s.Cached)
	slices.SortFunc(s.Cached, func(a, b Checkpoint) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
}

// sameState compares everything but the sequence and the load.
func sameState(a, b Server) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Load, b.Load = Load{}, Load{}
	if len(a.Models) != len(b.Models) || len(a.Cached) != len(b.Cached) {
		return false
	}
	if !slices.Equal(a.Models, b.Models) || !slices.Equal(a.Cached, b.Cached) {
		return false
	}
	a.Models, b.Models, a.Cached, b.Cached = nil, nil, nil, nil
	return reflect.DeepEqual(a, b)
}

// Presence is a backend server with how it is heard from.
type Presence struct {
	Server
	Silent bool
	// Heard is when the server was last known to announce itself, or the end of
	// a stop of this process if that is later, on the receiver's clock.
	Heard time.Duration
}

// Servers returns all known backend servers ordered by name.
func (t *Table) Servers(now time.Duration) []Presence {
	centres := t.heardCentres(now)
	out := make([]Presence, 0, len(t.servers))
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, t.presence(now, t.servers[name], centres))
	}
	return out
}

// presence judges silence. The hosts of the server's data centre hear every
// announcement; the others rely on them, as long as one of them is heard from.
func (t *Table) presence(now time.Duration, e *serverEntry, centres map[string]time.Duration) Presence {
	heard := e.heard
	if at, ok := centres[e.DataCentre]; ok && !e.Silent && !t.observes(e) {
		heard = max(heard, at)
	}
	silent := e.Silent || now-max(heard, t.resumedAt) > SilentAfter
	if _, ok := centres[e.DataCentre]; ok && !t.observes(e) {
		silent = e.Silent
	}
	return Presence{Server: e.Server, Silent: silent, Heard: max(heard, t.resumedAt)}
}

// observes reports whether this host judges the server's silence itself.
func (t *Table) observes(e *serverEntry) bool {
	return e.DataCentre == t.opts.Self.DataCentre
}

// heardCentres returns the data centres that have a host that is not silent,
// with the time at which one was last heard from.
func (t *Table) heardCentres(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, h := range t.hosts {
		if h.Name == t.opts.Self.Name {
			out[h.DataCentre] = now
			continue
		}
		if !t.hostSilent(now, h) {
			out[h.DataCentre] = max(out[h.DataCentre], h.heard)
		}
	}
	return out
}

// HostPresence is a host with how it is heard from.
type HostPresence struct {
	Host
	Silent bool
}

// Hosts returns all known hosts ordered by name.
func (t *Table) Hosts(now time.Duration) []HostPresence {
	out := make([]HostPresence, 0, len(t.hosts))
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		h := t.hosts[name]
		out = append(out, HostPresence{Host: h.Host, Silent: t.hostSilent(now, h)})
	}
	return out
}

func (t *Table) hostSilent(now time.Duration, h *hostEntry) bool {
	if h.Name == t.opts.Self.Name {
		return false
	}
	return now-max(h.heard, t.resumedAt) > beatsToSilence*t.beatInterval()
}

// Address is one entry of the list that callers cache.
type Address struct {
	Host       string `json:"host"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Addresses returns the hosts that serve callers: those of dataCentre first,
// each group in random order so that callers spread over the hosts.
func (t *Table) Addresses(now time.Duration, dataCentre string) []Address {
	var near, far []Address
	for _, h := range t.Hosts(now) {
		if h.Silent || h.Leaving || !h.Ready {
			continue
		}
		a := Address{Host: h.Name, Address: h.CallerAddress, DataCentre: h.DataCentre}
		if h.DataCentre == dataCentre {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	t.rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	t.rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}
