// Package retry bounds the arrivals at backend servers beyond the first of each
// request, over all hosts together. It performs no I/O and reads no clock.
package retry

import "time"

// buckets is the number of parts of a window. A window that slides by parts
// covers at most one part more than the limit's window.
const buckets = 10

// Limit is what the platform's operators allow over all hosts: in any Window,
// Ratio times the requests plus Slack.
type Limit struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// safety is the share of the limit that is used. The rest covers requests that
// the backend servers see in another window than this host.
const safety = 0.7

// Budget is one host's part of the limit for one service. It is not safe for
// concurrent use.
type Budget struct {
	limit    Limit
	part     int64
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// NewBudget returns a budget without requests.
func NewBudget(l Limit) *Budget { return &Budget{limit: l} }

// Request records a first arrival.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.part%(buckets+1)]++
}

// Retry takes one further arrival if the budget allows it. Hosts is the number
// of hosts that may share the slack; too high a number is safe.
func (b *Budget) Retry(now time.Duration, hosts int) bool {
	b.advance(now)
	allowed := safety * (b.limit.Ratio*float64(sum(b.requests)) + b.limit.Slack/float64(max(1, hosts)))
	if float64(sum(b.retries)+1) > allowed {
		return false
	}
	b.retries[b.part%(buckets+1)]++
	return true
}

func (b *Budget) advance(now time.Duration) {
	part := int64(now / (b.limit.Window / buckets))
	for n := min(part-b.part, buckets+1); n > 0; n-- {
		b.requests[(part-n+1)%(buckets+1)] = 0
		b.retries[(part-n+1)%(buckets+1)] = 0
	}
	b.part = max(b.part, part)
}

func sum(list [buckets + 1]int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
