package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
	"github.com/pollenwheel/pollenwheel/standin/engine"
	"github.com/pollenwheel/pollenwheel/standin/plain"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 60}) }

// deadlineMargin is how long after its deadline a caller may get its answer.
const deadlineMargin = 50 * time.Millisecond

// plannedCall is one call of a scenario.
type plannedCall struct {
	at, deadline, cancel time.Duration
	host, tokens         int
	chat, stream         bool
	// key groups the resends of one call that may run once; 0 is idempotent.
	key int
}

// scenario is a random run of the deployment.
type scenario struct {
	seed                               uint64
	calls                              []plannedCall
	crashes, deaths                    []time.Duration
	cut, lose, misdeliver, refuse, log int // in percent
}

// draw makes a scenario from a source of numbers below n.
func draw(below func(n int) int) scenario {
	s := scenario{
		seed: uint64(below(1 << 30)), cut: 10 * below(5), lose: 10 * below(5), misdeliver: 10 * below(4),
		refuse: 10 * below(4), log: 10 * below(4),
	}
	for range 8 + below(16) {
		c := plannedCall{
			at: time.Duration(below(2000)) * time.Millisecond, deadline: time.Duration(100+below(8000)) * time.Millisecond,
			host: below(2), tokens: 1 + below(12), chat: below(2) == 0, stream: below(3) > 0,
		}
		if below(6) == 0 {
			c.cancel = time.Duration(1+below(400)) * time.Millisecond
		}
		if !c.chat && below(3) > 0 {
			c.key = 1 + below(4)
		}
		s.calls = append(s.calls, c)
	}
	for range below(3) {
		s.crashes = append(s.crashes, time.Duration(below(2000))*time.Millisecond)
	}
	if below(3) == 0 {
		s.deaths = append(s.deaths, time.Duration(below(2000))*time.Millisecond)
	}
	return s
}

// chance decides by a hash, so that it does not depend on the order of events.
func (s scenario) chance(percent int, kind, id string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.seed, kind, id)
	return int(h.Sum64()>>33)%100 < percent
}

func (s scenario) options(off mechanisms) worldOptions {
	var mu sync.Mutex
	last := ""
	return worldOptions{
		hosts: 2, engines: 3, plains: 2, off: off, seed: s.seed,
		engineFaults: engine.Faults{
			CutAfter: func(id string) int {
				if s.chance(s.cut, "cut", id) {
					return int(s.seed % 4)
				}
				return -1
			},
			LoseAnswer: func(id string) bool { return s.chance(s.lose, "lose", id) },
			Refuse:     func(id string) bool { return s.chance(s.refuse, "refuse", id) },
			Misdeliver: func(id string) string {
				mu.Lock()
				defer mu.Unlock()
				earlier := last
				last = id
				if s.chance(s.misdeliver, "misdeliver", id) {
					return earlier
				}
				return ""
			},
		},
		plainFaults: plain.Faults{
			LoseRequest: func(id string) bool { return s.chance(s.lose/2, "request", id) },
			LoseAnswer:  func(id string) bool { return s.chance(s.lose, "lose", id) },
			Refuse:      func(id string) bool { return s.chance(s.refuse, "refuse", id) },
		},
		commits: func(n uint64) commitFault {
			if id := fmt.Sprint(n); s.chance(s.log, "log", id) {
				return commitFault(1 + (n+s.seed)%4)
			}
			return commitFine
		},
	}
}

// execute runs the scenario in virtual time and returns what the oracle found.
func (s scenario) execute(t *testing.T, off mechanisms) (faults []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s.options(off))
		defer w.close()
		replies := make([]reply, len(s.calls))
		created := time.Now().UnixMilli()
		var group sync.WaitGroup
		for i, c := range s.calls {
			group.Go(func() {
				time.Sleep(c.at)
				replies[i] = w.place(i, c, created)
			})
		}
		for i, at := range s.crashes {
			time.AfterFunc(at, func() {
				w.mu.Lock()
				eng := w.engines[i]
				w.mu.Unlock()
				_ = eng.Close()
			})
		}
		for _, at := range s.deaths {
			time.AfterFunc(at, w.hosts[1].kill)
		}
		group.Wait()
		time.Sleep(time.Minute)
		faults = s.check(w, replies)
	})
	return faults
}

func (c plannedCall) prompt(i int) string {
	if c.key > 0 {
		return fmt.Sprintf("order-k%d", c.key)
	}
	return fmt.Sprintf("request-%d.", i)
}

func (w *world) place(i int, c plannedCall, created int64) reply {
	ctx := context.Background()
	if c.cancel > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cancel)
		defer cancel()
	}
	header := map[string]string{"X-Deadline-Ms": fmt.Sprint(c.deadline.Milliseconds())}
	if c.chat {
		return w.hosts[c.host].call(ctx, "/v1/chat/completions", header, chatBody(c.prompt(i), c.stream, c.tokens))
	}
	if c.key > 0 {
		header["X-Idempotent"] = "false"
		header["Idempotency-Key"] = fmt.Sprintf("%d.key-%d", created, c.key)
	}
	return w.hosts[c.host].call(ctx, "/v1/services/"+orders+"/orders?by=test", header, c.prompt(i))
}

// check is the oracle. What the backend servers recorded decides.
func (s scenario) check(w *world, replies []reply) (faults []string) {
	fault := func(i int, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("call %d %+v: ", i, s.calls[i])+fmt.Sprintf(format, args...))
	}
	runs := map[string]int{}
	for _, x := range w.journal.Executions() {
		runs[x.Prompt]++
	}
	for _, x := range w.calls.Calls() {
		runs[x.Body]++
	}
	notRun, answered := map[string]bool{}, map[string]string{}
	for i, c := range s.calls {
		r, prompt := replies[i], c.prompt(i)
		if _, seen := notRun[prompt]; !seen {
			notRun[prompt] = true
		}
		notRun[prompt] = notRun[prompt] && !r.gone && r.refusal != nil && r.refusal.Execution == NotRun
		if c.key > 0 && runs[prompt] > 1 {
			fault(i, "ran %d times", runs[prompt])
		}
		if r.gone {
			continue
		}
		if r.took > c.deadline+deadlineMargin {
			fault(i, "took %s", r.took)
		}
		if r.refusal != nil {
			if r.refusal.Code == "" || r.refusal.Execution == "" || r.refusal.Reason == "" {
				fault(i, "refusal without a type: %s", r.body)
			}
			continue
		}
		if r.aborted {
			fault(i, "neither answered nor refused")
			continue
		}
		if want := "POST /orders?by=test " + prompt; !c.chat {
			if r.status != 200 || r.body != want {
				fault(i, "status %d, answer %q", r.status, r.body)
			}
			answered[prompt] = r.body
			continue
		}
		text, whole := r.text(c.stream)
		if !whole || text != wholeText(prompt, c.tokens) {
			fault(i, "whole=%t, answer %q", whole, r.body)
		}
	}
	for prompt, only := range notRun {
		if only && runs[prompt] > 0 {
			faults = append(faults, fmt.Sprintf("%s: reported not_run and ran %d times", prompt, runs[prompt]))
		}
	}
	return faults
}

// Guards against lost, foreign, partial and late answers, false not_run, and
// second runs of calls that may run once, under crashes of engines and entry
// hosts and faults of answers and of the log.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := draw(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") })
		if faults := s.execute(t, mechanisms{}); len(faults) > 0 {
			rt.Fatalf("scenario %+v:\n%s", s, strings.Join(faults, "\n"))
		}
	})
}

// Each oracle must fail when its mechanism is off.
func TestOraclesSeeMissingMechanisms(t *testing.T) {
	cases := []struct {
		name, want string
		off        mechanisms
	}{
		{"claims", "ran ", mechanisms{claims: true}},
		{"attempt check", "answer ", mechanisms{attemptCheck: true}},
		{"terminal mark", "whole=false", mechanisms{terminal: true}},
		{"not_run only if proven", "reported not_run", mechanisms{honest: true}},
		{"deadlines", "took ", mechanisms{deadlines: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 30; seed++ {
				rng := rand.New(rand.NewPCG(seed, 7))
				for _, f := range draw(rng.IntN).execute(t, c.off) {
					if strings.Contains(f, c.want) {
						t.Logf("seen at seed %d: %s", seed, f)
						return
					}
				}
			}
			t.Error("the oracle saw nothing in 30 seeds")
		})
	}
}
