package admission

import "time"

// firstCost is the service time assumed before any was observed.
const firstCost = 200 * time.Millisecond

// estimate tracks the mean and the mean deviation of service times.
type estimate struct {
	mean, dev time.Duration
	seen      int
}

func newEstimate() estimate { return estimate{mean: firstCost} }

func (e *estimate) add(d time.Duration) {
	// The first samples weigh more, so that the initial guess is soon replaced.
	weight := max(2, min(e.seen+1, 64))
	e.seen++
	diff := d - e.mean
	e.mean += diff / time.Duration(weight)
	e.dev += (max(diff, -diff) - e.dev) / time.Duration(weight)
	e.mean = max(e.mean, time.Microsecond)
}

// tail is a high estimate of one service time.
func (e *estimate) tail() time.Duration { return e.mean + 3*e.dev }

// Budget limits retries to a share of first attempts.
type Budget struct {
	share, tokens float64
}

// maxRetryTokens bounds the retries that quiet times can save up.
const maxRetryTokens = 20

// firstRetryTokens allows a rarely used model its first retries.
const firstRetryTokens = 3

// NewBudget returns a budget of share retries for each first attempt.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: firstRetryTokens} }

// First records a first attempt.
func (b *Budget) First() { b.tokens = min(b.tokens+b.share, maxRetryTokens) }

// Retry takes one retry and reports whether the budget allowed it.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Limiter adapts the number of requests in flight to what backend servers
// admit: it grows while they admit and shrinks when they refuse.
type Limiter struct {
	factor  float64
	reduced time.Duration
}

// Limits of the factor that a Limiter applies to the nominal slots.
const (
	minFactor = 0.1
	// reduceInterval lets one reduction take effect before the next.
	reduceInterval = 100 * time.Millisecond
)

// NewLimiter returns a limiter that allows the nominal number of slots.
func NewLimiter() *Limiter { return &Limiter{factor: 1, reduced: -reduceInterval} }

// Slots returns how many of the nominal slots to use.
func (l *Limiter) Slots(nominal int) int {
	if nominal == 0 {
		return 0
	}
	return max(1, int(float64(nominal)*l.factor))
}

// Admitted records that a backend server admitted a request.
func (l *Limiter) Admitted(nominal int) {
	l.factor = min(1, l.factor+0.5/float64(max(nominal, 1)))
}

// Refused records that a backend server refused a request for lack of room.
func (l *Limiter) Refused(now time.Duration) {
	if now-l.reduced < reduceInterval {
		return
	}
	l.reduced = now
	l.factor = max(minFactor, l.factor*0.7)
}
