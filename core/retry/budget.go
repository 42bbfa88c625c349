// Package retry limits how often requests arrive again at backend servers after
// their first arrival, over all hosts together. It performs no I/O and reads no
// clock.
package retry

import "time"

// bucketCount is the number of buckets of Limit.Window. A budget keeps one bucket
// more: its window slides by whole buckets, and so covers Limit.Window and at
// most one further bucket.
const bucketCount = 10

// Limit is the number of retries that the platform's operators allow over all
// hosts: in any Window, Ratio times the number of requests, plus Slack retries.
type Limit struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// usableShare is the share of the limit that is used. The rest covers requests
// that the backend servers count in a different window than this host.
const usableShare = 0.7

// Budget is one host's share of the limit for one service. It is not safe for
// concurrent use.
type Budget struct {
	limit    Limit
	bucket   int64
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
}

// NewBudget returns a budget without requests.
func NewBudget(l Limit) *Budget { return &Budget{limit: l} }

// RecordRequest records the first arrival of a request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%(bucketCount+1)]++
}

// TakeRetry reports whether the budget allows one further arrival and, if so,
// records it. hosts is the number of hosts that may share the slack; too high a
// number is safe.
func (b *Budget) TakeRetry(now time.Duration, hosts int) bool {
	b.advance(now)
	allowed := usableShare * (b.limit.Ratio*float64(sumCounts(b.requests)) + b.limit.Slack/float64(max(1, hosts)))
	if float64(sumCounts(b.retries)+1) > allowed {
		return false
	}
	b.retries[b.bucket%(bucketCount+1)]++
	return true
}

// advance moves the window to now and clears the buckets that it reuses.
func (b *Budget) advance(now time.Duration) {
	bucket := int64(now / (b.limit.Window / bucketCount))
	for n := min(bucket-b.bucket, bucketCount+1); n > 0; n-- {
		b.requests[(bucket-n+1)%(bucketCount+1)] = 0
		b.retries[(bucket-n+1)%(bucketCount+1)] = 0
	}
	b.bucket = max(b.bucket, bucket)
}

func sumCounts(counts [bucketCount + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
