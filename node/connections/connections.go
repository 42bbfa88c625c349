// Package connections bounds the connections of callers and what they hold of the memory. Callers
// that are idle or send or read too slowly are disconnected in time. When a listener has as many
// connections as it may have, a new one takes the place of the one that is idle for longest, or
// else of the one whose caller has sent or read nothing for longest.
package connections

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

const (
	// sweepInterval is how often connections are looked through.
	sweepInterval = 500 * time.Millisecond
	// keptShare is the part of the limit to which connections are reduced when it is reached,
	// so that not each new connection looks through all others.
	keptShare = 0.9
	// headGrace is added to the time that a caller has for the head of a request, since that
	// begins at the caller.
	headGrace = time.Second
)

// Timeouts bound how long callers may take.
type Timeouts struct {
	// Idle is how long a connection may be idle, and Head how long the head of a request may
	// take. Zero means that there is no such limit.
	Idle, Head time.Duration
}

// Counts are the numbers of connections of a table.
type Counts struct {
	// Open is the number of open connections.
	Open int64
	// Closed counts those that were idle or too slow, Evicted those that made room for others, and
	// Refused those that found no room.
	Closed, Evicted, Refused int64
}

// Table holds the open connections of callers. It is safe for concurrent use.
type Table struct {
	now func() time.Duration
	max int
	// heads accounts for the heads of requests. It may be nil.
	heads *memory.Account

	mu     sync.Mutex
	open   map[net.Conn]*entry
	counts Counts
}

// New returns a table of at most limit connections. The heads of their requests count for the
// account heads, which may be nil.
func New(now func() time.Duration, limit int, heads *memory.Account) *Table {
	return &Table{now: now, max: max(1, limit), heads: heads, open: map[net.Conn]*entry{}}
}

// ProcessDescriptors returns the limit on the descriptors of this process.
func ProcessDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, 1<<30)), nil
}

// Max returns the maximum number of connections.
func (t *Table) Max() int { return t.max }

// Track records the state of a connection. It is the ConnState function of an http.Server.
func (t *Table) Track(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.open[conn]
	switch {
	case state == http.StateNew && e == nil:
		t.add(conn, newEntry(t))
	case state == http.StateHijacked || state == http.StateClosed:
		t.remove(conn)
	case e == nil:
	case state == http.StateActive:
		e.beginRequest()
	case state == http.StateIdle:
		e.beginIdle()
	}
}

// add adds a connection, for which others make room if necessary. t.mu must be held.
func (t *Table) add(conn net.Conn, e *entry) {
	t.open[conn] = e
	if len(t.open) >= t.max {
		t.makeRoom(len(t.open) - int(keptShare*float64(t.max)))
	}
}

// remove forgets a connection. t.mu must be held.
func (t *Table) remove(conn net.Conn) {
	if e := t.open[conn]; e != nil {
		delete(t.open, conn)
		e.releaseHead()
	}
}

// candidate is a connection that can make room.
type candidate struct {
	conn net.Conn
	rank int
	// since is since when the caller has sent and read nothing.
	since time.Duration
}

// candidates returns the connections that can make room.
func (t *Table) candidates() []candidate {
	var out []candidate
	for conn, e := range t.open {
		if rank, evictable := e.eviction(); evictable {
			out = append(out, candidate{conn, rank, e.lastProgress()})
		}
	}
	return out
}

// makeRoom closes up to n connections. t.mu must be held.
func (t *Table) makeRoom(n int) {
	all := t.candidates()
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	for _, c := range all[:min(n, len(all))] {
		t.close(c.conn)
		t.counts.Evicted++
	}
}

// forget removes a connection that its owner closes.
func (t *Table) forget(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(conn)
}

// close closes a connection. t.mu must be held. The server notices the end of the connection by
// itself, and its error tells nothing.
func (t *Table) close(c net.Conn) {
	t.remove(c)
	if tracked, ok := c.(*conn); ok {
		c = tracked.Conn
	}
	_ = c.Close()
}

// Run closes connections that are idle or whose heads take too long, until ctx ends. It calls
// onPressure when connections have been evicted or refused.
func (t *Table) Run(ctx context.Context, timeouts func() Timeouts, onPressure func(Counts)) error {
	reported := Counts{}
	for bootclock.Sleep(ctx, sweepInterval) {
		t.sweep(timeouts())
		counts := t.Counts()
		if counts.Evicted != reported.Evicted || counts.Refused != reported.Refused {
			reported = counts
			onPressure(counts)
		}
	}
	return nil
}

func (t *Table) sweep(limits Timeouts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for conn, e := range t.open {
		phase, since := e.currentPhase(), e.phaseSince()
		idleTooLong := limits.Idle > 0 && phase == phaseIdle && now-since > limits.Idle
		headTooLong := limits.Head > 0 && phase == phaseHead && now-since > limits.Head+headGrace
		if idleTooLong || headTooLong {
			t.close(conn)
			t.counts.Closed++
		}
	}
}

// Full reports whether callers use all connections that they may, and none of them can make room.
// The host should then not be chosen by further ones.
func (t *Table) Full() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) >= t.max && len(t.candidates()) == 0
}

// Counts returns the numbers of connections.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counts
	out.Open = int64(len(t.open))
	return out
}
