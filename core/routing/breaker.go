package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// breakerFailures is how many consecutive failures open a breaker by default.
	breakerFailures = 3
	// breakerPause is the first pause of an open breaker; it doubles with each
	// failed probe up to maxBreakerPause.
	breakerPause    = 500 * time.Millisecond
	maxBreakerPause = 15 * time.Second
)

// breaker keeps attempts for one model away from one server that fails them.
type breaker struct {
	// after is how many consecutive failures open the breaker.
	after    int
	failures int
	pause    time.Duration
	until    time.Duration
	probing  bool
}

func (b *breaker) open() bool { return b.failures >= b.after }

// allows reports whether an attempt may be made: always while closed, and one
// at a time as a probe after the pause.
func (b *breaker) allows(now time.Duration) bool {
	return !b.open() || now >= b.until && !b.probing
}

func (b *breaker) begin(time.Duration) {
	if b.open() {
		b.probing = true
	}
}

func (b *breaker) done(now time.Duration, result Result, rng *rand.Rand) {
	switch result {
	case Success:
		*b = breaker{after: b.after}
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
	b.pause = min(max(2*b.pause, breakerPause), maxBreakerPause)
	// Jitter keeps the probes of several hosts apart.
	b.until = now + b.pause/2 + time.Duration(rng.Int64N(int64(b.pause)))
}
