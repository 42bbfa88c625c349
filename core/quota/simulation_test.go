package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation plays the hosts and the leader in virtual time, for one account.
type simulation struct {
	rng   *rand.Rand
	limit Limit
	now   time.Duration
	hosts []*simulatedHost
	// loss is the part of the messages that are lost, and cut the number of hosts that reach nobody.
	loss   float64
	cut    int
	ledger *Ledger
	// admitted holds the amounts that were admitted by step.
	admitted        []float64
	served, refused float64
	messages        int
	// oracleLevel and oracleServed are those of a single bucket that knows everything.
	oracleLevel, oracleServed float64
}

type simulatedHost struct {
	name   string
	client *Client
	// waiting are the requests that wait, with the time at which they are given up.
	waiting map[uint64]simulatedRequest
	// answerAt is when the answer to the last message arrives or is missed.
	answerAt time.Duration
	answer   []Credit
	lost     bool
}

type simulatedRequest struct {
	amount float64
	giveUp time.Duration
}

const (
	simStep     = 5 * time.Millisecond
	simRound    = 10 * time.Millisecond
	simPatience = 150 * time.Millisecond
	simAmount   = 1000
)

func newSimulation(hosts int, limit Limit, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, ledger: NewLedger(), oracleLevel: limit.Burst}
	limits := map[string]Limit{"a": limit}
	s.ledger.SetLimits(0, nil)
	s.ledger.SetLimits(0, limits)
	for i := range hosts {
		c := NewClient(func() int { return hosts })
		c.SetLimits(0, limits)
		s.hosts = append(s.hosts, &simulatedHost{name: fmt.Sprint(i), client: c, waiting: map[uint64]simulatedRequest{}})
	}
	return s
}

// run plays a span in which callers ask for load times the quota at the hosts that where selects.
func (s *simulation) run(span time.Duration, load float64, where func(now time.Duration) []int) {
	for end := s.now + span; s.now < end; s.now += simStep {
		s.admitted = append(s.admitted, 0)
		s.oracleLevel = min(s.limit.Burst, s.oracleLevel+s.limit.PerSecond*simStep.Seconds())
		at := where(s.now)
		expected := load * s.limit.PerSecond * simStep.Seconds() / simAmount
		for expected > 0 {
			if s.rng.Float64() < expected {
				s.arrive(s.hosts[at[s.rng.IntN(len(at))]])
			}
			expected--
		}
		for i, h := range s.hosts {
			s.step(h, i < s.cut)
		}
	}
}

func (s *simulation) arrive(h *simulatedHost) {
	amount := simAmount * (0.5 + s.rng.Float64())
	if s.oracleLevel >= amount {
		s.oracleLevel -= amount
		s.oracleServed += amount
	}
	s.decide(h, s.rng.Uint64(), simulatedRequest{amount: amount, giveUp: s.now + simPatience})
}

func (s *simulation) decide(h *simulatedHost, id uint64, r simulatedRequest) {
	verdict, _ := h.client.Take(s.now, "a", id, r.amount)
	delete(h.waiting, id)
	switch {
	case verdict == Admit:
		s.admitted[len(s.admitted)-1] += r.amount
		s.served += r.amount
	case verdict == Refuse || s.now >= r.giveUp:
		h.client.Cancel(s.now, "a", id)
		s.refused += r.amount
	default:
		h.waiting[id] = r
	}
}

// step delivers an answer that is due, asks the leader, and decides about waiting requests.
func (s *simulation) step(h *simulatedHost, cut bool) {
	if h.answerAt > 0 && s.now >= h.answerAt {
		if !h.lost {
			h.client.Apply(s.now, h.answer)
		}
		h.answerAt = 0
		for id, r := range h.waiting {
			s.decide(h, id, r)
		}
	}
	if h.answerAt == 0 && h.client.HasNews(s.now) {
		wants := h.client.NextRequest(s.now)
		s.messages++
		h.answerAt, h.lost = s.now+simRound, cut || s.rng.Float64() < s.loss
		if h.lost {
			h.answerAt = s.now + 500*time.Millisecond
		}
		// A message is lost before or after the leader has seen it.
		if !cut && (!h.lost || s.rng.IntN(2) == 0) {
			h.answer = s.ledger.Exchange(s.now, h.name, wants, 1-float64(s.cut)/float64(len(s.hosts)))
		}
	}
	for id, r := range h.waiting {
		if s.now >= r.giveUp {
			s.decide(h, id, r)
		}
	}
}

// worst returns the largest sum that was admitted within 8 s.
func (s *simulation) worst() float64 {
	const window = int(8 * time.Second / simStep)
	sum, worst := 0.0, 0.0
	for i, amount := range s.admitted {
		sum += amount
		if i >= window {
			sum -= s.admitted[i-window]
		}
		worst = max(worst, sum)
	}
	return worst
}

// TestQuotaOverAllHosts guards against accounts that get more than their quota over all hosts, and
// against refusals below it.
func TestQuotaOverAllHosts(t *testing.T) {
	// The bound of the operators: a tenth and 7,500 tokens more than the quota within 8 s.
	const overage, slack = 1.1, 7500
	all := func(n int) func(time.Duration) []int {
		var out []int
		for i := range n {
			out = append(out, i)
		}
		return func(time.Duration) []int { return out }
	}
	few := func(n int) func(time.Duration) []int {
		return func(time.Duration) []int { return []int{n - 1, n / 2, n / 3} }
	}
	inTurn := func(n int) func(time.Duration) []int {
		return func(now time.Duration) []int { return []int{int(now/(3*time.Second)) % n} }
	}
	for _, hosts := range []int{8, 89, 300} {
		for _, rate := range []float64{20_000, 300_000} {
			for _, c := range []struct {
				name  string
				load  float64
				where func(time.Duration) []int
				loss  float64
				// newLeader is set if another leader begins in the second half.
				newLeader bool
				// cut is the part of the hosts that reach nobody in the second half.
				cut float64
				// served is the part of what the oracle serves that the hosts serve at least.
				served float64
			}{
				{"half of the quota, all hosts", 0.5, all(hosts), 0, false, 0, 0.95},
				{"nine tenths, few hosts", 0.9, few(hosts), 0, false, 0, 0.95},
				{"nine tenths, one host in turn", 0.9, inTurn(hosts), 0, false, 0, 0.95},
				{"six times, all hosts", 6, all(hosts), 0, false, 0, 0.95},
				{"six times, few hosts", 6, few(hosts), 0, false, 0, 0.95},
				{"six times, one host in turn", 6, inTurn(hosts), 0, false, 0, 0.95},
				{"six times, half of the messages lost", 6, all(hosts), 0.5, false, 0, 0},
				{"six times, another leader", 6, all(hosts), 0, true, 0, 0},
				{"half of the quota, another leader", 0.5, all(hosts), 0, true, 0, 0.95},
				{"six times, a third of the hosts cut off", 6, all(hosts), 0, false, 0.33, 0},
			} {
				t.Run(fmt.Sprint(hosts, " hosts, ", rate, " a second, ", c.name), func(t *testing.T) {
					s := newSimulation(hosts, Limit{PerSecond: rate, Burst: rate}, 1)
					s.loss = c.loss
					s.run(10*time.Second, c.load, c.where)
					if c.newLeader {
						s.ledger = NewLedger()
						s.ledger.SetLimits(s.now, map[string]Limit{"a": s.limit})
					}
					s.cut = int(c.cut * float64(hosts))
					s.run(10*time.Second, c.load, c.where)
					if most := (8*rate+rate)*overage + slack; s.worst() > most {
						t.Errorf("%.0f within 8 s, at most %.0f are allowed", s.worst(), most)
					}
					if s.served < c.served*s.oracleServed {
						t.Errorf("served %.3f of what a single bucket serves, want %.2f", s.served/s.oracleServed, c.served)
					}
					t.Logf("served %.3f of what a single bucket serves; %.0f messages a second", s.served/s.oracleServed, float64(s.messages)/s.now.Seconds())
				})
			}
		}
	}
}
