package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestServersGetNoMoreThanTheLimitTheyName guards against hosts that each keep their own
// rate, or none, to a server that names one limit for all hosts.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) {
	for _, c := range []struct {
		name string
		opts noticeWorldOptions
	}{
		{"most servers", noticeWorldOptions{hosts: 8, servers: 9, perSecond: 80, limits: []string{"3.7", "8.6", "1", "1.2", "1", "6.4"}}},
		{"one busy host", noticeWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"4", "2"}, busyShare: 0.8}},
		{"a model on one server", noticeWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"2"}, soleShare: 0.2}},
		{"a plain service", noticeWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"3", "1"}, plain: true}},
		{"100 hosts", noticeWorldOptions{hosts: 100, servers: 9, perSecond: 200, limits: []string{"1", "2.5"}}},
		{"a change of leader", noticeWorldOptions{
			hosts: 8, servers: 3, perSecond: 60, limits: []string{"3.7", "1"}, soleShare: 0.1, leaderDownFrom: 8 * time.Second, leaderDownUntil: 13 * time.Second,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.opts.seed, c.opts.duration = 1, 20*time.Second
				c.opts.limitFrom, c.opts.limitUntil = 4*time.Second, 18*time.Second
				w := runNoticeWorld(t, c.opts)
				got, allowed := w.checkLimits(t)
				t.Logf("limited servers got %.0f requests, %.0f allowed; answers by status: %v", got, allowed, w.statuses)
				if w.statuses[http.StatusOK] == 0 {
					t.Error("no request was answered")
				}
			})
		})
	}
}

// TestHostsKeepThePauseOfAServer guards against requests to a server that has turned a host away and
// named a pause, and against requests that are held although no server wants them in time.
func TestHostsKeepThePauseOfAServer(t *testing.T) {
	for _, c := range []struct {
		name string
		opts noticeWorldOptions
		// refusals is the highest number of requests that may be refused.
		refusals int
	}{
		{"one of three servers", noticeWorldOptions{hosts: 8, servers: 3, perSecond: 60, pauses: []string{"3"}}, 0},
		{"the only server of a model", noticeWorldOptions{hosts: 8, servers: 3, perSecond: 60, soleShare: 0.2, pauses: []string{"3"}}, 200},
		{"all servers of a plain service", noticeWorldOptions{hosts: 8, servers: 2, perSecond: 60, plain: true, pauses: []string{"2", "4"}}, 600},
		// The first request of each host to the server needs a retry, of which there are few.
		{"100 hosts", noticeWorldOptions{hosts: 100, servers: 3, perSecond: 200, pauses: []string{"3"}}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.opts.seed, c.opts.duration = 1, 16*time.Second
				c.opts.limitFrom, c.opts.limitUntil = 4*time.Second, 12*time.Second
				w := runNoticeWorld(t, c.opts)
				if n := w.requestsInPauses(t); n > 2 {
					t.Errorf("a host sent %d requests to a server in its pause, want at most 2", n)
				}
				if len(w.statuses) > 2 || w.statuses[http.StatusServiceUnavailable] > c.refusals {
					t.Errorf("answers by status %v, want 200 and at most %d times 503", w.statuses, c.refusals)
				}
				if w.slowestRefusal > 1900*time.Millisecond {
					t.Errorf("a request was refused after %s, want less than the 2 s that its caller waits", w.slowestRefusal)
				}
				served := 0
				for _, a := range w.arrivals[0] {
					if a.at >= 14*time.Second {
						served++
					}
				}
				if served == 0 {
					t.Error("the server got no requests after its pauses")
				}
			})
		})
	}
}

// TestServerThatSaysThatItLeavesGetsNoRequests guards against a host that hears no announcement and goes
// on sending to a server that leaves.
func TestServerThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	for _, plain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := runNoticeWorld(t, noticeWorldOptions{
				seed: 1, hosts: 8, servers: 3, perSecond: 60, leavers: 1, plain: plain, duration: 12 * time.Second, limitFrom: 4 * time.Second,
			})
			if n := w.requestsAfterLeaving(); n > 0 {
				t.Errorf("plain %t: %d requests reached a server from hosts that it had told that it leaves", plain, n)
			}
			if len(w.statuses) != 1 || w.statuses[http.StatusOK] == 0 {
				t.Errorf("plain %t: answers by status %v, want only 200", plain, w.statuses)
			}
		})
	}
}
