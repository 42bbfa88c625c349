package patience

import (
	"testing"
	"time"
)

const s = time.Second

// Guards against a request that is held until it cannot be served any more, and
// against one that is refused although a load would serve it.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		now     time.Duration
		request Request
		outlook Outlook
		want    Decision
	}{
		{"the load ends in time", 0, Request{Deadline: 20 * s}, Outlook{Known: true, ReadyAt: 6 * s}, Decision{Wait: true, Until: 6*s + lateness}},
		{"the load ends too late", 0, Request{Deadline: 4 * s}, Outlook{Known: true, ReadyAt: 6 * s}, Decision{ReturnAfter: 6 * s}},
		{"the caller leaves before", 0, Request{Deadline: 12 * s, Patience: 2 * s}, Outlook{Known: true, ReadyAt: 6 * s}, Decision{ReturnAfter: 6 * s}},
		{"nothing is known yet", 0, Request{Deadline: 4 * s}, Outlook{}, Decision{Wait: true, Until: 3060 * time.Millisecond}},
		{"nothing is known, the caller leaves", 0, Request{Deadline: 20 * s, Patience: 2 * s}, Outlook{}, Decision{Wait: true, Until: 1620 * time.Millisecond}},
		{"no load would end in time", 0, Request{Deadline: 17 * s, Patience: 8 * s}, Outlook{Soonest: 13 * s}, Decision{ReturnAfter: 13*s + lateness}},
		{"a load would end in time", 0, Request{Deadline: 17 * s, Patience: 8 * s}, Outlook{Soonest: 6 * s}, Decision{Wait: true, Until: 1500 * time.Millisecond}},
		{"a load would no longer end in time", 3 * s, Request{Deadline: 17 * s, Patience: 8 * s}, Outlook{Soonest: 6 * s}, Decision{ReturnAfter: 6*s + lateness}},
		{"nothing became known", 3060 * time.Millisecond, Request{Deadline: 4 * s}, Outlook{}, Decision{ReturnAfter: defaultReturn}},
		{"the load is overdue", 6 * s, Request{Deadline: 20 * s, Patience: 8 * s}, Outlook{Known: true, ReadyAt: 5 * s}, Decision{Wait: true, Until: 5*s + lateness + overdueWait}},
		{"the load never ends", 18 * s, Request{Deadline: 20 * s}, Outlook{Known: true, ReadyAt: 6 * s}, Decision{ReturnAfter: defaultReturn}},
		{"no time is left", 4 * s, Request{Deadline: 4 * s}, Outlook{Known: true, ReadyAt: 3900 * time.Millisecond}, Decision{ReturnAfter: defaultReturn}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Decide(c.now, c.request, c.outlook); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}
