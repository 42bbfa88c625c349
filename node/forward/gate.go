package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Log commits commands.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Options of a Gate.
type Options struct {
	Protocol   Protocol
	Replica    *replica.Replica
	Log        Log
	DataCentre string
	// Servers returns the backend servers; the channel of ServersChanged is
	// closed at their next change.
	Servers        func() []membership.Presence
	ServersChanged func() <-chan struct{}
	// Holdings are what the leader says that servers hold.
	Holdings *Holdings
	// Hosts is the number of hosts that share the retry budget.
	Hosts  func() int
	Now    func() time.Duration
	Ready  func() bool
	Budget retry.Limit
	// Demanded is called when a request begins to wait.
	Demanded  func()
	Decisions *decision.Log
}

// Gate serves callers. It is safe for concurrent use.
type Gate struct {
	opts      Options
	transport *http.Transport
	view      atomic.Pointer[view]

	mu       sync.Mutex
	router   *routing.Router
	rng      *rand.Rand
	budgets  map[string]*retry.Budget
	demand   map[residency.Target]*demand
	changed  chan struct{}
	outlooks *outlooks
	// sequences are the newest announcements of the servers, and told the ends of
	// processes that were told to the other hosts.
	sequences map[string]uint64
	told      map[string]endOf

	running  sync.WaitGroup
	leaving  atomic.Bool
	closed   atomic.Bool
	inFlight atomic.Int64
	bodies   atomic.Int64
}

// view is what a request is decided by; it is replaced as a whole.
type view struct {
	index    *route.Index
	suspects map[string]state.SuspectRecord
}

const (
	// spillLoad is the number of own requests on a local server above which a
	// server of another data centre is considered.
	spillLoad = 12
	// openFailures is the number of consecutive failures that keep requests away
	// from a server for a while.
	openFailures = 3
)

// New returns a gate without a table; Run keeps it up to date.
func New(o Options) *Gate {
	seed := uint64(time.Now().UnixNano())
	g := &Gate{
		opts: o, transport: newTransport(), rng: rand.New(rand.NewPCG(seed, 2)),
		router: routing.New(routing.Options{
			DataCentre: o.DataCentre, Spill: spillLoad, BreakerFailures: openFailures,
		}, rand.New(rand.NewPCG(seed, 1))),
		budgets: map[string]*retry.Budget{}, demand: map[residency.Target]*demand{},
		changed: make(chan struct{}), outlooks: newOutlooks(),
		sequences: map[string]uint64{}, told: map[string]endOf{},
	}
	g.view.Store(&view{})
	return g
}

// Run follows the table, the servers and their holdings until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for {
		committed, announced, held := g.opts.Replica.Changed(), g.opts.ServersChanged(), g.opts.Holdings.Changed()
		g.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-committed:
		case <-announced:
		case <-held:
		}
	}
}

// Leave makes the gate close the connections of callers with its next answers.
func (g *Gate) Leave() { g.leaving.Store(true) }

// Close makes the gate refuse new requests as not run.
func (g *Gate) Close() { g.closed.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Wait returns once no request is in progress, or when ctx ends.
func (g *Gate) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// wake tells waiting requests to look again. The caller holds the lock.
func (g *Gate) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// budget returns a service's budget. The caller holds the lock.
func (g *Gate) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(g.opts.Budget)
		g.budgets[service] = b
	}
	return b
}
