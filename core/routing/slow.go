package routing

import (
	"slices"
	"time"
)

const (
	// poorAnswers is how many consecutive slow or failed answers demote a
	// server. Answers to long prompts are slow now and then, but rarely in a row.
	// With 4, a server that got one call a second kept its share for 4 s.
	poorAnswers = 3
	// learnAnswers is how many answers for a key are needed to call one slow.
	learnAnswers = 5
	// slowFactor and slowSlack bound the time of an answer that is not slow,
	// above the mean of its key.
	slowFactor = 3
	slowSlack  = 50 * time.Millisecond
	// trialPause is the first pause before a demoted server is tried again; it
	// doubles up to maxTrialPause. Each trial may cost a caller a slow answer:
	// with 2 s, trials alone raised the p99 of a model.
	trialPause    = 5 * time.Second
	maxTrialPause = time.Minute
	// typicalWeight is the weight of the past in the mean time of a key.
	typicalWeight = 64
)

// pace tracks how well one server answers for one key.
type pace struct {
	// poor counts consecutive slow or failed answers.
	poor  int
	pause time.Duration
	until time.Duration
}

// wait is an attempt whose answer has not begun.
type wait struct {
	serial uint64
	began  time.Duration
}

// demoted candidates are used only if no other is usable, so that a slowdown or
// failure of all servers changes nothing. Attempts that wait for too long count
// before they are answered.
func (c *candidate) demoted(now time.Duration) bool {
	overdue := 0
	for _, w := range c.waits {
		if !c.typical.slow(now - w.began) {
			break
		}
		overdue++
	}
	return c.pace.poor >= poorAnswers && now < c.pace.until || overdue > 0 && c.pace.poor+overdue >= poorAnswers
}

// waitOver forgets that an attempt waits, if it does.
func (c *candidate) waitOver(a Attempt) {
	i := slices.IndexFunc(c.waits, func(w wait) bool { return w.serial == a.serial })
	if i >= 0 {
		c.waits = slices.Delete(c.waits, i, i+1)
	}
}

// typical is the mean time of the answers for one key on all servers.
type typical struct {
	mean time.Duration
	seen int
}

// add counts an answer for at most twice the mean, so that a server that
// becomes slow does not raise the mean before it is seen to be slow.
func (t *typical) add(took time.Duration) {
	if t.seen >= learnAnswers {
		took = min(took, 2*t.mean)
	}
	t.seen = min(t.seen+1, typicalWeight)
	t.mean += (took - t.mean) / time.Duration(t.seen)
}

func (t *typical) slow(took time.Duration) bool {
	return t.seen >= learnAnswers && took > slowFactor*t.mean+slowSlack
}

// Answered records that the answer of an attempt has begun.
func (r *Router) Answered(now time.Duration, a Attempt) {
	if r.opts.IgnorePace {
		return
	}
	a.candidate.waitOver(a)
	t, p, took := a.candidate.typical, &a.candidate.pace, now-a.began
	slow := t.slow(took)
	t.add(took)
	if !slow {
		*p = pace{}
		return
	}
	p.worsen(now)
}

// Failed records that the server answered an attempt with an error of its own.
// It does not count for the breaker: requests that fail on every server must
// not close them all.
func (r *Router) Failed(now time.Duration, a Attempt) {
	if !r.opts.IgnorePace {
		a.candidate.waitOver(a)
		a.candidate.pace.worsen(now)
	}
}

func (p *pace) worsen(now time.Duration) {
	if p.poor++; p.poor == poorAnswers {
		p.pause, p.until = trialPause, now+trialPause
	}
}

// begin delays the next trial of a demoted server when an attempt on it begins.
func (p *pace) begin(now time.Duration) {
	if p.poor >= poorAnswers && now >= p.until {
		p.pause = min(2*p.pause, maxTrialPause)
		p.until = now + p.pause
	}
}
