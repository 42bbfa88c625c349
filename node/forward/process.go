package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
)

const (
	// maxUnseen is the longest time since the last announcement of a server process after
	// which a stream begins or goes on there unasked. Servers announce themselves about
	// once a second, and hosts pass that on within 600 ms. A host that was cut off or stood
	// still for longer may not know that a process of another software version has taken
	// over the server's name and address.
	maxUnseen = 2 * time.Second
	// confirmTimeout bounds the wait for the answer of a server that is asked.
	confirmTimeout = 400 * time.Millisecond
	// maxConfirmed is the size above which the record of confirmed processes is cleared.
	maxConfirmed = 4096
)

// confirmedProcesses holds when servers last confirmed that they are the processes that this
// host knows. It is safe for concurrent use.
type confirmedProcesses struct {
	mu sync.Mutex
	at map[processKey]time.Duration
}

// processKey identifies a server process.
type processKey struct {
	server      string
	incarnation uint64
}

func (p *confirmedProcesses) get(k processKey) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.at[k]
	return at, ok
}

func (p *confirmedProcesses) set(k processKey, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil || len(p.at) >= maxConfirmed {
		p.at = map[processKey]time.Duration{}
	}
	p.at[k] = at
}

// confirmProcess reports whether the server of an attempt on a stream that is bound to its
// origin still is the process whose software version this host knows. The server is asked
// unless its announcements have reached this host lately.
func (c *call) confirmProcess(ctx context.Context, attempt routing.Attempt) bool {
	f := c.forwarder
	if !c.bindsStream() || f.opts.ServerSeen == nil {
		return true
	}
	seen, known := f.opts.ServerSeen(attempt.Server, attempt.Incarnation)
	if !known {
		return false
	}
	key := processKey{attempt.Server, attempt.Incarnation}
	now := f.opts.Now()
	if at, ok := f.confirmed.get(key); now-seen <= maxUnseen || ok && now-at <= maxUnseen {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if f.opts.ConfirmProcess(ctx, attempt) != nil {
		return false
	}
	f.confirmed.set(key, now)
	return true
}

const unconfirmedReason = "the server does not confirm that it is the process that this host knows"
