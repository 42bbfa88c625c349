package routing

import "time"

const (
	// poorAnswers is how many consecutive slow or failed answers demote a
	// server. Answers to long prompts are slow now and then, but rarely in a row.
	poorAnswers = 4
	// slowFactor and slowSlack bound the time of an answer that is not slow,
	// above the mean of its key.
	slowFactor = 3
	slowSlack  = 50 * time.Millisecond
	// trialPause is the first pause before a demoted server is tried again; it
	// doubles up to maxTrialPause.
	trialPause    = 2 * time.Second
	maxTrialPause = 30 * time.Second
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

// demoted servers are used only if no other is usable, so that a slowdown or
// failure of all servers changes nothing.
func (p *pace) demoted(now time.Duration) bool { return p.poor >= poorAnswers && now < p.until }

// typical is the mean time of the answers for one key on all servers.
type typical struct {
	mean time.Duration
	seen int
}

// add counts an answer for at most twice the mean, so that a server that
// becomes slow does not raise the mean before it is seen to be slow.
func (t *typical) add(took time.Duration) {
	if t.seen >= poorAnswers {
		took = min(took, 2*t.mean)
	}
	t.seen = min(t.seen+1, typicalWeight)
	t.mean += (took - t.mean) / time.Duration(t.seen)
}

func (t *typical) slow(took time.Duration) bool {
	return t.seen >= poorAnswers && took > slowFactor*t.mean+slowSlack
}

// Answered records that the answer of an attempt began after took.
func (r *Router) Answered(now time.Duration, a Attempt, k Key, took time.Duration) {
	t, p := r.targets[k], &a.candidate.pace
	if t == nil || r.opts.IgnorePace {
		return
	}
	slow := t.typical.slow(took)
	t.typical.add(took)
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
