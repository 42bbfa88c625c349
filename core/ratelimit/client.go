package ratelimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// permitLifetime is how long after the sending of a request the permits in its reply
	// may be used. It bounds how much later than it was granted a permit takes effect.
	permitLifetime = 1200 * time.Millisecond
	// wantLifetime is how long a request counts as wanting a permit after it last asked.
	wantLifetime = 400 * time.Millisecond
	// contactTimeout is how long a host waits for a reply of the leader before it uses its
	// own share. Permits of the leader have expired by then.
	contactTimeout = permitLifetime
	// maxWants bounds the requests that want a permit for one server.
	maxWants = 256
	// maxOptional bounds the permits that a host asks for requests that went elsewhere, so
	// that few expire unused.
	maxOptional = 4
)

// Client is a host's side: what the host believes about limits, its permits and the
// requests that want one. It is not safe for concurrent use.
type Client struct {
	hosts   func() int
	rng     *rand.Rand
	servers map[Process]*limit
	// limited is the number of servers with a limit.
	limited int
	// version is the version of the limits that the leader told last.
	version uint64
	// unansweredSince is when the first request was sent that wants permits and that the
	// leader has not answered, if unanswered is set.
	unansweredSince time.Duration
	unanswered      bool
	// news is set if the leader has to be told or asked something new.
	news bool
}

// limit is the state for one server process.
type limit struct {
	belief  belief
	permits []time.Duration // when they expire, oldest first
	wants   map[uint64]want // by request
	// told is the limit as the leader told it last. A belief that differs is sent to it.
	told Change
	// interval is the expected time between two permits that the leader told, or zero.
	interval time.Duration
	// nextOwnAt is when the host's own share allows the next request while the leader
	// does not answer, if ownShare is set.
	nextOwnAt time.Duration
	ownShare  bool
}

type want struct {
	priority int
	// since is when the request first wanted a permit, and at when it last did.
	since, at time.Duration
	sole      bool
}

// NewClient returns a Client that knows no limits. hosts returns the number of hosts that
// send requests; each of them may use its own share without the leader.
func NewClient(hosts func() int, rng *rand.Rand) *Client {
	return &Client{hosts: hosts, rng: rng, servers: map[Process]*limit{}}
}

// Record merges what an answer says. It returns the change of the limit, if any.
func (c *Client) Record(s Sighting) (Change, bool) {
	l := c.servers[s.Process]
	if l == nil {
		if !s.Named || len(c.servers) >= maxServers {
			return Change{}, false
		}
		l = &limit{wants: map[uint64]want{}}
		c.servers[s.Process] = l
	}
	before := l.belief.limited
	if !l.belief.apply(s) {
		return Change{}, false
	}
	c.news = true
	c.countLimited(before, l.belief.limited)
	if !l.belief.limited {
		l.permits, l.interval, l.ownShare = nil, 0, false
		clear(l.wants)
	}
	return Change{Process: s.Process, Limited: l.belief.limited, PerSecond: l.belief.perSecond}, true
}

// countLimited updates the number of servers with a limit.
func (c *Client) countLimited(before, after bool) {
	switch {
	case before && !after:
		c.limited--
	case !before && after:
		c.limited++
	}
}

// Limited reports whether a server process has a limit.
func (c *Client) Limited(p Process) bool {
	l := c.servers[p]
	return l != nil && l.belief.limited
}

// PerSecond returns the limit of a server process in requests per second, or zero if it has
// none.
func (c *Client) PerSecond(p Process) float64 {
	if !c.Limited(p) {
		return 0
	}
	return c.servers[p].belief.perSecond
}

// HasLimits reports whether any server has a limit.
func (c *Client) HasLimits() bool { return c.limited > 0 }

// MaySend reports whether a request may be sent to a server process now: it has no limit,
// or the host has a permit that no request before this one wants.
func (c *Client) MaySend(now time.Duration, p Process, w Waiter) bool {
	l := c.servers[p]
	if l == nil || !l.belief.limited {
		return true
	}
	l.dropExpired(now)
	permits := len(l.permits)
	if c.ownShareDue(now, l) {
		permits = max(permits, 1)
	}
	return permits > 0 && l.position(now, w) < permits
}

// HasPermit reports whether a server process has a limit and the host has an unused permit
// for a request.
func (c *Client) HasPermit(now time.Duration, p Process, w Waiter) bool {
	return c.Limited(p) && c.MaySend(now, p, w)
}

// Take uses one permit for a request that is sent now. Without a limit it does nothing.
func (c *Client) Take(now time.Duration, p Process, request uint64) {
	l := c.servers[p]
	if l == nil || !l.belief.limited {
		return
	}
	delete(l.wants, request)
	l.dropExpired(now)
	switch {
	case len(l.permits) > 0:
		l.permits = l.permits[1:]
	case l.ownShare:
		l.nextOwnAt = now + c.ownInterval(l)
	}
}

// Want records that a request would be sent to a server process if the host had a permit.
// sole is set if no other server can take the request.
func (c *Client) Want(now time.Duration, p Process, w Waiter, sole bool) {
	l := c.servers[p]
	if l == nil || !l.belief.limited {
		return
	}
	since := now
	if known, ok := l.wants[w.Request]; ok {
		since = known.since
	} else {
		if len(l.wants) >= maxWants {
			return
		}
		// The leader knows as many optional wants as it is told at most.
		c.news = c.news || sole || len(l.wants) < maxOptional
	}
	l.wants[w.Request] = want{priority: w.Priority, since: since, at: now, sole: sole}
}

// Release records that a request no longer waits: it was sent or has ended. The requests
// after it then come earlier.
func (c *Client) Release(request uint64) {
	if c.limited == 0 {
		return
	}
	for _, l := range c.servers {
		if l.wants[request].sole {
			delete(l.wants, request)
		}
	}
}

// Delay returns how long a request is expected to wait for a permit.
func (c *Client) Delay(now time.Duration, p Process, w Waiter) time.Duration {
	l := c.servers[p]
	switch {
	case l == nil || !l.belief.limited:
		return 0
	case c.withoutLeader(now):
		c.ownShareDue(now, l)
		return max(0, l.nextOwnAt-now) + time.Duration(l.position(now, w))*c.ownInterval(l)
	}
	interval := l.interval
	if interval == 0 {
		// The leader has not answered yet. The permits may all be for this host.
		interval = time.Duration(float64(time.Second) / permitRate(l.belief.perSecond))
	}
	return time.Duration(max(0, l.position(now, w)+1-len(l.permits))) * interval
}

// HasNews reports whether a new request to the leader is due at once.
func (c *Client) HasNews() bool { return c.news }

// NextRequest returns the request to the leader, whose times are ages: they count back
// from zero, the time of sending.
func (c *Client) NextRequest(now time.Duration) Request {
	c.news = false
	r := Request{KnownVersion: c.version}
	for _, p := range slices.SortedFunc(maps.Keys(c.servers), compareProcess) {
		l := c.servers[p]
		if now-l.belief.newest() > retention {
			c.countLimited(l.belief.limited, false)
			delete(c.servers, p)
			continue
		}
		if l.differsFromTold() {
			r.Sightings = append(r.Sightings, l.belief.sighting(p).Shift(-now))
		}
		l.dropExpired(now)
		w := l.count(now)
		w.Process = p
		inHand := len(l.permits)
		w.Sole, inHand = max(0, w.Sole-inHand), max(0, inHand-w.Sole)
		w.Optional, inHand = min(max(0, w.Optional-inHand), maxOptional), max(0, inHand-w.Optional)
		w.Returned = l.giveBack(inHand)
		if w.Sole+w.Optional+w.Returned > 0 {
			r.Wants = append(r.Wants, w)
		}
	}
	if r.WantsPermits() && !c.unanswered {
		c.unanswered, c.unansweredSince = true, now
	}
	return r
}

// ApplyReply merges the leader's reply to the request that was sent at sentAt. The times
// of its limits are ages, as in NextRequest. It returns the limits that changed and
// whether there are new permits.
func (c *Client) ApplyReply(now, sentAt time.Duration, r Reply) (changes []Change, granted bool) {
	c.unanswered = false
	if r.Version != c.version {
		c.version = r.Version
		changes = c.applyLimits(now, r.Limits)
	}
	for _, g := range r.Grants {
		l := c.servers[g.Process]
		if l == nil || !l.belief.limited {
			continue
		}
		l.interval = g.Interval
		for range g.Permits {
			l.permits = append(l.permits, sentAt+permitLifetime)
		}
		granted = granted || g.Permits > 0 && sentAt+permitLifetime > now
		slices.Sort(l.permits)
		w := l.count(now)
		c.news = c.news || len(l.permits) > w.Sole+w.Optional
	}
	return changes, granted
}

// applyLimits merges the complete list of the limits that the leader knows. If the host
// knows better, the leader is told at once.
func (c *Client) applyLimits(now time.Duration, list []Sighting) []Change {
	var changes []Change
	for _, l := range c.servers {
		l.told = Change{}
	}
	for _, s := range list {
		if change, ok := c.Record(s.Shift(now)); ok {
			changes = append(changes, change)
		}
		if l := c.servers[s.Process]; l != nil {
			l.told = Change{Limited: s.Named, PerSecond: s.PerSecond}
		}
	}
	for _, l := range c.servers {
		c.news = c.news || l.differsFromTold()
	}
	return changes
}

// differsFromTold reports whether the leader does not know the limit as this host does.
func (l *limit) differsFromTold() bool {
	if l.belief.limited != l.told.Limited {
		return true
	}
	return l.belief.limited && l.belief.perSecond != l.told.PerSecond
}

// Limits returns the limits in force.
func (c *Client) Limits() []Change {
	var out []Change
	for _, p := range slices.SortedFunc(maps.Keys(c.servers), compareProcess) {
		if b := c.servers[p].belief; b.limited {
			out = append(out, Change{Process: p, Limited: true, PerSecond: b.perSecond})
		}
	}
	return out
}

// withoutLeader reports whether the leader does not answer. The host then uses its own
// share of each limit: an equal part for each host, whatever the others do.
func (c *Client) withoutLeader(now time.Duration) bool {
	return c.unanswered && now-c.unansweredSince > contactTimeout
}

// ownShareDue reports whether the host's own share allows a request now. The first one of
// a host is sent after a random part of its interval, so that the hosts do not send
// together.
func (c *Client) ownShareDue(now time.Duration, l *limit) bool {
	if !c.withoutLeader(now) {
		l.ownShare = false
		return false
	}
	if !l.ownShare {
		l.ownShare = true
		l.nextOwnAt = now + time.Duration(c.rng.Float64()*float64(c.ownInterval(l)))
	}
	return now >= l.nextOwnAt
}

// ownInterval returns the time between two requests of the host's own share.
func (c *Client) ownInterval(l *limit) time.Duration {
	return time.Duration(float64(max(1, c.hosts())) / permitRate(l.belief.perSecond) * float64(time.Second))
}

// position returns the number of requests without another server that come before a request.
func (l *limit) position(now time.Duration, w Waiter) int {
	own, known := l.wants[w.Request]
	if !known {
		own = want{priority: w.Priority, since: now}
	}
	n := 0
	for request, other := range l.wants {
		if request != w.Request && other.sole && now-other.at <= wantLifetime && other.precedes(own) {
			n++
		}
	}
	return n
}

// precedes reports whether a request is sent before another one that wants a permit.
func (w want) precedes(other want) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.since < other.since
}

func (l *limit) dropExpired(now time.Duration) {
	for len(l.permits) > 0 && now >= l.permits[0] {
		l.permits = l.permits[1:]
	}
}

// giveBack removes n permits, those that expire last, and returns how many it removed.
func (l *limit) giveBack(n int) int {
	n = min(n, len(l.permits))
	l.permits = l.permits[:len(l.permits)-n]
	return n
}

// count returns the requests that want a permit.
func (l *limit) count(now time.Duration) Want {
	var out Want
	for request, w := range l.wants {
		switch {
		case now-w.at > wantLifetime:
			delete(l.wants, request)
		case w.sole:
			out.Sole++
		default:
			out.Optional++
		}
	}
	return out
}
