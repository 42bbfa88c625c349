package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

var testProcess = Process{Server: "s", Incarnation: 1}

func sighting(named bool, perSecond float64, sentAt, receivedAt time.Duration) Sighting {
	return Sighting{Process: testProcess, Named: named, PerSecond: perSecond, SentAt: sentAt, ReceivedAt: receivedAt}
}

// TestBelief guards against a limit that an old answer ends, raises or brings back, and
// against one that is not found to have changed.
func TestBelief(t *testing.T) {
	for _, c := range []struct {
		name      string
		sightings []Sighting
		limited   bool
		perSecond float64
	}{
		{"named", []Sighting{sighting(true, 3, 1*sec, 2*sec)}, true, 3},
		{"never named", []Sighting{sighting(false, 0, 1*sec, 2*sec)}, false, 0},
		{"ended", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(false, 0, 3*sec, 4*sec)}, false, 0},
		{"an answer under way at the time does not end it", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(false, 0, 1*sec, 9*sec)}, true, 3},
		{"raised", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(true, 5, 3*sec, 4*sec)}, true, 5},
		{"lowered by an answer under way", []Sighting{sighting(true, 3, 1*sec, 3*sec), sighting(true, 2, 1*sec, 4*sec)}, true, 2},
		{"not raised by an answer under way", []Sighting{sighting(true, 3, 1*sec, 3*sec), sighting(true, 5, 1*sec, 4*sec)}, true, 3},
		{"not lowered by an older answer", []Sighting{sighting(true, 3, 3*sec, 4*sec), sighting(true, 2, 1*sec, 2*sec)}, true, 3},
		{"not brought back by an older answer", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(false, 0, 5*sec, 6*sec), sighting(true, 3, 1*sec, 3*sec)}, false, 0},
		{"named again", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(false, 0, 5*sec, 6*sec), sighting(true, 4, 7*sec, 8*sec)}, true, 4},
		{"raised after it was confirmed", []Sighting{sighting(true, 3, 1*sec, 2*sec), sighting(true, 3, 3*sec, 4*sec), sighting(true, 5, 3*sec, 5*sec)}, true, 5},
		{"huge", []Sighting{sighting(true, 1e300, 1*sec, 2*sec)}, true, MaxPerSecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b belief
			for _, s := range c.sightings {
				b.apply(s)
			}
			if b.limited != c.limited || c.limited && b.perSecond != c.perSecond {
				t.Errorf("limited %t at %g a second, want %t at %g", b.limited, b.perSecond, c.limited, c.perSecond)
			}
		})
	}
}

func newTestClient(hosts int) *Client {
	return NewClient(func() int { return hosts }, rand.New(rand.NewPCG(1, 1)))
}

// TestPermitsExpire guards against a permit that is used long after it was granted, when the
// leader has granted its successors.
func TestPermitsExpire(t *testing.T) {
	c := newTestClient(8)
	c.Record(sighting(true, 3, 0, 1*sec))
	if c.MaySend(1*sec, testProcess, Waiter{}) {
		t.Fatal("a request may be sent without a permit")
	}
	c.ApplyReply(2500*ms, 2*sec, Reply{Grants: []Grant{{Process: testProcess, Permits: 2}}})
	if !c.MaySend(2500*ms, testProcess, Waiter{}) {
		t.Error("no request may be sent with a permit")
	}
	c.Take(2500*ms, testProcess, 1)
	if !c.MaySend(3199*ms, testProcess, Waiter{}) || c.MaySend(3200*ms, testProcess, Waiter{}) {
		t.Error("the second permit does not expire 1.2 s after the request for it")
	}
}

// TestOwnShareWithoutLeader guards against hosts that stop, or that each use the whole limit,
// while no leader answers.
func TestOwnShareWithoutLeader(t *testing.T) {
	const hosts, perSecond = 8, 4.0
	sent := 0
	for host := range hosts {
		c := NewClient(func() int { return hosts }, rand.New(rand.NewPCG(uint64(host), 1)))
		c.Record(sighting(true, perSecond, 0, 0))
		for now := time.Duration(0); now < 40*sec; now += 10 * ms {
			w := Waiter{Request: uint64(now)}
			c.Want(now, testProcess, w, true)
			c.NextRequest(now)
			if c.MaySend(now, testProcess, Waiter{Priority: -1}) {
				if now < contactTimeout {
					t.Fatalf("a request is sent at %s, while permits of the leader may be in use", now)
				}
				c.Take(now, testProcess, uint64(now))
				sent++
			}
		}
	}
	allowed := perSecond * (40*sec - contactTimeout).Seconds()
	if got := float64(sent); got > allowed || got < 0.8*allowed {
		t.Errorf("%d requests were sent without a leader, want about the %.0f that the limit allows", sent, allowed)
	}
}

// TestLimitOfZeroIsStillTried guards against a server that is never asked again, so that
// nobody learns that its limit has ended.
func TestLimitOfZeroIsStillTried(t *testing.T) {
	g := NewGrantor(1)
	granted := 0
	for now := time.Duration(0); now < 60*sec; now += 100 * ms {
		g.Accept(now, Request{Host: "h", Sightings: []Sighting{sighting(true, 0, now, now)}, Wants: []Want{{Process: testProcess, Sole: 5}}})
		for _, h := range g.Grant(now, 1) {
			granted += h.Grants[0].Permits
		}
	}
	if granted < 10 || granted > 20 {
		t.Errorf("%d requests in 60 s to a server that takes none, want one in 4 s", granted)
	}
}

// TestPermitsGoToRequestsWithoutAnotherServerFirst guards against permits that are spent on
// requests that another server can take, and against a host that gets none.
func TestPermitsGoToRequestsWithoutAnotherServerFirst(t *testing.T) {
	g := NewGrantor(1)
	byHost := map[string]int{}
	for now := time.Duration(0); now < 20*sec; now += 50 * ms {
		g.Accept(now, Request{Host: "a", Sightings: []Sighting{sighting(true, 2, now, now)}, Wants: []Want{{Process: testProcess, Sole: 4}}})
		g.Accept(now, Request{Host: "b", Wants: []Want{{Process: testProcess, Sole: 1}}})
		g.Accept(now, Request{Host: "c", Wants: []Want{{Process: testProcess, Optional: 4}}})
		for _, h := range g.Grant(now, 1) {
			byHost[h.Host] += h.Grants[0].Permits
		}
	}
	if byHost["c"] > 0 || byHost["a"] < 15 || byHost["b"] < 15 {
		t.Errorf("permits by host %v, want equal parts for a and b and none for c", byHost)
	}
}

// TestUnreachableHostsKeepTheirShare guards against a leader that grants the whole limit
// while hosts that cannot reach it use their shares.
func TestUnreachableHostsKeepTheirShare(t *testing.T) {
	g := NewGrantor(1)
	granted := 0
	for now := time.Duration(0); now < 40*sec; now += 50 * ms {
		g.Accept(now, Request{Host: "a", Sightings: []Sighting{sighting(true, 4, now, now)}, Wants: []Want{{Process: testProcess, Sole: 9}}})
		for _, h := range g.Grant(now, 0.5) {
			granted += h.Grants[0].Permits
		}
	}
	if granted < 75 || granted > 85 {
		t.Errorf("%d permits in 40 s at half of 4 a second, want about 80", granted)
	}
}

// TestGrantorForgetsServers guards against a leader whose memory grows with each server
// process that ever named a limit.
func TestGrantorForgetsServers(t *testing.T) {
	g := NewGrantor(1)
	for i := range uint64(2 * maxServers) {
		s := sighting(true, 1, 0, 0)
		s.Incarnation = i
		g.Accept(0, Request{Host: "h", Sightings: []Sighting{s}})
	}
	if n := len(g.servers); n > maxServers {
		t.Errorf("%d servers are kept, want at most %d", n, maxServers)
	}
	g.Accept(retention+sec, Request{Host: "h"})
	if n := len(g.servers); n > 0 {
		t.Errorf("%d servers are kept without news for %s", n, retention)
	}
}
