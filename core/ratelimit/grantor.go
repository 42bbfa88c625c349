package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// burstTime is the time for which a server's unused rate is kept, besides one permit.
	burstTime = 250 * time.Millisecond
	// endedRetention is how long an ended limit is still told to hosts.
	endedRetention = 30 * time.Second
)

// Grantor is the leader's side: it merges the sightings of all hosts and grants permits
// at the rate that each server names. A new leader starts with an empty one, so that its
// permits and those of its predecessor together stay within the rate. It is not safe for
// concurrent use.
type Grantor struct {
	servers map[Process]*bucket
	version uint64
}

// bucket is the token bucket of one server process.
type bucket struct {
	belief   belief
	tokens   float64
	filledAt time.Duration
	// waiting holds the wants of each host, and grantedAt when a host last got a permit.
	waiting   map[string]*Want
	grantedAt map[string]time.Duration
	// granted counts the permits by host since the limit began.
	granted map[string]int
	// wantedAt is when a host last wanted a permit.
	wantedAt time.Duration
}

// HostGrants are the grants for one host.
type HostGrants struct {
	Host   string
	Grants []Grant
}

// NewGrantor returns a Grantor that knows no limits. version must differ from the
// versions of earlier leaders.
func NewGrantor(version uint64) *Grantor {
	return &Grantor{servers: map[Process]*bucket{}, version: version}
}

// Accept merges the sightings of a request, whose times are on the leader's clock, and
// replaces the wants of its host. It returns the limits that changed.
func (g *Grantor) Accept(now time.Duration, r Request) []Change {
	var changes []Change
	for _, s := range r.Sightings {
		if g.record(now, s) {
			b := g.servers[s.Process].belief
			changes = append(changes, Change{Process: s.Process, Limited: b.limited, PerSecond: b.perSecond})
		}
	}
	if len(changes) > 0 {
		g.version++
	}
	g.Forget(r.Host)
	for _, w := range r.Wants {
		b := g.servers[w.Process]
		if b == nil || !b.belief.limited {
			continue
		}
		b.putBack(r.Host, w.Returned)
		if w.Sole+w.Optional > 0 {
			b.waiting[r.Host] = &w
			b.wantedAt = now
		}
	}
	g.removeOld(now)
	return changes
}

// record merges one sighting and reports whether it changed a limit.
func (g *Grantor) record(now time.Duration, s Sighting) bool {
	b := g.servers[s.Process]
	if b == nil {
		if !s.Named || len(g.servers) >= maxServers {
			return false
		}
		b = &bucket{filledAt: now, tokens: 1, waiting: map[string]*Want{}, grantedAt: map[string]time.Duration{}, granted: map[string]int{}}
		g.servers[s.Process] = b
	}
	changed := b.belief.apply(s)
	if !b.belief.limited {
		clear(b.waiting)
	}
	return changed
}

// Forget removes the wants of a host that no longer waits for an answer.
func (g *Grantor) Forget(host string) {
	for _, b := range g.servers {
		delete(b.waiting, host)
	}
}

// removeOld removes the servers without news.
func (g *Grantor) removeOld(now time.Duration) {
	maps.DeleteFunc(g.servers, func(_ Process, b *bucket) bool {
		age := now - max(b.belief.newest(), b.wantedAt)
		return age > retention || !b.belief.limited && now-b.belief.newest() > endedRetention
	})
}

// Grant returns the permits that are due, by host. reachable is the share of the hosts
// that can reach the leader: the others use their own shares.
func (g *Grantor) Grant(now time.Duration, reachable float64) []HostGrants {
	byHost := map[string][]Grant{}
	for _, p := range g.processes() {
		b := g.servers[p]
		if !b.belief.limited {
			continue
		}
		b.fill(now, reachable)
		permits := map[string]int{}
		for b.tokens >= 1 {
			host, ok := b.next()
			if !ok {
				break
			}
			b.take(now, host)
			permits[host]++
		}
		for host, n := range permits {
			byHost[host] = append(byHost[host], Grant{Process: p, Permits: n, Interval: b.interval(reachable)})
		}
	}
	var out []HostGrants
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		out = append(out, HostGrants{Host: host, Grants: byHost[host]})
	}
	return out
}

// Intervals returns, for the servers that a host waits for, the expected time between two
// permits.
func (g *Grantor) Intervals(host string, reachable float64) []Grant {
	var out []Grant
	for _, p := range g.processes() {
		if b := g.servers[p]; b.waiting[host] != nil {
			out = append(out, Grant{Process: p, Interval: b.interval(reachable)})
		}
	}
	return out
}

// NextAt returns when the next permit is due that a host waits for, and false if none
// is waited for.
func (g *Grantor) NextAt(now time.Duration, reachable float64) (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, b := range g.servers {
		if len(b.waiting) == 0 || !b.belief.limited {
			continue
		}
		at := now
		if rate := b.rate(reachable); b.tokens < 1 && rate > 0 {
			at = max(now, b.filledAt+time.Duration(math.Ceil((1-b.tokens)/rate*float64(time.Second))))
		}
		if !found || at < earliest {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// Limits returns the limits that are known and those that have ended lately, and their
// version.
func (g *Grantor) Limits() ([]Sighting, uint64) {
	var out []Sighting
	for _, p := range g.processes() {
		out = append(out, g.servers[p].belief.sighting(p))
	}
	return out, g.version
}

// Usage is how the permits of one limit were used.
type Usage struct {
	Process
	PerSecond float64
	// Granted counts the permits by host since the limit was named.
	Granted map[string]int
	// Waiting is the number of requests that wait for a permit.
	Waiting int
}

// Usage returns the usage of all limits in force.
func (g *Grantor) Usage() []Usage {
	var out []Usage
	for _, p := range g.processes() {
		if b := g.servers[p]; b.belief.limited {
			out = append(out, Usage{Process: p, PerSecond: b.belief.perSecond, Granted: maps.Clone(b.granted), Waiting: b.soleWaiting()})
		}
	}
	return out
}

func (g *Grantor) processes() []Process {
	return slices.SortedFunc(maps.Keys(g.servers), compareProcess)
}

func compareProcess(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}

// rate returns the rate of permits for the reachable hosts, in 1/s.
func (b *bucket) rate(reachable float64) float64 { return permitRate(b.belief.perSecond) * reachable }

// fill adds the tokens that have accumulated.
func (b *bucket) fill(now time.Duration, reachable float64) {
	rate := b.rate(reachable)
	b.tokens += rate * (now - b.filledAt).Seconds()
	b.tokens = min(b.tokens, 1+rate*burstTime.Seconds())
	b.filledAt = now
}

// next returns the host whose turn it is: hosts with requests that no other server can
// take first, and of these the one whose last permit is the oldest.
func (b *bucket) next() (string, bool) {
	best := ""
	for _, host := range slices.Sorted(maps.Keys(b.waiting)) {
		if best == "" || b.precedes(host, best) {
			best = host
		}
	}
	return best, best != ""
}

func (b *bucket) precedes(host, other string) bool {
	sole, otherSole := b.waiting[host].Sole > 0, b.waiting[other].Sole > 0
	if sole != otherSole {
		return sole
	}
	return b.lastGrant(host) < b.lastGrant(other)
}

// lastGrant returns when a host last got a permit. A host that got none precedes all
// others.
func (b *bucket) lastGrant(host string) time.Duration {
	if at, ok := b.grantedAt[host]; ok {
		return at
	}
	return math.MinInt64
}

func (b *bucket) take(now time.Duration, host string) {
	b.tokens--
	b.grantedAt[host] = now
	b.granted[host]++
	w := b.waiting[host]
	if w.Sole > 0 {
		w.Sole--
	} else {
		w.Optional--
	}
	if w.Sole+w.Optional == 0 {
		delete(b.waiting, host)
	}
}

// putBack returns permits that a host did not use. A host cannot return more than it got.
func (b *bucket) putBack(host string, permits int) {
	permits = min(max(0, permits), b.granted[host])
	b.granted[host] -= permits
	b.tokens += float64(permits)
}

func (b *bucket) soleWaiting() int {
	n := 0
	for _, w := range b.waiting {
		n += w.Sole
	}
	return n
}

// interval returns the expected time between two permits for requests of one host that no
// other server can take. The hosts with such requests take turns.
func (b *bucket) interval(reachable float64) time.Duration {
	hosts := 0
	for _, w := range b.waiting {
		if w.Sole > 0 {
			hosts++
		}
	}
	rate := max(b.rate(reachable), minGrantedPerSecond/maxIntervalHosts)
	return time.Duration(float64(max(1, hosts)) / rate * float64(time.Second))
}

// maxIntervalHosts bounds the expected interval when hardly any host is reachable.
const maxIntervalHosts = 100
