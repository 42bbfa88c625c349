package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/evidence"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/origins"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/node/quotas"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Log proposes commands to the replicated log.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Options configures a Forwarder.
type Options struct {
	Protocol   Protocol
	Replica    *replica.Replica
	Log        Log
	DataCentre string
	// Self identifies this process as the holder of trials.
	Self state.HostProcess
	// Servers returns the known backend servers. ServersChanged returns a channel
	// that is closed when they next change.
	Servers        func() []membership.ServerStatus
	ServersChanged func() <-chan struct{}
	// Holdings are the server holdings as reported by the leader.
	Holdings *Holdings
	// HostCount returns the number of hosts that share the retry budget.
	HostCount func() int
	// Now returns the time since an arbitrary start.
	Now func() time.Duration
	// Ready reports whether this host can serve requests.
	Ready func() bool
	// AccountsCurrent reports whether this host may rely on the keys of accounts that it knows.
	// If it is nil, it always may.
	AccountsCurrent func() bool
	RetryLimit      retry.Limit
	// Dial opens a connection to a backend server; nil means one over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Memory accounts for the bodies of requests and answers. If it is nil, the Forwarder has
	// its own with the default limit.
	Memory *memory.Account
	// MaxRequests is the number of connections that callers may have. Requests in progress take
	// a part of them only, so that others still get an answer. Zero means any number.
	MaxRequests int
	// Quotas admits requests by the quotas of their accounts. It may be nil.
	Quotas *quotas.Client
	// QuotaTolerance is by how much the quotas may be exceeded.
	QuotaTolerance account.Tolerance
	// AskPermits asks the leader for permits to send requests to servers that name a
	// limit. If it is nil, the host uses its own share of each limit.
	AskPermits permits.Ask
	// AskOrigins tells and asks the leader which software versions began streams. If it is
	// nil, this host is the only one.
	AskOrigins origins.Ask
	// ServerSeen returns when the process of a server last announced itself, as far as this
	// host has heard, and false if it knows no such process. ConfirmProcess asks the server
	// of an attempt whether it still is that process. If they are nil, servers are taken
	// for the processes that are known.
	ServerSeen     func(server string, incarnation uint64) (at time.Duration, known bool)
	ConfirmProcess func(ctx context.Context, a routing.Attempt) error
	// OnLeaving is called when a server process says in an answer that it is leaving. It may
	// be nil.
	OnLeaving func(p notice.Process)
	// DemandChanged is called when a request begins to wait or is refused because no
	// server holds its target.
	DemandChanged func()
	Decisions     *decision.Log
}

// Forwarder forwards callers' requests to backend servers. It is safe for concurrent
// use.
type Forwarder struct {
	opts      Options
	transport *http.Transport
	view      atomic.Pointer[admissionView]

	mu      sync.Mutex
	router  *routing.Router
	rng     *rand.Rand
	budgets map[string]*retry.Budget
	demands map[residency.Target]*targetDemand
	// admitted counts the requests in progress by service, and admittedSum all of them.
	admitted    map[string]int
	admittedSum int
	// rebuilt is closed and replaced when the router has been rebuilt, which wakes the
	// requests that wait for a server.
	rebuilt    chan struct{}
	forecaster *forecaster
	// versionForecasters predict, for streams that have begun, from the servers of their
	// origin only.
	versionForecasters map[origin.Origin]*forecaster
	// nextReady is the next time at which a holding becomes ready without a further
	// report, or zero.
	nextReady time.Duration
	// sequences holds the sequence number of each server's newest announcement,
	// and reportedEnds the process end last reported for each server.
	sequences    map[string]uint64
	reportedEnds map[string]processEnd
	// begun remembers the answers that have begun.
	begun *evidence.Begun
	// begunRequests remembers those to whole requests that are safe to repeat.
	begunRequests *evidence.Begun
	// notices holds what servers say of themselves in their answers, and permits asks the
	// leader for permits to send to those with a limit.
	notices *notice.Table
	permits *permits.Client
	// origins knows which software versions began streams.
	origins *origins.Client
	// confirmed holds which servers were asked whether they are still the same processes.
	confirmed confirmedProcesses
	// requestSerial numbers the requests.
	requestSerial atomic.Uint64
	// unrecorded counts, by part, the crashes that accuse it and are not recorded
	// yet.
	unrecorded map[string]int

	refreshMu sync.Mutex
	// trials is the number of trials that this process has begun.
	trials atomic.Uint64

	// waitingStopped is closed by stopWaiting.
	waitingStopped chan struct{}
	stopWaiting    func()

	// departureEnd is when this host ends its requests in progress, or zero while it is not
	// leaving.
	departureEnd       atomic.Int64
	keepAlivesDisabled atomic.Bool
	admissionStopped   atomic.Bool
	inFlight           atomic.Int64
	requestsStarted    atomic.Int64
	originsUnconfirmed atomic.Int64
}

// admissionView is the immutable data by which requests are admitted and routed.
// A change replaces the complete view.
type admissionView struct {
	index *route.Index
	// suspects are the suspect requests and parts, and appliedIndex the log
	// index up to which they are known.
	suspects     *suspects
	appliedIndex uint64
	// versions are the software versions at which streams may begin.
	versions origin.Admitted
}

const (
	// remoteLoadThreshold is the number of this host's requests in flight on a server
	// of its own data centre from which on servers of other data centres are
	// considered. They are chosen if they have less than half of that load. Dozens of
	// hosts share the servers, so a host with few requests of its own on a server
	// cannot tell that the server is idle.
	remoteLoadThreshold = 1
	// breakerFailures is the number of consecutive failures that opens a server's
	// breaker.
	breakerFailures = 3
)

// New returns a Forwarder without a route table. Run loads the table and keeps it up
// to date.
func New(o Options) *Forwarder {
	seed := uint64(time.Now().UnixNano())
	if o.Dial == nil {
		o.Dial = newDialer().DialContext
	}
	if o.Memory == nil {
		o.Memory = memory.New(memory.DefaultLimit, nil)
	}
	notices := notice.NewTable(ratelimit.NewClient(o.HostCount, rand.New(rand.NewPCG(seed, 3))), rand.New(rand.NewPCG(seed, 4)))
	f := &Forwarder{
		opts: o, transport: newTransport(o.Dial), rng: rand.New(rand.NewPCG(seed, 2)), notices: notices,
		router: routing.New(routing.Options{
			DataCentre: o.DataCentre, RemoteLoadThreshold: remoteLoadThreshold, BreakerFailures: breakerFailures, Notices: notices,
		}, rand.New(rand.NewPCG(seed, 1))),
		budgets: map[string]*retry.Budget{}, demands: map[residency.Target]*targetDemand{}, admitted: map[string]int{},
		rebuilt: make(chan struct{}), forecaster: newForecaster(),
		sequences: map[string]uint64{}, reportedEnds: map[string]processEnd{}, begun: evidence.NewBegun(), begunRequests: evidence.NewBegun(), unrecorded: map[string]int{},
	}
	f.permits = permits.NewClient(permits.ClientOptions{
		Lock: &f.mu, Table: notices, Ask: o.AskPermits, Now: o.Now, Applied: f.permitsApplied,
	})
	f.origins = f.newOrigins()
	f.waitingStopped = make(chan struct{})
	f.stopWaiting = sync.OnceFunc(func() { close(f.waitingStopped) })
	f.view.Store(&admissionView{})
	return f
}

// Run calls Refresh on changes of the route table, the servers or their holdings, and when a holding
// becomes ready, until ctx ends. Changes that follow one another shortly are taken together.
func (f *Forwarder) Run(ctx context.Context) error {
	if f.opts.AskPermits != nil {
		go f.permits.Run(ctx)
	}
	go f.origins.Run(ctx)
	for {
		committed, serversChanged, holdingsChanged := f.opts.Replica.Changed(), f.opts.ServersChanged(), f.opts.Holdings.Changed()
		begun := f.opts.Now()
		f.Refresh()
		if !bootclock.Sleep(ctx, refreshPause(f.opts.Now()-begun)) {
			return nil
		}
		var becameReady <-chan time.Time
		if d, ok := f.untilNextReady(); ok {
			becameReady = time.After(d)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-becameReady:
		case <-committed:
		case <-serversChanged:
		case <-holdingsChanged:
		}
	}
}

const (
	// refreshPauseRatio is the ratio of the pause after a refresh to its duration. With a hundred
	// servers, changes arrive faster than a small host could rebuild its router for each of them.
	refreshPauseRatio = 9
	// minRefreshPause and maxRefreshPause bound the pause. A request that waits for an adapter waits
	// for a refresh too.
	minRefreshPause = 10 * time.Millisecond
	maxRefreshPause = 50 * time.Millisecond
)

// refreshPause returns the pause after a refresh that took a given time.
func refreshPause(took time.Duration) time.Duration {
	return min(maxRefreshPause, max(minRefreshPause, refreshPauseRatio*took))
}

// DisableKeepAlives makes the Forwarder close each caller's connection after its next
// answer.
func (f *Forwarder) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// BeginDeparture tells the Forwarder when this host will cut off its requests in progress. From
// StopAdmission on, requests that wait for a server, may not be repeated and may last
// longer are refused.
func (f *Forwarder) BeginDeparture(end time.Duration) { f.departureEnd.Store(int64(end)) }

// StopAdmission makes the Forwarder refuse new requests with a status that guarantees
// that they have not run.
func (f *Forwarder) StopAdmission() {
	f.admissionStopped.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeWaiting()
}

// StopWaiting makes the Forwarder refuse the requests that wait for a server, and begin no
// further attempts. Attempts in progress continue.
func (f *Forwarder) StopWaiting() { f.stopWaiting() }

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// idlePollInterval is how often WaitIdle checks for requests in flight.
const idlePollInterval = 10 * time.Millisecond

// WaitIdle returns once no request has been in flight for the given time, or when ctx
// ends. It reports whether the former is the case.
func (f *Forwarder) WaitIdle(ctx context.Context, quiet time.Duration) bool {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	idleSince, started := f.opts.Now(), f.requestsStarted.Load()
	for {
		now := f.opts.Now()
		if n := f.requestsStarted.Load(); n != started || f.inFlight.Load() > 0 {
			idleSince, started = now, n
		}
		if now-idleSince >= quiet && f.inFlight.Load() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}

// wakeWaiting wakes the waiting requests, which then select a server again. f.mu must
// be held.
func (f *Forwarder) wakeWaiting() {
	close(f.rebuilt)
	f.rebuilt = make(chan struct{})
}

// budgetFor returns a service's retry budget, which it creates if necessary. f.mu
// must be held.
func (f *Forwarder) budgetFor(service string) *retry.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retry.NewBudget(f.opts.RetryLimit)
		f.budgets[service] = b
	}
	return b
}
