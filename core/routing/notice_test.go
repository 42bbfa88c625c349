package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
)

// newRestrictedRouter returns a router over n servers and what they say of themselves.
func newRestrictedRouter(n int) (*Router, *notice.Table) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := notice.NewTable(ratelimit.NewClient(func() int { return 8 }, rng), rng)
	r := New(Options{DataCentre: "waco", RemoteLoadThreshold: 10, Notices: table}, rng)
	servers, replicas := fleet(n, "waco")
	r.Rebuild(servers, replicas)
	return r, table
}

func processNumber(name string) notice.Process { return notice.Process{Server: name, Incarnation: 1} }

// picks returns the servers that n requests are sent to at now. Requests without a server are
// left out.
func picks(r *Router, now time.Duration, n int) []string {
	var out []string
	for i := range n {
		if a, ok := r.Pick(now, Query{Key: guideKey, Request: uint64(i + 1)}); ok {
			out = append(out, a.Server)
		}
	}
	return out
}

// TestServersThatWantNoRequestsGetNone guards against first attempts and trials that are sent to a
// server that leaves, wants a pause or has a limit that this host has no permit for.
func TestServersThatWantNoRequestsGetNone(t *testing.T) {
	for _, c := range []struct {
		name string
		says notice.Notice
	}{
		{"leaving", notice.Notice{Leaving: true}},
		{"pause", notice.Notice{Pause: 3 * time.Second}},
		{"limit", notice.Notice{LimitNamed: true, PerSecond: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, table := newRestrictedRouter(3)
			table.Record(0, 0, processNumber("server-1"), c.says)
			if got := picks(r, time.Second, 60); len(got) != 60 || slices.Contains(got, "server-1") {
				t.Errorf("%d of 60 requests got a server, to server-1: %t; want all on the other servers", len(got), slices.Contains(got, "server-1"))
			}
			for range 60 {
				a, ok := r.PickLeastLoaded(time.Second, Query{Key: guideKey}, func(string) bool { return false })
				if !ok || a.Server == "server-1" {
					t.Fatalf("a trial is sent to %q, want one of the other servers", a.Server)
				}
			}
		})
	}
}

// TestPermitIsUsedOnce guards against a permit that allows several requests, and against one that
// is left to expire while requests go to other servers.
func TestPermitIsUsedOnce(t *testing.T) {
	r, table := newRestrictedRouter(3)
	p := processNumber("server-1")
	table.Record(0, 0, p, notice.Notice{LimitNamed: true, PerSecond: 2})
	table.ApplyReply(time.Second, time.Second, ratelimit.Reply{Grants: []ratelimit.Grant{{Process: p, Permits: 2}}})
	n := 0
	for _, server := range picks(r, time.Second, 60) {
		if server == p.Server {
			n++
		}
	}
	if n != 2 {
		t.Errorf("%d requests are sent with two permits", n)
	}
}

// TestRestriction guards against a refusal that names the wrong server or time, and against a wait
// for a server that leaves.
func TestRestriction(t *testing.T) {
	for _, c := range []struct {
		name   string
		says   []notice.Notice
		want   string
		paused bool
		within [2]time.Duration
	}{
		{"nothing", []notice.Notice{{}, {}}, "", false, [2]time.Duration{}},
		{"the shorter of two pauses", []notice.Notice{{Pause: 8 * time.Second}, {Pause: 4 * time.Second}}, "server-1", true, [2]time.Duration{4 * time.Second, 5 * time.Second}},
		{"a permit before a pause ends", []notice.Notice{{Pause: 8 * time.Second}, {LimitNamed: true, PerSecond: 0.5}}, "server-1", false, [2]time.Duration{2 * time.Second, 2 * time.Second}},
		{"a server that leaves", []notice.Notice{{Leaving: true}, {Pause: 4 * time.Second}}, "server-1", true, [2]time.Duration{4 * time.Second, 5 * time.Second}},
		{"only servers that leave", []notice.Notice{{Leaving: true}, {Leaving: true}}, "", false, [2]time.Duration{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, table := newRestrictedRouter(len(c.says))
			for i, says := range c.says {
				table.Record(0, 0, processNumber([]string{"server-0", "server-1"}[i]), says)
			}
			got, ok := r.Restriction(0, Query{Key: guideKey, Request: 1})
			if ok != (c.want != "") || got.Server != c.want || got.Paused != c.paused || got.Delay < c.within[0] || got.Delay > c.within[1] {
				t.Errorf("got %+v, %t, want %q, paused %t, between %s and %s", got, ok, c.want, c.paused, c.within[0], c.within[1])
			}
		})
	}
}
