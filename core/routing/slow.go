package routing

import (
	"slices"
	"time"
)

const (
	// demotionThreshold is the number of consecutive slow or failed answers that
	// demotes a server. Answers to long prompts are occasionally slow, but rarely
	// several in a row. With 4, a server that received one attempt a second kept its
	// share of the attempts for 4 s.
	demotionThreshold = 3
	// minMeanAnswers is the minimum number of earlier answers for a key that is
	// needed to classify an answer as slow.
	minMeanAnswers = 5
	// slowFactor and slowSlack define a slow answer: it takes longer than slowFactor
	// times the mean time of its key plus slowSlack.
	slowFactor = 3
	slowSlack  = 50 * time.Millisecond
	// initialDemotionPause is the time before a demoted server receives its next
	// attempt. Each such attempt doubles the pause, up to maxDemotionPause. It may
	// cost a caller a slow answer: with 2 s, these attempts alone raised the p99 of
	// a model.
	initialDemotionPause = 5 * time.Second
	maxDemotionPause     = time.Minute
	// meanWindow is the number of answers after which the mean time of a key becomes
	// a moving average, in which each new answer has the weight 1/meanWindow.
	meanWindow = 64
)

// demotion tracks the slow and failed answers of one server for one key.
type demotion struct {
	// poorAnswers is the number of consecutive slow or failed answers.
	poorAnswers int
	// pause is the length of the latest pause, during which the server is demoted;
	// pauseEnds is its end.
	pause     time.Duration
	pauseEnds time.Duration
}

// pendingAttempt is an attempt whose answer has not begun.
type pendingAttempt struct {
	serial    uint64
	startedAt time.Duration
}

// demoted reports whether the candidate is demoted, that is, used only if no other is
// usable. If all servers are slow or fail, demotion therefore has no effect. A pending
// attempt whose answer is overdue counts as a slow answer.
func (c *candidate) demoted(now time.Duration) bool {
	overdue := 0
	for _, p := range c.pending {
		if !c.meanTime.isSlow(now - p.startedAt) {
			break
		}
		overdue++
	}
	return c.demotion.poorAnswers >= demotionThreshold && now < c.demotion.pauseEnds || overdue > 0 && c.demotion.poorAnswers+overdue >= demotionThreshold
}

// removePending removes an attempt from the pending ones, if it is there.
func (c *candidate) removePending(a Attempt) {
	i := slices.IndexFunc(c.pending, func(p pendingAttempt) bool { return p.serial == a.serial })
	if i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
	}
}

// meanTime is the mean time to the beginning of an answer, for one key on all
// servers.
type meanTime struct {
	mean  time.Duration
	count int
}

// add includes the time of an answer in the mean. The time is capped at twice the
// mean, so that a server that becomes slow does not raise the mean before its
// answers are classified as slow.
func (m *meanTime) add(took time.Duration) {
	if m.count >= minMeanAnswers {
		took = min(took, 2*m.mean)
	}
	m.count = min(m.count+1, meanWindow)
	m.mean += (took - m.mean) / time.Duration(m.count)
}

func (m *meanTime) isSlow(took time.Duration) bool {
	return m.count >= minMeanAnswers && took > slowFactor*m.mean+slowSlack
}

// RecordAnswer records that the answer of an attempt has begun.
func (r *Router) RecordAnswer(now time.Duration, a Attempt) {
	if r.opts.DisableDemotion {
		return
	}
	a.candidate.removePending(a)
	mean, d, took := a.candidate.meanTime, &a.candidate.demotion, now-a.startedAt
	slow := mean.isSlow(took)
	mean.add(took)
	if !slow {
		*d = demotion{}
		return
	}
	d.addPoorAnswer(now)
}

// RecordFailedAnswer records that the server answered an attempt with an error of its
// own. The breaker ignores such errors: requests that fail on every server must not
// block all servers.
func (r *Router) RecordFailedAnswer(now time.Duration, a Attempt) {
	if !r.opts.DisableDemotion {
		a.candidate.removePending(a)
		a.candidate.demotion.addPoorAnswer(now)
	}
}

func (d *demotion) addPoorAnswer(now time.Duration) {
	if d.poorAnswers++; d.poorAnswers == demotionThreshold {
		d.pause, d.pauseEnds = initialDemotionPause, now+initialDemotionPause
	}
}

// recordAttempt extends the pause of a demoted server when an attempt on it begins
// after the pause has ended.
func (d *demotion) recordAttempt(now time.Duration) {
	if d.poorAnswers >= demotionThreshold && now >= d.pauseEnds {
		d.pause = min(2*d.pause, maxDemotionPause)
		d.pauseEnds = now + d.pause
	}
}
