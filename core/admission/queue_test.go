package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// finishTimes is a heap of simulated requests in progress, ordered by the time at
// which they finish and release their slot.
type finishTimes []simulatedRun

type simulatedRun struct {
	finish, took time.Duration
	request      Request
}

func (f finishTimes) Len() int           { return len(f) }
func (f finishTimes) Less(i, j int) bool { return f[i].finish < f[j].finish }
func (f finishTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishTimes) Push(x any)        { *f = append(*f, x.(simulatedRun)) }
func (f *finishTimes) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

type outcome struct {
	offered, accepted, inTime, late, expired int
	inTimeByTeam                             map[string]int
}

// simulate offers Poisson arrivals at factor times the capacity of 8 slots
// with service times of 50 to 150 ms, for 300 s of virtual time. With fifo set,
// admission control is off and an unbounded queue is served in order of arrival.
// With mergeTeams set, the queue treats all requests as one team.
func simulate(seed uint64, factor float64, fifo, mergeTeams bool, teamOf func(*rand.Rand) string) outcome {
	const slots, capacity, length = 8, 80.0, 300 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	q := NewQueue(Options{Limit: 200, PatientLimit: 200}, rand.New(rand.NewPCG(seed, 2)))
	q.SetCapacity(slots, 0, true)
	var fifoQueue []Request
	var busy finishTimes
	teamOfRequest := map[uint64]string{}
	o := outcome{inTimeByTeam: map[string]int{}}
	grant := func(now time.Duration) {
		for {
			var r Request
			ok := false
			if fifo {
				if ok = len(fifoQueue) > 0 && len(busy) < slots; ok {
					r, fifoQueue = fifoQueue[0], fifoQueue[1:]
				}
			} else {
				r, ok = q.Next(now)
			}
			if !ok {
				return
			}
			took := 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
			heap.Push(&busy, simulatedRun{now + took, took, r})
		}
	}
	arrival := time.Duration(0)
	for id := uint64(1); arrival < length; id++ {
		arrival += time.Duration(rng.ExpFloat64() / (factor * capacity) * float64(time.Second))
		for len(busy) > 0 && busy[0].finish <= arrival {
			done := heap.Pop(&busy).(simulatedRun)
			if !fifo {
				q.ReleaseSlot(done.took)
			}
			if done.finish <= done.request.Deadline {
				o.inTime++
				o.inTimeByTeam[teamOfRequest[done.request.ID]]++
			} else {
				o.late++
			}
			if !fifo {
				o.expired += len(q.Expire(done.finish))
			}
			grant(done.finish)
		}
		class := Class(rng.IntN(2))
		deadline := []time.Duration{time.Second, 2 * time.Second}[class]
		teamOfRequest[id] = teamOf(rng)
		team := teamOfRequest[id]
		if mergeTeams {
			team = ""
		}
		r := Request{ID: id, Team: team, Class: class, Arrived: arrival, Deadline: arrival + deadline}
		o.offered++
		if fifo {
			fifoQueue = append(fifoQueue, r)
			o.accepted++
		} else if q.Offer(arrival, r) == nil {
			o.accepted++
		}
		grant(arrival)
	}
	return o
}

func oneTeam(*rand.Rand) string { return "lace" }

// TestOverloadKeepsGoodput guards against congestion collapse: at two and three
// times the capacity, goodput must stay above 90% of the peak, and at most 0.5%
// of the accepted requests may miss their deadline at any load.
func TestOverloadKeepsGoodput(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		inTime, peak := map[float64]int{}, 0
		for _, factor := range []float64{0.5, 0.9, 1, 2, 3} {
			o := simulate(seed, factor, false, false, oneTeam)
			inTime[factor] = o.inTime
			peak = max(peak, o.inTime)
			missed := float64(o.late+o.expired) / float64(o.accepted)
			t.Logf("seed %d load %.1f: offered %d accepted %d in time %d late %d expired %d", seed, factor, o.offered, o.accepted, o.inTime, o.late, o.expired)
			if missed > 0.005 {
				t.Errorf("seed %d load %.1f: %.2f%% of accepted requests missed their deadline, want at most 0.5%%", seed, factor, 100*missed)
			}
		}
		for _, factor := range []float64{2, 3} {
			if float64(inTime[factor]) < 0.9*float64(peak) {
				t.Errorf("seed %d: goodput %d at load %.0f is below 90%% of the peak %d", seed, inTime[factor], factor, peak)
			}
		}
	}
}

// TestOverloadCheckDetectsCollapse guards against a goodput check in
// TestOverloadKeepsGoodput that also passes for a queue without admission control.
func TestOverloadCheckDetectsCollapse(t *testing.T) {
	peak := simulate(1, 0.9, true, false, oneTeam).inTime
	o := simulate(1, 2, true, false, oneTeam)
	t.Logf("without admission control: peak %d, at load 2: in time %d late %d", peak, o.inTime, o.late)
	if float64(o.inTime) >= 0.9*float64(peak) {
		t.Fatal("the goodput check passes without admission control")
	}
}

// TestTeamsShareContendedCapacity guards against one team taking the capacity of
// another: with a load of three times the capacity, of which one team offers 70%,
// the other team must get at least 40% of the goodput.
func TestTeamsShareContendedCapacity(t *testing.T) {
	for _, mergeTeams := range []bool{false, true} {
		o := simulate(1, 3, false, mergeTeams, func(rng *rand.Rand) string {
			if rng.IntN(10) < 7 {
				return "heavy"
			}
			return "light"
		})
		lightShare := float64(o.inTimeByTeam["light"]) / float64(o.inTime)
		t.Logf("light team got %.1f%% of the goodput with teams merged=%t", 100*lightShare, mergeTeams)
		if (lightShare < 0.4) != mergeTeams {
			t.Errorf("light team got %.1f%% of the goodput, want at least 40%% only if teams are separate; teams merged=%t", 100*lightShare, mergeTeams)
		}
	}
}

// TestUrgencyOrder guards against starvation of patient requests, and against
// patient requests that are served before more urgent ones that arrived later.
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
		q.ReleaseSlot(0)
	}
	if fmt.Sprint(got) != "[3 2 4 1]" {
		t.Errorf("served in the order %v, want [3 2 4 1]", got)
	}
}

// TestDeadlineAgainstPrediction guards against late refusals: a request whose
// deadline is before the predicted ready time is refused immediately, and a
// changed prediction also applies to waiting requests.
func TestDeadlineAgainstPrediction(t *testing.T) {
	q := NewQueue(Options{Limit: 10, PatientLimit: 10}, rand.New(rand.NewPCG(1, 1)))
	q.SetCapacity(0, 30*time.Second, true)
	if r := q.Offer(0, Request{ID: 1, Deadline: 20 * time.Second}); r == nil || r.Code != CodeDeadline || r.RetryAfter < 15*time.Second {
		t.Errorf("deadline before the ready time: refusal %+v, want code deadline with RetryAfter of at least 15 s", r)
	}
	if r := q.Offer(0, Request{ID: 2, Deadline: 40 * time.Second}); r != nil {
		t.Errorf("deadline after the ready time: refused: %+v", r)
	}
	q.SetCapacity(0, 50*time.Second, true)
	if out := q.Expire(time.Second); len(out) != 1 || out[0].ID != 2 {
		t.Errorf("expired %+v, want request 2", out)
	}
}

// TestRetryBudget guards against a retry storm: retries must stay a share of first
// attempts.
func TestRetryBudget(t *testing.T) {
	b, retries := NewRetryBudget(0.1), 0
	for range 1000 {
		b.RecordFirstAttempt()
		for b.TakeRetry() {
			retries++
		}
	}
	if retries < 90 || retries > 110 {
		t.Errorf("%d retries for 1000 first attempts at a share of 0.1, want 90 to 110", retries)
	}
}
