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

// deadlineMargin is the tolerance for answers after the deadline.
const deadlineMargin = 50 * time.Millisecond

// plannedCall is one call of a scenario. If cancel is set, the caller cancels the call
// after that time.
type plannedCall struct {
	at, deadline, cancel time.Duration
	host, tokens         int
	chat, stream         bool
	// key is equal for all resends of a call that may run only once. It is 0 for an
	// idempotent call.
	key int
}

// scenario is a random test run: its calls and the faults during them. The percentages are
// the probabilities of faults.
type scenario struct {
	seed                                                                             uint64
	calls                                                                            []plannedCall
	engineCrashes, hostStops                                                         []time.Duration
	cutPercent, loseAnswerPercent, misdeliverPercent, refusePercent, logFaultPercent int
}

// drawScenario makes a scenario. intn returns a random number from 0 to n-1.
func drawScenario(intn func(n int) int) scenario {
	s := scenario{
		seed: uint64(intn(1 << 30)), cutPercent: 10 * intn(5), loseAnswerPercent: 10 * intn(5), misdeliverPercent: 10 * intn(4),
		refusePercent: 10 * intn(4), logFaultPercent: 10 * intn(4),
	}
	for range 8 + intn(16) {
		c := plannedCall{
			at: time.Duration(intn(2000)) * time.Millisecond, deadline: time.Duration(100+intn(8000)) * time.Millisecond,
			host: intn(2), tokens: 1 + intn(12), chat: intn(2) == 0, stream: intn(3) > 0,
		}
		if intn(6) == 0 {
			c.cancel = time.Duration(1+intn(400)) * time.Millisecond
		}
		if !c.chat && intn(3) > 0 {
			c.key = 1 + intn(4)
		}
		s.calls = append(s.calls, c)
	}
	for range intn(3) {
		s.engineCrashes = append(s.engineCrashes, time.Duration(intn(2000))*time.Millisecond)
	}
	if intn(3) == 0 {
		s.hostStops = append(s.hostStops, time.Duration(intn(2000))*time.Millisecond)
	}
	return s
}

// chance returns true with the given probability. It decides by a hash of the id, so
// that the result does not depend on the order of events.
func (s scenario) chance(percent int, kind, id string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.seed, kind, id)
	return int(h.Sum64()>>33)%100 < percent
}

func (s scenario) options(disabled disabledMechanisms) clusterOptions {
	var mu sync.Mutex
	last := ""
	return clusterOptions{
		hosts: 2, engines: 3, plainServers: 2, disabled: disabled, seed: s.seed,
		engineFaults: engine.Faults{
			CutAfter: func(id string) int {
				if s.chance(s.cutPercent, "cut", id) {
					return int(s.seed % 4)
				}
				return -1
			},
			LoseAnswer: func(id string) bool { return s.chance(s.loseAnswerPercent, "lose", id) },
			Refuse:     func(id string) bool { return s.chance(s.refusePercent, "refuse", id) },
			Misdeliver: func(id string) string {
				mu.Lock()
				defer mu.Unlock()
				earlier := last
				last = id
				if s.chance(s.misdeliverPercent, "misdeliver", id) {
					return earlier
				}
				return ""
			},
		},
		plainFaults: plain.Faults{
			LoseRequest: func(id string) bool { return s.chance(s.loseAnswerPercent/2, "request", id) },
			LoseAnswer:  func(id string) bool { return s.chance(s.loseAnswerPercent, "lose", id) },
			Refuse:      func(id string) bool { return s.chance(s.refusePercent, "refuse", id) },
		},
		commitFaults: func(n uint64) commitFault {
			if id := fmt.Sprint(n); s.chance(s.logFaultPercent, "log", id) {
				return commitFault(1 + (n+s.seed)%4)
			}
			return commitOK
		},
	}
}

// run runs the scenario in virtual time and returns the violations that the checks found.
func (s scenario) run(t *testing.T, disabled disabledMechanisms) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(s.options(disabled))
		defer cl.close()
		replies := make([]reply, len(s.calls))
		created := time.Now().UnixMilli()
		var group sync.WaitGroup
		for i, c := range s.calls {
			group.Go(func() {
				time.Sleep(c.at)
				replies[i] = cl.sendPlanned(i, c, created)
			})
		}
		for i, at := range s.engineCrashes {
			time.AfterFunc(at, func() {
				cl.mu.Lock()
				eng := cl.engines[i]
				cl.mu.Unlock()
				_ = eng.Close()
			})
		}
		for _, at := range s.hostStops {
			time.AfterFunc(at, cl.hosts[1].kill)
		}
		group.Wait()
		time.Sleep(time.Minute)
		violations = s.check(cl, replies)
	})
	return violations
}

func (c plannedCall) prompt(i int) string {
	if c.key > 0 {
		return fmt.Sprintf("order-k%d", c.key)
	}
	return fmt.Sprintf("request-%d.", i)
}

func (cl *cluster) sendPlanned(i int, c plannedCall, created int64) reply {
	ctx := context.Background()
	if c.cancel > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cancel)
		defer cancel()
	}
	header := map[string]string{"X-Deadline-Ms": fmt.Sprint(c.deadline.Milliseconds())}
	if c.chat {
		return cl.hosts[c.host].call(ctx, "/v1/chat/completions", header, chatBody(c.prompt(i), c.stream, c.tokens))
	}
	if c.key > 0 {
		header["X-Idempotent"] = "false"
		header["Idempotency-Key"] = fmt.Sprintf("%d.key-%d", created, c.key)
	}
	return cl.hosts[c.host].call(ctx, "/v1/services/"+orderService+"/orders?by=test", header, c.prompt(i))
}

// check compares the replies with the journals of the backend servers and returns the
// violations.
func (s scenario) check(cl *cluster, replies []reply) (violations []string) {
	addViolation := func(i int, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("call %d %+v: ", i, s.calls[i])+fmt.Sprintf(format, args...))
	}
	runs := map[string]int{}
	for _, execution := range cl.engineJournal.Executions() {
		runs[execution.Prompt]++
	}
	for _, execution := range cl.plainJournal.Calls() {
		runs[execution.Body]++
	}
	notRun, answered := map[string]bool{}, map[string]string{}
	for i, c := range s.calls {
		r, prompt := replies[i], c.prompt(i)
		if _, seen := notRun[prompt]; !seen {
			notRun[prompt] = true
		}
		notRun[prompt] = notRun[prompt] && !r.callerLeft && r.refusal != nil && r.refusal.Execution == ExecutionNotRun
		if c.key > 0 && runs[prompt] > 1 {
			addViolation(i, "ran %d times, want at most once", runs[prompt])
		}
		if r.callerLeft {
			continue
		}
		if r.took > c.deadline+deadlineMargin {
			addViolation(i, "took %s, longer than its deadline", r.took)
		}
		if r.refusal != nil {
			if r.refusal.Code == "" || r.refusal.Execution == "" || r.refusal.Reason == "" {
				addViolation(i, "refusal without a code, execution or reason: %s", r.body)
			}
			continue
		}
		if r.aborted {
			addViolation(i, "the connection was aborted without a refusal")
			continue
		}
		if want := "POST /orders?by=test " + prompt; !c.chat {
			if r.status != 200 || r.body != want {
				addViolation(i, "status %d, answer %q", r.status, r.body)
			}
			answered[prompt] = r.body
			continue
		}
		text, complete := r.text(c.stream)
		if !complete || text != expectedText(prompt, c.tokens) {
			addViolation(i, "complete=%t, answer %q", complete, r.body)
		}
	}
	for prompt, allNotRun := range notRun {
		if allNotRun && runs[prompt] > 0 {
			violations = append(violations, fmt.Sprintf("%s: reported not_run and ran %d times", prompt, runs[prompt]))
		}
	}
	return violations
}

// Guards against lost, wrong, partial and late answers, against calls reported as not_run
// that did run, and against second runs of calls that may run only once. The scenarios
// contain crashes of engines and entry hosts, lost and misdelivered answers, and faults of
// the replicated log.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") })
		if violations := s.run(t, disabledMechanisms{}); len(violations) > 0 {
			rt.Fatalf("scenario %+v:\n%s", s, strings.Join(violations, "\n"))
		}
	})
}

// The checks must report a violation for each mechanism that is disabled.
func TestChecksDetectDisabledMechanisms(t *testing.T) {
	cases := []struct {
		name, want string
		disabled   disabledMechanisms
	}{
		{"claims", "ran ", disabledMechanisms{claims: true}},
		{"attempt check", "answer ", disabledMechanisms{attemptCheck: true}},
		{"check for the terminal event", "complete=false", disabledMechanisms{terminalCheck: true}},
		{"tracking of executions", "reported not_run", disabledMechanisms{executionTracking: true}},
		{"deadlines", "took ", disabledMechanisms{deadlines: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 30; seed++ {
				rng := rand.New(rand.NewPCG(seed, 7))
				for _, violation := range drawScenario(rng.IntN).run(t, c.disabled) {
					if strings.Contains(violation, c.want) {
						t.Logf("violation at seed %d: %s", seed, violation)
						return
					}
				}
			}
			t.Error("the checks did not detect the disabled mechanism in 30 seeds")
		})
	}
}
