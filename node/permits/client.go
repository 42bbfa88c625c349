package permits

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
)

const (
	// wantTimeout bounds the wait for the reply to a request that wants permits, and
	// idleTimeout for one that wants none. Both are longer than the leader's hold.
	wantTimeout = 1 * time.Second
	idleTimeout = idleHold + time.Second
	// retryPause is the pause after a request without a reply, for example while no leader
	// is known.
	retryPause = 100 * time.Millisecond
	// minPause is the shortest time between two requests of a host.
	minPause = 5 * time.Millisecond
	// maxOutstanding bounds the requests without a reply. A newer one makes the leader
	// answer the older ones.
	maxOutstanding = 3
)

// Ask sends a request to the leader and returns its reply, waiting for at most timeout.
type Ask func(ctx context.Context, r ratelimit.Request, timeout time.Duration) (ratelimit.Reply, error)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Lock guards Table.
	Lock  sync.Locker
	Table *notice.Table
	Ask   Ask
	Now   func() time.Duration
	// Applied is called with the lock held after a reply, with the limits that changed and
	// whether there are new permits.
	Applied func(changes []notice.Change, granted bool)
}

// Client asks the leader for the permits of one host and tells it what servers say.
type Client struct {
	opts ClientOptions
	wake chan struct{}
	// ended receives a value when a request has ended: whether there was a reply.
	ended chan bool
}

// NewClient returns a Client that is not running.
func NewClient(o ClientOptions) *Client {
	return &Client{opts: o, wake: make(chan struct{}, 1), ended: make(chan bool, maxOutstanding)}
}

// NotifyLocked triggers a request if there is something new for the leader. The lock must be
// held.
func (c *Client) NotifyLocked() {
	if !c.opts.Table.Limits.HasNews() {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run exchanges requests with the leader until ctx ends. There is always one request
// without a reply, so that the leader can tell of new limits.
func (c *Client) Run(ctx context.Context) {
	outstanding, start := 0, true
	for {
		if start {
			outstanding++
			go c.exchange(ctx)
		}
		if !bootclock.Sleep(ctx, minPause) {
			return
		}
		wake := c.wake
		if outstanding == maxOutstanding {
			wake = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
			start = true
		case replied := <-c.ended:
			outstanding--
			start = outstanding == 0
			if !replied && !bootclock.Sleep(ctx, retryPause) {
				return
			}
		}
	}
}

// exchange sends one request and applies its reply.
func (c *Client) exchange(ctx context.Context) {
	c.opts.Lock.Lock()
	sentAt := c.opts.Now()
	r := c.opts.Table.Limits.NextRequest(sentAt)
	c.opts.Lock.Unlock()
	timeout := idleTimeout
	if r.WantsPermits() {
		timeout = wantTimeout
	}
	reply, err := c.opts.Ask(ctx, r, timeout)
	if err == nil {
		c.apply(sentAt, reply)
	}
	c.ended <- err == nil
}

func (c *Client) apply(sentAt time.Duration, r ratelimit.Reply) {
	c.opts.Lock.Lock()
	defer c.opts.Lock.Unlock()
	changes, granted := c.opts.Table.ApplyReply(c.opts.Now(), sentAt, r)
	c.opts.Applied(changes, granted)
	c.NotifyLocked()
}
