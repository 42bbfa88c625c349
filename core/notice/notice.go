// Package notice holds what backend servers say of themselves in their answers: the
// request rate that they take, that they are leaving, and that they want nothing for some
// time. It performs no I/O and reads no clock.
package notice

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/ratelimit"
)

// Process identifies one run of a backend server.
type Process = ratelimit.Process

// Notice is what the head of one answer says of the server.
type Notice struct {
	// LimitNamed is set if the answer names a limit, and PerSecond is that limit: the
	// requests per second that the server takes from all hosts together.
	LimitNamed bool
	PerSecond  float64
	// Leaving is set if the server says that it is leaving.
	Leaving bool
	// Pause is how long the server wants no request from this host. Zero means none.
	Pause time.Duration
	// Invalid holds the values that cannot be read. They are no statement at all: a limit
	// that cannot be read neither names a limit nor ends one.
	Invalid []InvalidValue
	// LimitInvalid is set if a limit is among the invalid values.
	LimitInvalid bool
}

// InvalidValue is a header whose value cannot be read.
type InvalidValue struct{ Name, Value string }

// Kind is the kind of a change.
type Kind string

// Kinds of changes. The values are those of the decision log.
const (
	KindLimit   Kind = "limit"
	KindLeaving Kind = "leaving"
	KindPause   Kind = "pause"
	KindInvalid Kind = "invalid"
)

// Change is a change of what is believed about a server process.
type Change struct {
	Process
	Kind Kind
	// Limited and PerSecond are set for a limit.
	Limited   bool
	PerSecond float64
	// Pause is set for a pause.
	Pause time.Duration
	// Invalid is set for a value that cannot be read.
	Invalid InvalidValue
}

const (
	// MaxPause is the longest pause that is honoured. A longer one is cut to it, so that a
	// faulty server is tried again.
	MaxPause = time.Minute
	// maxServers bounds the server processes of which notices are kept.
	maxServers = 4096
	// maxReturnDelay bounds the random time after a pause in which a host returns.
	maxReturnDelay = time.Second
	// trialTime is how long after a pause a host waits for the answer to one request before
	// it sends another.
	trialTime = time.Second
	// countWindow is the time over which requests to a server with a limit are counted.
	countWindow = 4 * time.Second
	// retention is how long a notice of a server is kept after its last answer. A process
	// that was not heard from for that long has most likely ended.
	retention = 10 * time.Minute
)

// Table holds the notices of all servers as one host knows them. It is not safe for
// concurrent use.
type Table struct {
	// Limits holds the limits and the permits to send to servers that name one.
	Limits  *ratelimit.Client
	servers map[Process]*server
	rng     *rand.Rand
	// demanding is the number of servers that leave or want a pause, or whose pause has
	// ended without an answer since.
	demanding int
	// refusals counts the requests that were refused because of what servers say.
	refusals int
}

// server is what one server process says of itself, besides its limit.
type server struct {
	leaving bool
	// pausedUntil is when the pause ends for this host. After that, returning is set until
	// an answer without a pause arrives, and trialAt is when the last request was sent
	// meanwhile.
	pausedUntil time.Duration
	returning   bool
	trialAt     time.Duration
	// heardAt is when the newest answer arrived that says something.
	heardAt time.Duration
	// invalidAt is when an invalid value was last reported.
	invalidAt       time.Duration
	invalidReported bool
	// sentAt holds when requests were sent to the server within countWindow, and refusals
	// counts the requests that were refused because of what it says.
	sentAt   []time.Duration
	refusals int
}

// NewTable returns a table without notices.
func NewTable(limits *ratelimit.Client, rng *rand.Rand) *Table {
	return &Table{Limits: limits, servers: map[Process]*server{}, rng: rng}
}

// Record merges the notice of an answer that arrived now, to a request that was sent at
// sentAt. It returns what changed.
func (t *Table) Record(now, sentAt time.Duration, p Process, n Notice) []Change {
	var changes []Change
	if !n.LimitInvalid {
		s := ratelimit.Sighting{Process: p, Named: n.LimitNamed, PerSecond: n.PerSecond, SentAt: sentAt, ReceivedAt: now}
		if c, ok := t.Limits.Record(s); ok {
			changes = append(changes, limitChange(c))
		}
	}
	if n.Leaving || n.Pause > 0 || n.LimitNamed || len(n.Invalid) > 0 {
		changes = append(changes, t.recordStatements(now, p, n)...)
	}
	if s := t.servers[p]; s != nil && s.returning && n.Pause == 0 && sentAt >= s.pausedUntil {
		s.returning = false
		t.recount()
	}
	return changes
}

func (t *Table) recordStatements(now time.Duration, p Process, n Notice) []Change {
	s := t.server(now, p)
	if s == nil {
		return nil
	}
	var changes []Change
	s.heardAt = now
	if n.Leaving && !s.leaving {
		s.leaving = true
		t.recount()
		changes = append(changes, Change{Process: p, Kind: KindLeaving})
	}
	if pause := min(n.Pause, MaxPause); pause > 0 && now+pause > s.pausedUntil {
		// Hosts that were refused together do not return together.
		s.pausedUntil = now + pause + time.Duration(t.rng.Float64()*float64(min(pause/4, maxReturnDelay)))
		s.returning, s.trialAt = true, 0
		t.recount()
		changes = append(changes, Change{Process: p, Kind: KindPause, Pause: pause})
	}
	if len(n.Invalid) > 0 && (!s.invalidReported || now-s.invalidAt > retention) {
		s.invalidReported, s.invalidAt = true, now
		changes = append(changes, Change{Process: p, Kind: KindInvalid, Invalid: n.Invalid[0]})
	}
	return changes
}

// recount counts the servers that restrict what may be sent to them.
func (t *Table) recount() {
	t.demanding = 0
	for _, s := range t.servers {
		if s.leaving || s.returning {
			t.demanding++
		}
	}
}

// Wanted reports whether a server process wants requests from this host: it is not leaving,
// and no pause is in force. After a pause, one request at a time is sent until an answer
// shows that the server takes them again. Limits are not considered.
func (t *Table) Wanted(now time.Duration, p Process) bool {
	if t.demanding == 0 {
		return true
	}
	s := t.servers[p]
	switch {
	case s == nil:
		return true
	case s.leaving || now < s.pausedUntil:
		return false
	}
	return !s.returning || s.trialAt == 0 || now-s.trialAt >= trialTime
}

// Paused reports whether a server process wants no requests from this host now, or takes
// only one at a time after a pause.
func (t *Table) Paused(now time.Duration, p Process) bool { return t.UntilWanted(now, p) > 0 }

// Leaving reports whether a server process has said that it is leaving.
func (t *Table) Leaving(p Process) bool {
	s := t.servers[p]
	return s != nil && s.leaving
}

// UntilWanted returns how long a server process wants no request from this host. It is zero
// without a pause.
func (t *Table) UntilWanted(now time.Duration, p Process) time.Duration {
	s := t.servers[p]
	switch {
	case t.demanding == 0 || s == nil || !s.returning:
		return 0
	case now < s.pausedUntil:
		return s.pausedUntil - now
	case s.trialAt == 0:
		return 0
	}
	return max(0, s.trialAt+trialTime-now)
}

// Take records that a request is sent to a server process. It uses a permit if the server has
// a limit.
func (t *Table) Take(now time.Duration, p Process, request uint64) {
	t.Limits.Take(now, p, request)
	t.Limits.Release(request)
	if t.demanding == 0 {
		return
	}
	if s := t.servers[p]; s != nil && s.returning {
		s.trialAt = now
	}
}

// server returns the entry of a server process, which it creates if there is room. It is
// nil otherwise.
func (t *Table) server(now time.Duration, p Process) *server {
	if s := t.servers[p]; s != nil {
		return s
	}
	if len(t.servers) >= maxServers {
		maps.DeleteFunc(t.servers, func(_ Process, s *server) bool { return now-s.heardAt > retention })
		t.recount()
	}
	if len(t.servers) >= maxServers {
		return nil
	}
	s := &server{heardAt: now}
	t.servers[p] = s
	return s
}

// ApplyReply merges the leader's reply to the request for permits sent at sentAt. It
// returns the limits that changed, and whether there are new permits.
func (t *Table) ApplyReply(now, sentAt time.Duration, r ratelimit.Reply) ([]Change, bool) {
	list, granted := t.Limits.ApplyReply(now, sentAt, r)
	var changes []Change
	for _, c := range list {
		changes = append(changes, limitChange(c))
	}
	return changes, granted
}

func limitChange(c ratelimit.Change) Change {
	return Change{Process: c.Process, Kind: KindLimit, Limited: c.Limited, PerSecond: c.PerSecond}
}

// RecordSent counts a request that is sent to a server process that has a limit or has said
// something else.
func (t *Table) RecordSent(now time.Duration, p Process) {
	if s := t.restricted(now, p); s != nil {
		s.dropOld(now)
		s.sentAt = append(s.sentAt, now)
	}
}

// RecordRefusal counts a request that is refused because of what a server process says of
// itself.
func (t *Table) RecordRefusal(now time.Duration, p Process) {
	t.refusals++
	if s := t.restricted(now, p); s != nil {
		s.refusals++
	}
}

// Refusals returns the number of requests that this host has refused because of what servers
// say of themselves.
func (t *Table) Refusals() int { return t.refusals }

// restricted returns the entry of a server process that has said something or whose limit
// another host has told. It is nil for others.
func (t *Table) restricted(now time.Duration, p Process) *server {
	if t.Limits.Limited(p) {
		return t.server(now, p)
	}
	return t.servers[p]
}

// SentLately returns the number of requests that this host sent to a server process within
// countWindow.
func (t *Table) SentLately(now time.Duration, p Process) int {
	s := t.servers[p]
	if s == nil {
		return 0
	}
	s.dropOld(now)
	return len(s.sentAt)
}

func (s *server) dropOld(now time.Duration) {
	s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Duration) bool { return now-at >= countWindow })
}

// Statement is what one server process says of itself.
type Statement struct {
	Process
	Limited   bool
	PerSecond float64
	Leaving   bool
	// Paused is how much longer the server wants nothing from this host.
	Paused time.Duration
	// Sent is the number of requests that this host sent to it within 4 s, and Refused the
	// number of those that it refused because of what the server says.
	Sent, Refused int
}

// Statements returns what all server processes say of themselves, by server.
func (t *Table) Statements(now time.Duration) []Statement {
	byProcess := map[Process]*Statement{}
	for _, l := range t.Limits.Limits() {
		byProcess[l.Process] = &Statement{Process: l.Process, Limited: true, PerSecond: l.PerSecond}
	}
	for p, s := range t.servers {
		paused := max(0, s.pausedUntil-now)
		if byProcess[p] == nil && !s.leaving && paused == 0 {
			continue
		}
		if byProcess[p] == nil {
			byProcess[p] = &Statement{Process: p}
		}
		byProcess[p].Leaving, byProcess[p].Paused = s.leaving, paused
		byProcess[p].Sent, byProcess[p].Refused = t.SentLately(now, p), s.refusals
	}
	var out []Statement
	for _, s := range byProcess {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}
