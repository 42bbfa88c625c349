package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// simWindow, simFactor and simSlack are the published allowance: in each window a
	// server may get simFactor times what its limit allows and simSlack requests more.
	simWindow = 4 * sec
	simFactor = 1.5
	simSlack  = 5
	simTick   = 5 * ms
	// simLinkDelay is the time of a message, and simAnswerTime that of an answer.
	simLinkDelay  = 5 * ms
	simAnswerTime = 100 * ms
	// simLimitFrom is when the server first names its limit, and simGrace how long after
	// that the allowance begins to hold.
	simLimitFrom = 2 * sec
	simGrace     = 1 * sec
)

// simulation plays hosts before one server that names a limit, in virtual time.
type simulation struct {
	opts    simOptions
	rng     *rand.Rand
	now     time.Duration
	grantor *Grantor
	term    uint64
	clients []*Client
	// frozen hosts do nothing until the given time.
	frozenUntil []time.Duration
	events      []simEvent
	// waiting holds, by host, the requests that wait for a permit and when they give up.
	waiting  []map[uint64]time.Duration
	arrivals []time.Duration
	// asked is the number of the request to which a host awaits the leader's reply, or zero,
	// and asks numbers them.
	asked []int
	asks  int
	// toldAt is when a host was last told of limits without having asked.
	toldAt   []time.Duration
	messages int
	gaveUp   int
	nextID   uint64
	// arrivedAt is when each request came, and waits holds how long those that were sent
	// had waited.
	arrivedAt map[uint64]time.Duration
	waits     []time.Duration
}

type simOptions struct {
	hosts     int
	perSecond float64
	// demand is the number of requests a second, of which skew come to the first host.
	demand, skew float64
	duration     time.Duration
	// leaderDown are spans without a leader, each followed by one that knows nothing.
	leaderDown [][2]time.Duration
	// lossShare of the messages to the leader or from it are lost.
	lossShare float64
	// freezeShare of the hosts stand still for 3 s at second 10.
	freezeShare float64
	// changes are limits that the server names from a time on; a negative one means none.
	changes map[time.Duration]float64
	// unlimited makes hosts ignore the limit.
	unlimited bool
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSimulation(seed uint64, o simOptions) *simulation {
	s := &simulation{
		opts: o, rng: rand.New(rand.NewPCG(seed, 0)), grantor: NewGrantor(1 << 32), arrivedAt: map[uint64]time.Duration{},
		frozenUntil: make([]time.Duration, o.hosts), asked: make([]int, o.hosts), toldAt: make([]time.Duration, o.hosts),
	}
	for i := range o.hosts {
		s.clients = append(s.clients, NewClient(func() int { return o.hosts }, rand.New(rand.NewPCG(seed, uint64(i)))))
		s.waiting = append(s.waiting, map[uint64]time.Duration{})
	}
	return s
}

// limit returns the limit that the server names now, and false if it names none.
func (s *simulation) limit() (float64, bool) {
	limit, from := s.opts.perSecond, simLimitFrom
	if s.now < from {
		return 0, false
	}
	for at, l := range s.opts.changes {
		if s.now >= at && at > from {
			limit, from = l, at
		}
	}
	return limit, limit >= 0
}

func (s *simulation) leads() bool {
	for _, span := range s.opts.leaderDown {
		if s.now >= span[0] && s.now < span[1] {
			return false
		}
	}
	return true
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, simEvent{s.now + d, run})
}

// run plays the simulation.
func (s *simulation) run() {
	led := true
	for ; s.now < s.opts.duration; s.now += simTick {
		if leads := s.leads(); leads != led {
			led = leads
			s.term++
			s.grantor = NewGrantor((s.term + 1) << 32)
		}
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at <= s.now {
				e.run()
			} else {
				s.events = append(s.events, e)
			}
		}
		s.arrive()
		for host := range s.clients {
			if s.now >= s.frozenUntil[host] {
				s.step(host)
			}
		}
		s.grant()
		if s.now == 10*sec {
			for host := range int(s.opts.freezeShare * float64(s.opts.hosts)) {
				s.frozenUntil[host] = 13 * sec
			}
		}
	}
}

// arrive adds the requests of callers.
func (s *simulation) arrive() {
	for expected := s.opts.demand * simTick.Seconds(); expected > 0; expected-- {
		if s.rng.Float64() >= expected {
			continue
		}
		host := s.rng.IntN(s.opts.hosts)
		if s.rng.Float64() < s.opts.skew {
			host = 0
		}
		s.nextID++
		s.waiting[host][s.nextID] = s.now + 2*sec
		s.arrivedAt[s.nextID] = s.now
	}
}

// step sends the requests of a host that may be sent, and asks the leader for the others.
func (s *simulation) step(host int) {
	c := s.clients[host]
	ids := make([]uint64, 0, len(s.waiting[host]))
	for id := range s.waiting[host] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch {
		case s.now >= s.waiting[host][id]:
			delete(s.waiting[host], id)
			c.Release(id)
			s.gaveUp++
		case s.opts.unlimited || c.MaySend(s.now, testProcess, Waiter{Request: id}):
			c.Take(s.now, testProcess, id)
			delete(s.waiting[host], id)
			s.waits = append(s.waits, s.now-s.arrivedAt[id])
			s.send(host)
		default:
			c.Want(s.now, testProcess, Waiter{Request: id}, true)
		}
	}
	if s.asked[host] == 0 && (c.HasNews() || len(s.waiting[host]) > 0) {
		s.ask(host)
	}
}

// send sends a request to the server, whose answer says what it takes.
func (s *simulation) send(host int) {
	sentAt := s.now
	s.after(simLinkDelay, func() {
		s.arrivals = append(s.arrivals, s.now)
		limit, named := s.limit()
		s.after(simAnswerTime, func() {
			s.clients[host].Record(Sighting{Process: testProcess, Named: named, PerSecond: limit, SentAt: sentAt, ReceivedAt: s.now})
		})
	})
}

// ask sends a request of a host to the leader, which answers once it has a permit or after
// simHold.
func (s *simulation) ask(host int) {
	s.messages++
	s.asks++
	number := s.asks
	s.asked[host] = number
	sentAt, r := s.now, s.clients[host].NextRequest(s.now)
	s.after(simTimeout, func() { s.finish(host, number) })
	if s.rng.Float64() < s.opts.lossShare {
		return
	}
	s.after(simLinkDelay, func() {
		if !s.leads() {
			return
		}
		r.Host = fmt.Sprint(host)
		for i := range r.Sightings {
			r.Sightings[i] = r.Sightings[i].Shift(s.now)
		}
		s.grantor.Accept(s.now, r)
		s.after(simHold, func() {
			if s.asked[host] == number {
				s.answer(host, sentAt, number, nil)
			}
		})
	})
}

// finish ends the wait for the reply to a request.
func (s *simulation) finish(host, number int) {
	if s.asked[host] == number {
		s.asked[host] = 0
	}
}

const (
	simHold    = 400 * ms
	simTimeout = 1 * sec
)

// grant answers the hosts for which permits are due, and tells all hosts of limits that they
// do not know.
func (s *simulation) grant() {
	if !s.leads() {
		return
	}
	for _, g := range s.grantor.Grant(s.now, 1) {
		var host int
		_, _ = fmt.Sscan(g.Host, &host)
		s.grantor.Forget(g.Host)
		s.answer(host, s.now-simLinkDelay, s.asked[host], g.Grants)
	}
	_, version := s.grantor.Limits()
	for host, c := range s.clients {
		if c.version != version && s.asked[host] == 0 && s.now-s.toldAt[host] > simHold {
			s.toldAt[host] = s.now
			s.answer(host, s.now, 0, nil)
		}
	}
}

func (s *simulation) answer(host int, sentAt time.Duration, number int, grants []Grant) {
	limits, version := s.grantor.Limits()
	for i := range limits {
		limits[i] = limits[i].Shift(-s.now)
	}
	s.messages++
	if s.rng.Float64() < s.opts.lossShare {
		return
	}
	s.after(simLinkDelay, func() {
		s.finish(host, number)
		if s.now >= s.frozenUntil[host] {
			s.clients[host].ApplyReply(s.now, sentAt, Reply{Version: version, Limits: limits, Grants: grants})
		}
	})
}

// arrivedAfter returns the number of requests that the server got from a time on.
func (s *simulation) arrivedAfter(from time.Duration) int {
	n := 0
	for _, at := range s.arrivals {
		if at >= from {
			n++
		}
	}
	return n
}

// worst returns the highest number of requests in one window, and the highest ratio to
// what the limits in force allowed in it.
func (s *simulation) worst() (most int, ratio float64) {
	for first, begin := range s.arrivals {
		if begin < simLimitFrom+simGrace {
			continue
		}
		n := 0
		for _, at := range s.arrivals[first:] {
			if at >= begin+simWindow {
				break
			}
			n++
		}
		if allowed := s.allowed(begin); n > most || float64(n)/allowed > ratio {
			most, ratio = max(most, n), max(ratio, float64(n)/allowed)
		}
	}
	return most, ratio
}

// allowed returns how many requests the server may get in the window from begin: with
// limits that change, by the highest one named in it.
func (s *simulation) allowed(begin time.Duration) float64 {
	highest := 0.0
	now := s.now
	defer func() { s.now = now }()
	for s.now = begin - simGrace; s.now < begin+simWindow; s.now += 100 * ms {
		limit, named := s.limit()
		if !named {
			return 1e9
		}
		highest = max(highest, limit)
	}
	return simFactor*highest*simWindow.Seconds() + simSlack
}

// TestHostsTogetherKeepTheLimit guards against hosts that together send more than a server
// takes, and against a limit that is hardly used, whatever the number of hosts, the demand
// and what fails. It counts each window of 4 s.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	down := [][2]time.Duration{{8 * sec, 9500 * ms}, {14 * sec, 20 * sec}}
	for _, c := range []struct {
		name string
		opts simOptions
		// used is the share of the limit that must be used at least.
		used float64
	}{
		{"8 hosts", simOptions{hosts: 8, perSecond: 3.7, demand: 40}, 0.9},
		{"8 hosts, limit of 1", simOptions{hosts: 8, perSecond: 1, demand: 20}, 0.8},
		{"8 hosts, all demand on one", simOptions{hosts: 8, perSecond: 3.7, demand: 40, skew: 1}, 0.9},
		{"8 hosts, high limit", simOptions{hosts: 8, perSecond: 40, demand: 100}, 0.9},
		{"8 hosts, leaders lost", simOptions{hosts: 8, perSecond: 3.7, demand: 40, leaderDown: down}, 0.6},
		{"8 hosts, a fifth of the messages lost", simOptions{hosts: 8, perSecond: 3.7, demand: 40, lossShare: 0.2}, 0.5},
		{"8 hosts, half of them frozen", simOptions{hosts: 8, perSecond: 3.7, demand: 40, freezeShare: 0.5}, 0.8},
		{"8 hosts, lowered, raised, ended", simOptions{hosts: 8, perSecond: 6, demand: 40, changes: map[time.Duration]float64{
			8 * sec: 1, 16 * sec: 8, 24 * sec: -1,
		}}, 0},
		{"100 hosts, limit of 1", simOptions{hosts: 100, perSecond: 1, demand: 50}, 0.8},
		{"100 hosts, uneven", simOptions{hosts: 100, perSecond: 3.7, demand: 60, skew: 0.7}, 0.9},
		{"100 hosts, leaders lost", simOptions{hosts: 100, perSecond: 3.7, demand: 60, leaderDown: down}, 0.5},
		{"300 hosts, limit of 1", simOptions{hosts: 300, perSecond: 1, demand: 60}, 0.8},
		{"300 hosts, uneven", simOptions{hosts: 300, perSecond: 8, demand: 100, skew: 0.5}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				c.opts.duration = 30 * sec
				s := newSimulation(seed, c.opts)
				s.run()
				most, ratio := s.worst()
				used := float64(s.arrivedAfter(simLimitFrom+simGrace)) / (c.opts.perSecond * (c.opts.duration - simLimitFrom - simGrace).Seconds())
				t.Logf("seed %d: at most %d in %s, %.2f of what is allowed; %.2f of the limit used; %.1f messages a second",
					seed, most, simWindow, ratio, used, float64(s.messages)/c.opts.duration.Seconds())
				if ratio > 1 {
					t.Errorf("seed %d: a window has %.2f of what is allowed", seed, ratio)
				}
				if used < c.used {
					t.Errorf("seed %d: %.2f of the limit was used, want at least %.2f", seed, used, c.used)
				}
			}
		})
	}
}

// TestPermitsDelayRequestsLittle guards against requests that wait although the limit is
// hardly used.
func TestPermitsDelayRequestsLittle(t *testing.T) {
	for _, hosts := range []int{8, 100, 300} {
		s := newSimulation(1, simOptions{hosts: hosts, perSecond: 10, demand: 5, duration: 30 * sec})
		s.run()
		slices.Sort(s.waits)
		t.Logf("%d hosts: median %s, p99 %s, %.1f messages a second", hosts, s.waits[len(s.waits)/2], s.waits[len(s.waits)*99/100], float64(s.messages)/s.opts.duration.Seconds())
		if median := s.waits[len(s.waits)/2]; median > 4*simLinkDelay {
			t.Errorf("%d hosts: requests at half of the limit wait %s at the median, want two messages of %s", hosts, median, simLinkDelay)
		}
		if s.gaveUp > 0 {
			t.Errorf("%d hosts: %d requests at half of the limit got no permit in 2 s", hosts, s.gaveUp)
		}
	}
}

// TestSimulationDetectsIgnoredLimits guards against a simulation that cannot fail.
func TestSimulationDetectsIgnoredLimits(t *testing.T) {
	s := newSimulation(1, simOptions{hosts: 8, perSecond: 1, demand: 20, duration: 20 * sec, unlimited: true})
	s.run()
	if _, ratio := s.worst(); ratio <= 1 {
		t.Errorf("hosts that ignore the limit send %.2f of what is allowed", ratio)
	}
}
