package forward

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/patience"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// suspectTimeout bounds the commit of a crash.
const suspectTimeout = 3 * time.Second

// draw returns a random number in [0, 1).
func (g *Gate) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// arrived counts a request for its target and for the retry budget.
func (g *Gate) arrived(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(c.key.Service).Request(g.opts.Now())
	if c.key.Model != "" {
		d := g.target(residency.Target{Model: c.key.Model, Adapter: c.key.Adapter})
		d.arrivals++
		d.last = g.opts.Now()
	}
}

// retry asks the service's budget for one more arrival.
func (g *Gate) retry(service string) bool {
	hosts := g.opts.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Retry(g.opts.Now(), hosts)
}

// beginWait counts a request that waits. The leader hears of it at once.
func (g *Gate) beginWait(t residency.Target, c *call) {
	if t.Model == "" {
		return
	}
	leaves := c.deadline
	if r := c.waits(); r.Patience > 0 {
		leaves = min(leaves, r.Arrived+r.Patience)
	}
	g.mu.Lock()
	d := g.target(t)
	d.waiting++
	d.leaves[c] = leaves
	g.mu.Unlock()
	g.opts.Demanded()
}

// endWait counts a request that has ceased to wait.
func (g *Gate) endWait(t residency.Target, c *call) {
	if t.Model == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.target(t)
	d.waiting--
	delete(d.leaves, c)
}

// refused notes that the callers of a target that no server holds were told to
// come back after a time.
func (g *Gate) refused(t residency.Target, after time.Duration) {
	if t.Model == "" {
		return
	}
	g.mu.Lock()
	if d := g.target(t); len(d.returns) < maxReturns {
		d.returns = append(d.returns, g.opts.Now()+after)
	}
	g.mu.Unlock()
	g.opts.Demanded()
}

// pick chooses a server for a request, or returns when to look again. Without a
// channel, waiting is in vain.
func (g *Gate) pick(c *call) (a routing.Attempt, changed <-chan struct{}, o patience.Outlook, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	q := routing.Query{Key: c.key, Prefix: c.request.Prefix, Exclude: c.avoid}
	if a, ok = g.router.Pick(now, q); ok {
		return a, nil, o, true
	}
	if c.avoid != "" && !c.strict {
		q.Exclude = ""
		if a, ok = g.router.Pick(now, q); ok {
			return a, nil, o, true
		}
	}
	if c.strict && g.router.Count(c.key) > 0 {
		// Only the server that has just refused the request holds the target.
		return a, nil, o, false
	}
	return a, g.changed, g.outlooks.of(c.key), false
}

func (g *Gate) begin(t residency.Target, server string) {
	if t.Model == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target(t).begin(server)
}

// answered notes that a server's answer has begun.
func (g *Gate) answered(a routing.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Answered(g.opts.Now(), a)
}

// ended records the end of an attempt. An attempt that was cancelled says
// nothing about its server.
func (g *Gate) ended(t residency.Target, a routing.Attempt, out result, cancelled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Model != "" {
		g.target(t).end(a.Server)
	}
	now := g.opts.Now()
	verdict := routing.Neutral
	switch out.outcome {
	case exchange.Complete:
		verdict = routing.Success
	case exchange.NotSent, exchange.Misdirected:
		if !cancelled {
			g.router.Ended(a)
		}
	case exchange.Lost, exchange.Cut:
		if !cancelled {
			verdict = routing.Failure
		}
	case exchange.Failed:
		g.router.Failed(now, a)
	}
	g.router.Done(now, a, verdict)
}

// toldEnded returns the newest announcement of a process, and whether its end
// was told before. The caller holds the lock.
func (g *Gate) toldEnded(a routing.Attempt) (sequence uint64, told bool) {
	sequence = max(1, g.sequences[a.Server])
	told = g.told[a.Server] == endOf{a.Incarnation, sequence}
	if len(g.told) > maxTold {
		clear(g.told)
	}
	g.told[a.Server] = endOf{a.Incarnation, sequence}
	return sequence, told
}

// maxTold bounds the ends that are remembered.
const maxTold = 1024

// endOf is the end of a process after an announcement.
type endOf struct{ incarnation, sequence uint64 }

// checkCrash finds out whether the process of an attempt that broke off has
// ended, and records the request as a suspect if so.
func (g *Gate) checkCrash(a routing.Attempt, fingerprint string) {
	conn, err := net.DialTimeout("tcp", a.Address, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.processEnded(a, fingerprint)
	}
}

// processEnded tells all hosts that a server process has ended, with a request
// that was in flight on it. It is told once for each process and request.
func (g *Gate) processEnded(a routing.Attempt, fingerprints ...string) {
	g.mu.Lock()
	g.router.Ended(a)
	sequence, told := g.toldEnded(a)
	g.mu.Unlock()
	if told && len(fingerprints) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	_, err := g.opts.Log.Propose(ctx, state.Command{
		UnixMS:  time.Now().UnixMilli(),
		Suspect: &state.Suspect{Server: a.Server, Incarnation: a.Incarnation, Sequence: sequence, Fingerprints: fingerprints},
	})
	f := decision.Fields{decision.FieldServer: a.Server, decision.FieldOutcome: "recorded"}
	if err != nil {
		f[decision.FieldOutcome] = "not recorded: " + err.Error()
	}
	g.opts.Decisions.Belief(decision.EventSuspect, f)
}
