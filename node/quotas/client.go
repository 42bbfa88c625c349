package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/quota"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
)

const (
	// askTimeout bounds the wait for the leader's reply.
	askTimeout = 500 * time.Millisecond
	// patience is how long a request waits for credit. A reply takes a few milliseconds.
	patience = 150 * time.Millisecond
	// retryPause is the pause after a message without a reply, and minPause the shortest time
	// between two messages of a host.
	retryPause = 100 * time.Millisecond
	minPause   = 5 * time.Millisecond
	// idleInterval is how often a host looks whether credit is to be returned.
	idleInterval = 250 * time.Millisecond
	// maxWaitSlice is how often a waiting request decides again without a reply: its account may
	// have credit from the host's own part.
	maxWaitSlice = 50 * time.Millisecond
)

// Ask sends what a host wants to the leader and returns the credit, waiting for at most timeout.
type Ask func(ctx context.Context, wants []quota.Want, timeout time.Duration) ([]quota.Credit, error)

// Decision is the decision about one request.
type Decision struct {
	Admitted bool
	// Unknown is set if the leader did not answer, so that the quota need not be used up. RetryIn is
	// when there will be credit if it is.
	Unknown bool
	RetryIn time.Duration
}

// Client admits requests by the credit of one host and asks the leader for more. It is safe for
// concurrent use.
type Client struct {
	ask Ask
	now func() time.Duration

	mu     sync.Mutex
	core   *quota.Client
	serial uint64
	// changed is closed and replaced after each reply.
	changed chan struct{}
	wake    chan struct{}
}

// NewClient returns a client without limits. hosts returns the number of hosts that share the
// quotas.
func NewClient(ask Ask, hosts func() int, now func() time.Duration) *Client {
	return &Client{ask: ask, now: now, core: quota.NewClient(hosts), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// SetLimits replaces the limits.
func (c *Client) SetLimits(limits map[string]quota.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetLimits(c.now(), limits)
}

// Take decides about a request of an account. It waits for the leader if this host has no credit.
func (c *Client) Take(ctx context.Context, account string, amount float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	request, begun := c.serial, c.now()
	for {
		now := c.now()
		verdict, retryIn := c.core.Take(now, account, request, amount)
		c.notify(now)
		switch {
		case verdict == quota.Admit:
			return Decision{Admitted: true}
		case verdict == quota.Refuse:
			return Decision{RetryIn: retryIn}
		case now-begun >= patience || ctx.Err() != nil:
			return Decision{Unknown: !c.core.Cancel(now, account, request)}
		}
		c.wait(ctx, begun+patience-now)
	}
}

// wait waits for the next reply, or a short time. c.mu must be held; it is released meanwhile.
func (c *Client) wait(ctx context.Context, rest time.Duration) {
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	timer := time.NewTimer(min(rest, maxWaitSlice))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Refund gives back the amount of a request that was admitted and has not run.
func (c *Client) Refund(account string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Refund(account, amount)
}

// Purses returns the state of all accounts with a quota.
func (c *Client) Purses() []quota.Purse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Purses()
}

// notify triggers a message if there is something to ask. c.mu must be held.
func (c *Client) notify(now time.Duration) {
	if !c.core.HasNews(now) {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages with the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-idle.C:
		}
		pause := minPause
		if !c.exchange(ctx) {
			pause = retryPause
		}
		if !bootclock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// exchange sends one message if there is something to ask, and applies the reply. It returns false
// without a reply.
func (c *Client) exchange(ctx context.Context) bool {
	c.mu.Lock()
	wants := c.core.NextRequest(c.now())
	c.mu.Unlock()
	if len(wants) == 0 {
		return true
	}
	credits, err := c.ask(ctx, wants, askTimeout)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.core.Apply(now, credits)
	close(c.changed)
	c.changed = make(chan struct{})
	c.notify(now)
	return true
}
