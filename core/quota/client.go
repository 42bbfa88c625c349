package quota

import (
	"math"
	"time"
)

const (
	// prefetch is the time for which a host holds credit, by what its callers asked for of late.
	prefetch = 300 * time.Millisecond
	// memory is how long what callers asked for counts.
	memory = time.Second
	// contactTimeout is how long a host waits for the leader's answer before it uses its own part of
	// the rate.
	contactTimeout = 1200 * time.Millisecond
	// answerTimeout is how long an answer takes at most while the leader is in touch.
	answerTimeout = 150 * time.Millisecond
	// ownBurst is the time for which a host without the leader collects its part of the rate.
	ownBurst = 2 * time.Second
	// sparePause is the shortest time between two requests for spare credit.
	sparePause = prefetch / 2
	// shortWait is the longest time for which a request waits for credit that will be there. Only one
	// request of an account does on a host: more would not find any.
	shortWait = 100 * time.Millisecond
	// returnAfter is how long an account is idle on a host before its credit is returned.
	returnAfter = time.Second
)

// Verdict is the decision about a request.
type Verdict int

// Verdicts.
const (
	// Admit means that the request may run.
	Admit Verdict = iota
	// Wait means that the leader must be asked.
	Wait
	// Refuse means that the account has used up its quota.
	Refuse
)

// Client is one host's part.
type Client struct {
	// hosts returns the number of hosts that share the quotas.
	hosts  func() int
	purses map[string]*purse
}

// purse is what the host knows of one account.
type purse struct {
	limit  Limit
	credit float64
	// asked is what callers asked for of late, at the time askedAt.
	asked   float64
	askedAt time.Duration
	// waiting holds the amounts of the requests that wait, by their numbers.
	waiting map[uint64]float64
	// sparedAt is when the host last asked for spare credit or returned some.
	sparedAt time.Duration
	// emptyUntil is when the leader expects to have credit again.
	emptyUntil time.Duration
	// unanswered is since when the leader owes an answer; zero if it owes none. ownAt is the time up
	// to which the host has taken its own part of the rate.
	unanswered, ownAt time.Duration
	// answered is set once the leader has answered.
	answered bool
}

// NewClient returns a client of no accounts.
func NewClient(hosts func() int) *Client { return &Client{hosts: hosts, purses: map[string]*purse{}} }

// SetLimits replaces the limits. Credit above a lower limit is lost.
func (c *Client) SetLimits(now time.Duration, limits map[string]Limit) {
	deleteOthers(c.purses, limits)
	for account, limit := range limits {
		p := c.purses[account]
		if p == nil {
			p = &purse{limit: limit, waiting: map[uint64]float64{}, askedAt: now, credit: limit.standing(c.hosts())}
			c.purses[account] = p
		}
		if limit.Burst < p.limit.Burst || limit.PerSecond < p.limit.PerSecond {
			p.credit = min(p.credit, limit.standing(c.hosts()))
		}
		p.limit = limit
	}
}

// Take decides about a request with a number of its own. If it returns Wait, it is called again
// after the next answer of the leader, or Cancel is. A refusal carries the time after which there
// will be credit.
func (c *Client) Take(now time.Duration, account string, request uint64, amount float64) (Verdict, time.Duration) {
	p := c.purses[account]
	if p == nil {
		return Admit, 0
	}
	if _, again := p.waiting[request]; !again {
		p.recordAsked(now, amount)
	}
	p.takeOwnPart(now, c.hosts())
	if p.credit >= amount {
		p.credit -= amount
		delete(p.waiting, request)
		return Admit, 0
	}
	others := len(p.waiting)
	if _, again := p.waiting[request]; again {
		others--
	}
	if now < p.emptyUntil && (others > 0 || p.emptyUntil-now > shortWait) {
		delete(p.waiting, request)
		return Refuse, p.emptyUntil - now
	}
	p.waiting[request] = amount
	return Wait, 0
}

// Cancel ends the wait of a request. It reports whether the leader answers, so that the quota is used
// up.
func (c *Client) Cancel(now time.Duration, account string, request uint64) (answered bool) {
	p := c.purses[account]
	if p == nil {
		return false
	}
	delete(p.waiting, request)
	return p.answered && (p.unanswered == 0 || now-p.unanswered < answerTimeout)
}

// Refund gives back the amount of a request that was admitted and has not run.
func (c *Client) Refund(account string, amount float64) {
	if p := c.purses[account]; p != nil {
		p.credit += amount
	}
}

func (p *purse) recordAsked(now time.Duration, amount float64) {
	p.asked = p.asked*math.Exp(-float64(now-p.askedAt)/float64(memory)) + amount
	p.askedAt = now
}

// takeOwnPart adds the host's own part of the rate while the leader does not answer.
func (p *purse) takeOwnPart(now time.Duration, hosts int) {
	if p.unanswered == 0 || now-p.unanswered < contactTimeout {
		return
	}
	from := max(p.ownAt, p.unanswered+contactTimeout)
	part := p.limit.PerSecond / float64(max(1, hosts))
	most := max(p.limit.standing(hosts), part*ownBurst.Seconds())
	if p.credit < most {
		p.credit = min(most, p.credit+part*(now-from).Seconds())
	}
	p.ownAt = now
	p.emptyUntil = 0
}

// target returns the credit that the host holds ahead of requests.
func (p *purse) target(now time.Duration, hosts int) float64 {
	asked := p.asked * math.Exp(-float64(now-p.askedAt)/float64(memory))
	return max(p.limit.standing(hosts), asked*prefetch.Seconds()/memory.Seconds())
}

// want returns what the host asks for, and whether that is worth a message.
func (p *purse) want(now time.Duration, account string, hosts int) (Want, bool) {
	w := Want{Account: account}
	if now < p.emptyUntil {
		return w, false
	}
	for _, amount := range p.waiting {
		w.Waiting += amount
		if w.Next == 0 || amount < w.Next {
			w.Next = amount
		}
	}
	target := p.target(now, hosts)
	switch {
	case p.sparedAt > 0 && now-p.sparedAt < sparePause:
	case p.credit < target/2:
		w.Spare = target - p.credit
	case p.credit > 2*target || p.credit > target && now-p.askedAt > returnAfter:
		w.Returned = p.credit - target
	}
	return w, w.Waiting > 0 || w.Spare > 0 || w.Returned > 0
}

// HasNews reports whether the leader should be asked.
func (c *Client) HasNews(now time.Duration) bool {
	n := c.hosts()
	for account, p := range c.purses {
		if _, news := p.want(now, account, n); news {
			return true
		}
	}
	return false
}

// NextRequest returns what to ask the leader for, and records that it is asked. Credit that is
// returned is gone, also if the message is lost.
func (c *Client) NextRequest(now time.Duration) []Want {
	var out []Want
	n := c.hosts()
	for account, p := range c.purses {
		w, news := p.want(now, account, n)
		if !news {
			continue
		}
		p.credit -= w.Returned
		if w.Spare > 0 || w.Returned > 0 {
			p.sparedAt = max(1, now)
		}
		if p.unanswered == 0 {
			p.unanswered = max(1, now)
		}
		out = append(out, w)
	}
	return out
}

// Apply takes the leader's answer. Waiting requests should be decided again.
func (c *Client) Apply(now time.Duration, credits []Credit) {
	for _, credit := range credits {
		p := c.purses[credit.Account]
		if p == nil {
			continue
		}
		p.unanswered, p.emptyUntil = 0, 0
		p.answered = true
		p.credit += credit.Granted
		if credit.RetryIn > 0 {
			p.emptyUntil = now + credit.RetryIn
		}
	}
}

// Purse is the state of one account on a host.
type Purse struct {
	Account string
	Limit   Limit
	Credit  float64
	Waiting int
}

// Purses returns the state of all accounts.
func (c *Client) Purses() []Purse {
	out := make([]Purse, 0, len(c.purses))
	for account, p := range c.purses {
		out = append(out, Purse{Account: account, Limit: p.limit, Credit: p.credit, Waiting: len(p.waiting)})
	}
	return out
}
