package membership

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"time"
)

// SilentAfter is the time without an announcement after which a backend server
// counts as silent. Servers announce themselves about once a second.
const SilentAfter = 4 * time.Second

// recordRetention is how long the record of a silent host or server is kept. It
// is far longer than any expected partition, so that a host which was partitioned
// cannot reintroduce an old incarnation.
const recordRetention = 24 * time.Hour

// frozenAfter is the gap between two ticks from which this process concludes that
// it was frozen. Silence is measured from the end of the gap, because the process
// received nothing during it.
const frozenAfter = time.Second

// never is a time before every other.
const never = time.Duration(math.MinInt64 / 2)

// Options configure a table.
type Options struct {
	// Self is the record of the host that owns the table. Its incarnation must
	// exceed those of earlier processes of the same host.
	Self Host
	// Seeds are peer addresses to contact when no other host is known.
	Seeds []string
	Rand  *rand.Rand
	// RemoteHeartbeatEvery is n if one in n heartbeats of a backend server leaves
	// its data centre. Zero means 4. It is 1 where servers announce themselves to
	// hosts of any data centre.
	RemoteHeartbeatEvery uint64
	// Offered reports whether a service is configured. An entry of a service that isn't never
	// replaces one of a service that is, since another writer may use the name of a server. Nil
	// means that all are.
	Offered func(service string) bool
	// AdaptersForControlOnly is set where only control hosts need to know which adapters a server
	// holds, because the leader tells the others. Servers load and unload adapters many times a
	// second in all, and each new state is sent to every host several times.
	AdaptersForControlOnly bool

	// disabled is set only by tests, to show that they fail without a mechanism.
	disabled disabledMechanisms
}

// disabledMechanisms lists mechanisms that a test disables: push sends updates,
// resend repeats them, digest compares tables, ownHeartbeat accompanies a
// comparison, incarnationOrder rejects earlier incarnations, revisionReissue
// raises the revision of a record whose issuer missed another state, processCheck
// ignores responses to an earlier process, and freezeDetection detects that this
// process was frozen.
type disabledMechanisms struct {
	push, resend, digest, ownHeartbeat, incarnationOrder, revisionReissue, processCheck, freezeDetection bool
}

type serverEntry struct {
	ServerRecord
	lastSeen time.Duration
	// correctedAt is when this record was last sent to a host that held an unsound one.
	correctedAt time.Duration
}

type hostEntry struct {
	HostRecord
	lastSeen time.Duration
	// synced is set once a comparison of digests with the host found no record
	// that is newer there.
	synced bool
}

// Table holds the newest record of every host and backend server and gossips
// changes. It is not safe for concurrent use. Times are durations since an
// arbitrary monotonic origin.
type Table struct {
	opts    Options
	rand    *rand.Rand
	servers map[string]*serverEntry
	hosts   map[string]*hostEntry
	// buckets is the digest of the records in servers and hosts.
	buckets [bucketCount]uint64
	// byID finds the key of a held state by the ID of its heartbeats.
	byID map[uint64]Key

	updates map[Key]*update
	// merging is set while a message of another host is merged.
	merging bool
	// pendingHeartbeats holds the keys whose heartbeats wait for the next flush.
	pendingHeartbeats map[Key]bool
	// pendingAdapters holds the servers whose adapters are sent to the control hosts at the next tick.
	pendingAdapters map[Key]bool
	outbox          []Message

	started   bool
	startedAt time.Duration
	lastTick  time.Duration
	// resumedAt is the end of the last freeze of this process, or its start.
	resumedAt     time.Duration
	nextHeartbeat time.Duration
	nextFlush     time.Duration
	nextDigest    time.Duration
	// seedSynced is set once a comparison of digests with a seed found no record
	// that is newer there.
	seedSynced bool
	superseded bool
	// comparedAt is when a comparison of digests with another host last ended, and requested
	// holds the servers of which it had newer records that have not arrived yet.
	comparedAt time.Duration
	requested  map[string]bool
	// hasUnsentUpdates is set while an update waits for its first round.
	hasUnsentUpdates bool
	changes          uint64
}

// NewTable returns a table without seeds, whose own host has no name or address.
func NewTable() *Table { return New(Options{}) }

// New returns a table that knows only its own host.
func New(opts Options) *Table {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewSource(1))
	}
	t := &Table{
		opts: opts, rand: opts.Rand, servers: map[string]*serverEntry{}, hosts: map[string]*hostEntry{},
		byID: map[uint64]Key{}, updates: map[Key]*update{}, pendingHeartbeats: map[Key]bool{}, pendingAdapters: map[Key]bool{}, requested: map[string]bool{}, comparedAt: never,
	}
	if t.opts.RemoteHeartbeatEvery == 0 {
		t.opts.RemoteHeartbeatEvery = defaultRemoteEvery
	}
	self := opts.Self
	self.Sequence++
	t.putHost(HostRecord{Host: self, Revision: self.Sequence}, 0)
	return t
}

func (t *Table) self() *hostEntry { return t.hosts[t.opts.Self.Name] }

// Self returns the record of the host that owns the table.
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

// changeSelf applies change to the record of the host that owns the table and
// issues the result with a new sequence if it differs.
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

// LimitAdapters sets AdaptersForControlOnly of the options.
func (t *Table) LimitAdapters() { t.opts.AdaptersForControlOnly = true }

// Superseded reports whether a newer process runs under this host's name.
func (t *Table) Superseded() bool { return t.superseded }

// Announce merges an announcement received at now and reports whether it was
// newer than the known one.
func (t *Table) Announce(now time.Duration, s Server) bool {
	t.ensureStarted(now)
	normalise(&s)
	old, ok := t.servers[s.Name]
	if ok {
		sounder := t.compareServices(s, old.Server)
		if sounder < 0 || sounder == 0 && !s.NewerThan(old.Server) {
			return false
		}
	}
	r := ServerRecord{Server: s, Revision: s.Sequence, ModelsSequence: s.Sequence}
	if ok && !old.Silent && t.sameState(old.Server, s) {
		r.Revision = old.Revision
		t.recordAdapters(old.Server, s)
	}
	t.mergeServer(now, r)
	return true
}

// compareServices returns a positive number if the service of a is offered and that of b is
// not, a negative one in the opposite case, and otherwise 0.
func (t *Table) compareServices(a, b Server) int {
	if t.opts.Offered == nil || a.Service == b.Service {
		return 0
	}
	switch offeredA, offeredB := t.opts.Offered(a.Service), t.opts.Offered(b.Service); {
	case offeredA && !offeredB:
		return 1
	case offeredB && !offeredA:
		return -1
	}
	return 0
}

// normalise sorts the models and checkpoints of s, so that equal states compare
// equal: backend servers list their models in any order.
func normalise(s *Server) {
	s.Models = slices.Clone(s.Models)
	slices.SortFunc(s.Models, func(a, b ModelReport) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	s.Cached = slices.Clone(s.Cached)
	slices.SortFunc(s.Cached, func(a, b Checkpoint) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Tier, b.Tier))
	})
}

// sameState reports whether a and b are equal except for sequence, load and, if only control hosts
// need them, adapters.
func (t *Table) sameState(a, b Server) bool {
	if t.opts.AdaptersForControlOnly {
		a.Models, b.Models = withoutAdapters(a.Models), withoutAdapters(b.Models)
	}
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

// ServerStatus is a backend server with its liveness.
type ServerStatus struct {
	Server
	Silent bool
	// LastSeen is when the server was last known to announce itself, on this
	// host's clock. For a server of another data centre that is not silent, it is
	// no earlier than the last heartbeat of a live host there. It is never before
	// the start of this process or the end of its last freeze.
	LastSeen time.Duration
}

// Servers returns all known backend servers ordered by name.
func (t *Table) Servers(now time.Duration) []ServerStatus {
	centres := t.liveCentres(now)
	out := make([]ServerStatus, 0, len(t.servers))
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, t.serverStatus(now, t.servers[name], centres))
	}
	return out
}

// serverStatus decides whether a server is silent. The hosts of the server's data
// centre receive every announcement; other hosts rely on those hosts as long as
// one of them is not silent. centres is the result of liveCentres.
func (t *Table) serverStatus(now time.Duration, e *serverEntry, centres map[string]time.Duration) ServerStatus {
	lastSeen := e.lastSeen
	if centreSeen, ok := centres[e.DataCentre]; ok && !e.Silent && !t.observesDirectly(e) {
		lastSeen = max(lastSeen, centreSeen)
	}
	silent := e.Silent || now-max(lastSeen, t.resumedAt) > SilentAfter
	if _, ok := centres[e.DataCentre]; ok && !t.observesDirectly(e) {
		silent = e.Silent
	}
	return ServerStatus{Server: e.Server, Silent: silent, LastSeen: max(lastSeen, t.resumedAt)}
}

// ServerSeen returns the process that is known to run under a server's name, and when it last
// announced itself as far as this host has heard, and false for an unknown name. Unlike
// ServerStatus.LastSeen, the time may lie before a freeze of this process. Where only some
// heartbeats of a server reach this host, a comparison of tables that found no newer record
// of it counts as well.
func (t *Table) ServerSeen(name string) (incarnation uint64, at time.Duration, known bool) {
	e, ok := t.servers[name]
	if !ok {
		return 0, 0, false
	}
	at = e.lastSeen
	if !t.observesDirectly(e) && t.remoteEvery() > 1 && !t.requested[name] {
		at = max(at, t.comparedAt)
	}
	return e.Incarnation, at, true
}

// observesDirectly reports whether this host decides itself whether the server
// is silent.
func (t *Table) observesDirectly(e *serverEntry) bool {
	return e.DataCentre == t.opts.Self.DataCentre
}

// liveCentres returns the data centres that have a host that is not silent, with
// the latest time at which such a host was seen.
func (t *Table) liveCentres(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, h := range t.hosts {
		if h.Name == t.opts.Self.Name {
			out[h.DataCentre] = now
			continue
		}
		if !t.hostSilent(now, h) {
			out[h.DataCentre] = max(out[h.DataCentre], h.lastSeen)
		}
	}
	return out
}

// HostStatus is a host with its liveness.
type HostStatus struct {
	Host
	Silent bool
}

// Hosts returns all known hosts ordered by name.
func (t *Table) Hosts(now time.Duration) []HostStatus {
	out := make([]HostStatus, 0, len(t.hosts))
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		h := t.hosts[name]
		out = append(out, HostStatus{Host: h.Host, Silent: t.hostSilent(now, h)})
	}
	return out
}

// hostSilent reports whether the table has received no heartbeat or record of h
// for maxMissedHeartbeats intervals, not counting the time before resumedAt.
func (t *Table) hostSilent(now time.Duration, h *hostEntry) bool {
	if h.Name == t.opts.Self.Name {
		return false
	}
	return now-max(h.lastSeen, t.resumedAt) > maxMissedHeartbeats*t.heartbeatInterval()
}

// Address is one entry of the list that callers cache.
type Address struct {
	Host       string `json:"host"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Addresses returns the hosts that serve callers: those of dataCentre first,
// each group in random order to distribute the callers over the hosts.
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
