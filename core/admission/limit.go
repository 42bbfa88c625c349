package admission

import "time"

// initialServiceTime is the mean service time that is assumed before the first
// observation.
const initialServiceTime = 200 * time.Millisecond

// estimate tracks the mean and the mean deviation of service times.
type estimate struct {
	mean, deviation time.Duration
	count           int
}

func newEstimate() estimate { return estimate{mean: initialServiceTime} }

func (e *estimate) add(d time.Duration) {
	// Each observation has the weight 1/divisor. The first ones have a higher weight,
	// so that the mean soon replaces the initial value.
	divisor := max(2, min(e.count+1, 64))
	e.count++
	diff := d - e.mean
	e.mean += diff / time.Duration(divisor)
	e.deviation += (max(diff, -diff) - e.deviation) / time.Duration(divisor)
	e.mean = max(e.mean, time.Microsecond)
}

// tail returns a high estimate of a single service time: the mean plus three mean
// deviations.
func (e *estimate) tail() time.Duration { return e.mean + 3*e.deviation }

// RetryBudget limits retries to a share of the first attempts.
type RetryBudget struct {
	// share is the number of retries that each first attempt earns, tokens the number
	// available.
	share, tokens float64
}

// maxRetryTokens is the maximum number of retries that can accumulate while few are
// needed.
const maxRetryTokens = 20

// initialRetryTokens lets a rarely used model retry before its first attempts have
// earned a retry.
const initialRetryTokens = 3

// NewRetryBudget returns a budget that grows by share retries with each first
// attempt.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: initialRetryTokens}
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.share, maxRetryTokens) }

// TakeRetry reports whether the budget allows a retry, and deducts it if so.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Limiter adapts the number of requests in flight to the capacity of the backend
// servers: the limit grows while they admit requests and shrinks when they refuse
// one.
type Limiter struct {
	factor    float64 // multiplies the nominal number of slots; at most 1
	reducedAt time.Duration
}

// Limits on how far and how often a Limiter reduces its factor.
const (
	minFactor = 0.1
	// reduceInterval is the minimum time between two reductions, so that one takes
	// effect before the next.
	reduceInterval = 100 * time.Millisecond
)

// NewLimiter returns a limiter that initially allows the nominal number of slots.
func NewLimiter() *Limiter { return &Limiter{factor: 1, reducedAt: -reduceInterval} }

// Slots returns the number of slots to use: at least one, unless nominal is zero.
func (l *Limiter) Slots(nominal int) int {
	if nominal == 0 {
		return 0
	}
	return max(1, int(float64(nominal)*l.factor))
}

// RecordAdmitted records that a backend server admitted a request.
func (l *Limiter) RecordAdmitted(nominal int) {
	l.factor = min(1, l.factor+0.5/float64(max(nominal, 1)))
}

// RecordRefused records that a backend server refused a request for lack of
// capacity.
func (l *Limiter) RecordRefused(now time.Duration) {
	if now-l.reducedAt < reduceInterval {
		return
	}
	l.reducedAt = now
	l.factor = max(minFactor, l.factor*0.7)
}
