package waitpolicy

import (
	"testing"
	"time"
)

const sec = time.Second

// TestDecide guards against a request that is held until it can no longer be
// served, and against one that is refused although a load would serve it in
// time.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name     string
		now      time.Duration
		request  Request
		forecast Forecast
		want     Decision
	}{
		{"the load ends in time", 0, Request{Deadline: 20 * sec}, Forecast{Known: true, ReadyAt: 6 * sec}, Decision{Wait: true, Until: 6*sec + loadTolerance}},
		{"the load ends too late", 0, Request{Deadline: 4 * sec}, Forecast{Known: true, ReadyAt: 6 * sec}, Decision{RetryAfter: 6 * sec}},
		{"the caller gives up before the load ends", 0, Request{Deadline: 12 * sec, WaitLimit: 2 * sec}, Forecast{Known: true, ReadyAt: 6 * sec}, Decision{RetryAfter: 6 * sec}},
		{"nothing is known yet", 0, Request{Deadline: 4 * sec}, Forecast{}, Decision{Wait: true, Until: 3060 * time.Millisecond}},
		{"nothing is known, the caller gives up early", 0, Request{Deadline: 20 * sec, WaitLimit: 2 * sec}, Forecast{}, Decision{Wait: true, Until: 1620 * time.Millisecond}},
		{"no load would end in time", 0, Request{Deadline: 17 * sec, WaitLimit: 8 * sec}, Forecast{FastestLoad: 13 * sec}, Decision{RetryAfter: 13*sec + loadTolerance}},
		{"a load would end in time", 0, Request{Deadline: 17 * sec, WaitLimit: 8 * sec}, Forecast{FastestLoad: 6 * sec}, Decision{Wait: true, Until: 1500 * time.Millisecond}},
		{"a load would no longer end in time", 3 * sec, Request{Deadline: 17 * sec, WaitLimit: 8 * sec}, Forecast{FastestLoad: 6 * sec}, Decision{RetryAfter: 6*sec + loadTolerance}},
		{"nothing is known at the end of the wait", 3060 * time.Millisecond, Request{Deadline: 4 * sec}, Forecast{}, Decision{RetryAfter: defaultRetryAfter}},
		{"the load is overdue", 6 * sec, Request{Deadline: 20 * sec, WaitLimit: 8 * sec}, Forecast{Known: true, ReadyAt: 5 * sec}, Decision{Wait: true, Until: 5*sec + loadTolerance + overdueWait}},
		{"the load never ends", 18 * sec, Request{Deadline: 20 * sec}, Forecast{Known: true, ReadyAt: 6 * sec}, Decision{RetryAfter: defaultRetryAfter}},
		{"no time is left", 4 * sec, Request{Deadline: 4 * sec}, Forecast{Known: true, ReadyAt: 3900 * time.Millisecond}, Decision{RetryAfter: defaultRetryAfter}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Decide(c.now, c.request, c.forecast); got != c.want {
				t.Errorf("decision %+v, want %+v", got, c.want)
			}
		})
	}
}
