package origins

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
)

const (
	// minReportInterval is the shortest time between two reports of a host, if no caller
	// waits for them. The streams of a host that dies within it are unknown to the leader.
	minReportInterval = 80 * time.Millisecond
	// reportsPerSecond bounds the reports that the leader gets from all hosts together, if
	// no caller waits for them, and urgentReportsPerSecond if callers do, beyond a burst of
	// urgentBurst from each host: streams begin at random times.
	reportsPerSecond       = 400
	urgentReportsPerSecond = 2000
	urgentBurst            = 4
	// refreshInterval is the shortest time between two reports of a host without news, by
	// which it finds out that another host leads.
	refreshInterval = 250 * time.Millisecond
	// callTimeout bounds the wait for one reply of the leader.
	callTimeout = 500 * time.Millisecond
	// askPause is the pause before a question is asked again.
	askPause = 50 * time.Millisecond
	// settleTime is how long, beyond the time between two reports, a question is asked
	// again although a leader does not know the stream. The host where it began may have
	// to report it yet, for example to a new leader.
	settleTime = 300 * time.Millisecond
	// maxWait bounds the wait for an answer. It is longer than the election of a leader
	// takes, and leaves time to refuse the caller early.
	maxWait = time.Second
)

// ErrUnknown is the error for a stream of which neither this host nor the leader knows the
// origin, although several are possible.
var ErrUnknown = errors.New("origins: no host knows which software version began the stream")

// ErrNoLeader is the error if no leader answers in time.
var ErrNoLeader = errors.New("origins: no leader answers which software version began the stream")

// Ask sends a report to the leader and waits for its reply for at most timeout.
type Ask func(ctx context.Context, r origin.Report, timeout time.Duration) (origin.Reply, error)

// ClientOptions configure a Client.
type ClientOptions struct {
	Ask Ask
	Now func() time.Duration
	// HostCount returns the number of hosts that report streams.
	HostCount func() int
}

// Client notes the origins of the streams of one host, reports them to the leader and asks it
// for those of other streams. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
	// wake triggers a report, and urgent one without the pause between two reports.
	wake, urgent chan struct{}
	// budgetAt is when the reports sent so far have been earned at the rate of
	// urgentReportsPerSecond. Only Run uses it.
	budgetAt time.Duration

	mu      sync.Mutex
	journal *origin.Journal
	// waiting holds what BeginAndWait waits for: it is closed once the leader knows the
	// stream.
	waiting map[origin.StreamID]chan struct{}
}

// NewClient returns a Client that knows no streams.
func NewClient(o ClientOptions) *Client {
	return &Client{
		opts: o, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		journal: origin.NewJournal(), waiting: map[origin.StreamID]chan struct{}{},
	}
}

// Begin notes the origin of a stream whose first event is passed on now.
func (c *Client) Begin(r origin.Record) {
	c.mu.Lock()
	c.journal.Add(c.opts.Now(), r)
	c.mu.Unlock()
	notify(c.wake)
}

// BeginAndWait notes the origin of a stream and waits, for at most limit, until the leader knows
// it. It reports whether the leader does.
func (c *Client) BeginAndWait(ctx context.Context, r origin.Record, limit time.Duration) bool {
	c.mu.Lock()
	c.journal.Add(c.opts.Now(), r)
	known := c.waiting[r.Stream]
	if known == nil {
		known = make(chan struct{})
		c.waiting[r.Stream] = known
	}
	c.mu.Unlock()
	defer c.stopWaiting(r.Stream, known)
	notify(c.urgent)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-known:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (c *Client) stopWaiting(s origin.StreamID, known chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[s] == known {
		delete(c.waiting, s)
	}
}

// notify sends a value to a channel with a buffer of one, unless it is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run reports streams to the leader until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for {
		refresh := time.NewTimer(refreshInterval)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-c.urgent:
		case <-refresh.C:
		}
		refresh.Stop()
		if ctx.Err() != nil {
			return
		}
		c.report(ctx)
		if !c.pause(ctx) {
			return
		}
	}
}

// pause waits until the next report may be sent, which is earlier if a caller waits for it. It
// returns false if ctx ends first.
func (c *Client) pause(ctx context.Context) bool {
	interval := time.Duration(c.opts.HostCount()) * time.Second / urgentReportsPerSecond
	now := c.opts.Now()
	c.budgetAt = max(c.budgetAt, now) + interval
	beforeUrgent := max(0, c.budgetAt-now-urgentBurst*interval)
	if !bootclock.Sleep(ctx, beforeUrgent) {
		return false
	}
	timer := time.NewTimer(c.reportInterval() - beforeUrgent)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.urgent:
		notify(c.urgent)
	case <-timer.C:
	}
	return true
}

// reportInterval returns the time between two reports of this host.
func (c *Client) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(c.opts.HostCount())*time.Second/reportsPerSecond)
}

// report sends the streams that the leader does not know yet. Without any, it sends an empty
// report if this host knows streams that a new leader has to be told.
func (c *Client) report(ctx context.Context) {
	c.mu.Lock()
	now := c.opts.Now()
	empty, records := c.journal.Empty(now), c.journal.Take(now)
	c.mu.Unlock()
	if empty {
		return
	}
	reply, err := c.opts.Ask(ctx, origin.Report{Records: records}, callTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.journal.RecordFailure(records)
	} else {
		c.journal.RecordReply(reply.Term)
		c.endWaiting(records)
	}
	switch {
	case len(c.waiting) > 0 && c.journal.HasUnsent():
		notify(c.urgent)
	case c.journal.HasUnsent():
		notify(c.wake)
	}
}

// endWaiting ends the waits for streams that the leader knows. c.mu must be held.
func (c *Client) endWaiting(records []origin.Record) {
	for _, r := range records {
		if known := c.waiting[r.Stream]; known != nil {
			close(known)
			delete(c.waiting, r.Stream)
		}
	}
}

// Find returns the origin of a stream, whose ID is empty if the caller did not name it. It asks
// the leader unless this host knows the origin, and waits for at most maxWait. The error is
// ErrUnknown, ErrNoLeader or that of ctx.
func (c *Client) Find(ctx context.Context, q origin.Question) (origin.Answer, error) {
	c.mu.Lock()
	known, ok := c.journal.Find(q.Stream)
	c.mu.Unlock()
	if ok {
		return origin.Answer{Known: true, Origin: known}, nil
	}
	begun := c.opts.Now()
	result := ErrNoLeader
	for {
		reply, err := c.opts.Ask(ctx, origin.Report{Questions: []origin.Question{q}}, callTimeout)
		waited := c.opts.Now() - begun
		if err == nil && len(reply.Answers) == 1 {
			if reply.Answers[0].Known {
				return reply.Answers[0], nil
			}
			if result = ErrUnknown; waited > settleTime+c.reportInterval() {
				return origin.Answer{}, result
			}
		}
		if waited > maxWait {
			return origin.Answer{}, result
		}
		if !bootclock.Sleep(ctx, askPause) {
			return origin.Answer{}, ctx.Err()
		}
	}
}
