package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultBreakerFailures is the default number of consecutive failures that
	// open a breaker.
	defaultBreakerFailures = 3
	// initialBreakerPause is the time from the opening of a breaker to its first
	// probe. Each failed probe doubles the pause, up to maxBreakerPause.
	initialBreakerPause = 500 * time.Millisecond
	maxBreakerPause     = 15 * time.Second
)

// breaker blocks attempts for one key on one server after consecutive failures.
type breaker struct {
	// threshold is the number of consecutive failures that opens the breaker.
	threshold int
	failures  int // consecutive failures
	// pause is the nominal length of the latest pause; pauseEnds is its end, with
	// jitter.
	pause     time.Duration
	pauseEnds time.Duration
	// probing is set while a probe is in progress.
	probing bool
}

func (b *breaker) open() bool { return b.failures >= b.threshold }

// allows reports whether an attempt may be made. A closed breaker allows every
// attempt; an open one allows a single attempt at a time after the pause, the
// probe.
func (b *breaker) allows(now time.Duration) bool {
	return !b.open() || now >= b.pauseEnds && !b.probing
}

func (b *breaker) recordAttempt(time.Duration) {
	if b.open() {
		b.probing = true
	}
}

func (b *breaker) recordResult(now time.Duration, result Result, rng *rand.Rand) {
	switch result {
	case Success:
		*b = breaker{threshold: b.threshold}
		return
	case Neutral:
		b.probing = false
		return
	}
	b.failures++
	b.probing = false
	if !b.open() {
		return
	}
	b.pause = min(max(2*b.pause, initialBreakerPause), maxBreakerPause)
	// Jitter prevents several hosts from probing the server at the same time.
	b.pauseEnds = now + b.pause/2 + time.Duration(rng.Int64N(int64(b.pause)))
}
