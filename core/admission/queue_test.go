package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// finishTimes is a heap of the times at which simulated slots become free.
type finishTimes []running

type running struct {
	at, took time.Duration
	r        Request
}

func (f finishTimes) Len() int           { return len(f) }
func (f finishTimes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishTimes) Push(x any)        { *f = append(*f, x.(running)) }
func (f *finishTimes) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

type outcome struct {
	offered, accepted, good, late, dropped int
	goodByTeam                             map[string]int
}

// simulate offers Poisson arrivals at factor times the capacity of 8 slots
// with service times of 50 to 150 ms, for 300 s of virtual time. With fifo set,
// admission control is off: an unbounded queue in order of arrival. With merge
// set, the queue does not tell teams apart.
func simulate(seed uint64, factor float64, fifo, merge bool, teamOf func(*rand.Rand) string) outcome {
	const slots, capacity, length = 8, 80.0, 300 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	q := NewQueue(Options{Limit: 200, PatientLimit: 200}, rand.New(rand.NewPCG(seed, 2)))
	q.SetCapacity(slots, 0, true)
	var line []Request
	var busy finishTimes
	owner := map[uint64]string{}
	o := outcome{goodByTeam: map[string]int{}}
	grant := func(now time.Duration) {
		for {
			var r Request
			ok := false
			if fifo {
				if ok = len(line) > 0 && len(busy) < slots; ok {
					r, line = line[0], line[1:]
				}
			} else {
				r, ok = q.Next(now)
			}
			if !ok {
				return
			}
			took := 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
			heap.Push(&busy, running{now + took, took, r})
		}
	}
	arrival := time.Duration(0)
	for id := uint64(1); arrival < length; id++ {
		arrival += time.Duration(rng.ExpFloat64() / (factor * capacity) * float64(time.Second))
		for len(busy) > 0 && busy[0].at <= arrival {
			done := heap.Pop(&busy).(running)
			if !fifo {
				q.Done(done.took)
			}
			if done.at <= done.r.Deadline {
				o.good++
				o.goodByTeam[owner[done.r.ID]]++
			} else {
				o.late++
			}
			if !fifo {
				o.dropped += len(q.Expire(done.at))
			}
			grant(done.at)
		}
		class := Class(rng.IntN(2))
		deadline := []time.Duration{time.Second, 2 * time.Second}[class]
		owner[id] = teamOf(rng)
		team := owner[id]
		if merge {
			team = ""
		}
		r := Request{ID: id, Team: team, Class: class, Arrived: arrival, Deadline: arrival + deadline}
		o.offered++
		if fifo {
			line = append(line, r)
			o.accepted++
		} else if q.Offer(arrival, r) == nil {
			o.accepted++
		}
		grant(arrival)
	}
	return o
}

func oneTeam(*rand.Rand) string { return "lace" }

// Guards against collapse under overload: at two and three times the capacity,
// goodput must stay above 90% of the peak and accepted requests must keep
// their deadlines.
func TestOverloadKeepsGoodput(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		good, peak := map[float64]int{}, 0
		for _, factor := range []float64{0.5, 0.9, 1, 2, 3} {
			o := simulate(seed, factor, false, false, oneTeam)
			good[factor] = o.good
			peak = max(peak, o.good)
			missed := float64(o.late+o.dropped) / float64(o.accepted)
			t.Logf("seed %d load %.1f: offered %d accepted %d good %d late %d dropped %d", seed, factor, o.offered, o.accepted, o.good, o.late, o.dropped)
			if missed > 0.005 {
				t.Errorf("seed %d load %.1f: %.2f%% of accepted requests missed their deadline", seed, factor, 100*missed)
			}
		}
		for _, factor := range []float64{2, 3} {
			if float64(good[factor]) < 0.9*float64(peak) {
				t.Errorf("seed %d: goodput %d at load %.0f, peak %d", seed, good[factor], factor, peak)
			}
		}
	}
}

// The overload oracle must fail for a queue without admission control.
func TestOverloadOracleSeesCollapse(t *testing.T) {
	peak := simulate(1, 0.9, true, false, oneTeam).good
	o := simulate(1, 2, true, false, oneTeam)
	t.Logf("without admission control: peak %d, at load 2: good %d late %d", peak, o.good, o.late)
	if float64(o.good) >= 0.9*float64(peak) {
		t.Fatal("the oracle does not see the collapse")
	}
}

// Guards against one team taking the capacity of another: a team that offers
// 70% of three times the capacity must leave the other at least 40% of it.
func TestTeamsShareContendedCapacity(t *testing.T) {
	for _, merge := range []bool{false, true} {
		o := simulate(1, 3, false, merge, func(rng *rand.Rand) string {
			if rng.IntN(10) < 7 {
				return "loud"
			}
			return "quiet"
		})
		quiet := float64(o.goodByTeam["quiet"]) / float64(o.good)
		t.Logf("quiet team got %.1f%% of the goodput with teams merged=%t", 100*quiet, merge)
		if (quiet < 0.4) != merge {
			t.Errorf("quiet team got %.1f%% with teams merged=%t", 100*quiet, merge)
		}
	}
}

// Guards against starvation of patient requests and against patient requests
// being served before urgent ones that arrived later.
func TestUrgencyOrder(t *testing.T) {
	q := NewQueue(Options{Limit: 10, PatientLimit: 10}, rand.New(rand.NewPCG(1, 1)))
	q.SetCapacity(1, 0, true)
	offer := func(id uint64, c Class, deadline time.Duration) {
		t.Helper()
		if r := q.Offer(0, Request{ID: id, Team: fmt.Sprint(id), Class: c, Deadline: deadline}); r != nil {
			t.Fatalf("request %d refused: %s", id, r.Code)
		}
	}
	offer(1, Patient, 4*time.Hour)
	offer(2, Standard, 10*time.Second)
	offer(3, Interactive, 20*time.Second)
	offer(4, Patient, time.Hour)
	var got []uint64
	for _, now := range []time.Duration{0, time.Second, time.Hour - 250*time.Millisecond, time.Hour} {
		r, _ := q.Next(now)
		got = append(got, r.ID)
		q.Done(0)
	}
	if fmt.Sprint(got) != "[3 2 4 1]" {
		t.Errorf("served %v", got)
	}
}

// Guards against late refusals: a deadline before the predicted ready time is
// refused at once, and a prediction that moves is applied to waiting requests.
func TestDeadlineAgainstPrediction(t *testing.T) {
	q := NewQueue(Options{Limit: 10, PatientLimit: 10}, rand.New(rand.NewPCG(1, 1)))
	q.SetCapacity(0, 30*time.Second, true)
	if r := q.Offer(0, Request{ID: 1, Deadline: 20 * time.Second}); r == nil || r.Code != CodeDeadline || r.RetryAfter < 15*time.Second {
		t.Errorf("refusal %+v", r)
	}
	if r := q.Offer(0, Request{ID: 2, Deadline: 40 * time.Second}); r != nil {
		t.Errorf("refused: %+v", r)
	}
	q.SetCapacity(0, 50*time.Second, true)
	if out := q.Expire(time.Second); len(out) != 1 || out[0].ID != 2 {
		t.Errorf("expired %+v", out)
	}
}

// Guards against a retry storm: retries stay a share of first attempts.
func TestRetryBudget(t *testing.T) {
	b, retries := NewBudget(0.1), 0
	for range 1000 {
		b.First()
		for b.Retry() {
			retries++
		}
	}
	if retries < 90 || retries > 110 {
		t.Errorf("%d retries for 1000 first attempts at a share of 0.1", retries)
	}
}
