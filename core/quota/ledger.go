package quota

import "time"

// Ledger is the leader's part: one bucket for each account. The first buckets of a ledger are empty,
// since the leader before may have granted all there was. Those of accounts that are added later are
// full.
type Ledger struct {
	buckets map[string]*bucket
	started bool
}

// bucket fills with the rate of its limit, up to what the hosts do not hold of the burst.
type bucket struct {
	limit Limit
	level float64
	at    time.Duration
	// granted is the sum of what was granted and not returned.
	granted float64
	// askedAt is when hosts last had requests that waited.
	askedAt map[string]time.Duration
}

// NewLedger returns a ledger of no accounts.
func NewLedger() *Ledger { return &Ledger{buckets: map[string]*bucket{}} }

// SetLimits replaces the limits. What a bucket holds above a lower limit is lost.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	deleteOthers(l.buckets, limits)
	for account, limit := range limits {
		b := l.buckets[account]
		if b == nil {
			b = &bucket{at: now, limit: limit, askedAt: map[string]time.Duration{}}
			l.buckets[account] = b
			if l.started {
				b.level = b.capacity()
			}
		}
		b.limit = limit
		b.level = min(b.level, b.capacity())
	}
	l.started = true
}

func (b *bucket) capacity() float64 { return (1 - hostShare) * b.limit.Burst }

// fill adds what has come in since the last time. Hosts that are not heard from use their own parts
// of the rate, so that only the reachable part comes in here.
func (b *bucket) fill(now time.Duration, reachable float64) {
	b.level = min(b.capacity(), b.level+b.limit.PerSecond*reachable*max(0, now-b.at).Seconds())
	b.at = now
}

// Exchange returns the credit for what a host wants. reachable is the part of the hosts that are
// heard from. Accounts without a limit are left out.
func (l *Ledger) Exchange(now time.Duration, host string, wants []Want, reachable float64) []Credit {
	var out []Credit
	for _, w := range wants {
		b := l.buckets[w.Account]
		if b == nil {
			continue
		}
		b.fill(now, reachable)
		returned := max(0, min(w.Returned, b.capacity()-b.level))
		b.level += returned
		b.granted -= returned
		c := Credit{Account: w.Account}
		if w.Waiting > 0 && b.level >= b.needed(w.Next) {
			c.Granted = max(w.Next, min(w.Waiting, b.level))
		}
		if spare := min(w.Spare, b.level-c.Granted-spareShare*b.capacity()); spare > 0 {
			c.Granted += spare
		}
		b.level -= c.Granted
		b.granted += c.Granted
		if w.Waiting > 0 {
			c.RetryIn = b.pause(now, host)
			if c.Granted == 0 {
				c.RetryIn = max(c.RetryIn, b.untilLevel(b.needed(w.Next), reachable))
			}
		}
		out = append(out, c)
	}
	return out
}

// pause records that a host asks, and returns how long it does not ask again: zero while there is
// credit, and else the longer the more hosts ask.
func (b *bucket) pause(now time.Duration, host string) time.Duration {
	for other, at := range b.askedAt {
		if now-at > askMemory {
			delete(b.askedAt, other)
		}
	}
	b.askedAt[host] = now
	if b.level > spareShare*b.capacity() {
		return 0
	}
	return time.Duration(len(b.askedAt)) * time.Second / maxAsks
}

// needed returns the level at which an amount is granted. One that is larger than the bucket is
// granted from a full one, which it overdraws.
func (b *bucket) needed(amount float64) float64 { return min(amount, b.capacity()) }

// never is the time until credit of a quota without a rate.
const never = time.Hour

// untilLevel returns the time until the bucket holds an amount.
func (b *bucket) untilLevel(amount, reachable float64) time.Duration {
	rate := b.limit.PerSecond * reachable
	if rate <= 0 {
		return never
	}
	return time.Duration(min((amount-b.level)/rate, never.Seconds()) * float64(time.Second))
}

// Usage is the state of one account at the leader.
type Usage struct {
	Account string
	Limit   Limit
	// Level is what the leader can grant now, and Granted what it has granted since it leads.
	Level, Granted float64
}

// Usage returns the state of all accounts.
func (l *Ledger) Usage(now time.Duration, reachable float64) []Usage {
	out := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		b.fill(now, reachable)
		out = append(out, Usage{Account: account, Limit: b.limit, Level: b.level, Granted: b.granted})
	}
	return out
}
