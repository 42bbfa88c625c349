package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/standin/engine"
)

// poisonRun sends one or two copies of a request that crashes engines, resends
// them after each answer through alternating hosts, and sends innocent requests
// beside them. It returns
// how many processes the request took down and what the oracle found.
func poisonRun(t *testing.T, below func(n int) int, off mechanisms) (downs int, faults []string) {
	innocents, logFaults, seed := 4+below(8), 10*below(3), uint64(below(1<<30))
	starts := make([]time.Duration, innocents)
	for i := range starts {
		starts[i] = time.Duration(below(1500)) * time.Millisecond
	}
	first, gap := time.Duration(below(1000))*time.Millisecond, time.Duration(below(1500))*time.Millisecond
	copies := 1 + below(2)
	s := scenario{seed: seed}
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 2, engines: 4, off: off, seed: seed, commits: func(n uint64) commitFault {
			if s.chance(logFaults, "log", fmt.Sprint(n)) {
				return commitAnswerLost
			}
			return commitFine
		}})
		defer w.close()
		var group sync.WaitGroup
		replies := make([]reply, innocents)
		for i, at := range starts {
			group.Go(func() {
				time.Sleep(at)
				replies[i] = w.hosts[i%2].call(context.Background(), "/v1/chat/completions",
					map[string]string{"X-Deadline-Ms": "60000"}, chatBody(fmt.Sprintf("innocent-%d.", i), true, 20))
			})
		}
		time.Sleep(first)
		var last [2]reply
		for copyOf := range copies {
			group.Go(func() {
				time.Sleep(time.Duration(copyOf) * gap)
				for i := range 6 {
					at := (i + copyOf) % 2
					r := w.hosts[at].call(context.Background(), "/v1/chat/completions",
						map[string]string{"X-Deadline-Ms": "20000"}, chatBody("poison", true, 5))
					w.mu.Lock()
					last[at] = r
					w.mu.Unlock()
					time.Sleep(time.Second)
				}
			})
		}
		group.Wait()
		ended := map[process]bool{}
		for _, x := range w.journal.Executions() {
			if x.Prompt != "poison" || x.End != engine.EndCrashed {
				continue
			}
			ended[process{x.Server, x.Incarnation}] = true
			// A second copy may have been sent before the first crash.
			if downs = len(ended); downs > 1 && copies == 1 && x.Beside > 0 {
				faults = append(faults, fmt.Sprintf("crash %d took place beside %d others", downs, x.Beside))
			}
		}
		if downs > 2 {
			faults = append(faults, fmt.Sprintf("%d processes taken down", downs))
		}
		for i, r := range last {
			if r.refusal == nil || r.refusal.Code != "quarantined" {
				faults = append(faults, fmt.Sprintf("host %d answered the request with %d %s", i, r.status, r.body))
			}
		}
		for i, r := range replies {
			text, whole := r.text(true)
			cut := r.refusal != nil && r.refusal.Code == "no_quorum" && logFaults > 0
			if !cut && (!whole || text != wholeText(fmt.Sprintf("innocent-%d.", i), 20)) {
				faults = append(faults, fmt.Sprintf("innocent %d: %s", i, r.body))
			}
		}
	})
	return downs, faults
}

// Guards against a request that takes down one server after another, and
// against innocent requests that are refused because they ran beside it.
func TestCrashingRequestIsContained(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		downs, faults := poisonRun(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }, mechanisms{})
		if len(faults) > 0 {
			rt.Fatalf("%d crashes: %s", downs, faults)
		}
	})
}

// The oracle must see more than two crashes when suspects are not tracked.
func TestCrashOracleSeesMissingMechanism(t *testing.T) {
	downs, faults := poisonRun(t, rand.New(rand.NewPCG(1, 1)).IntN, mechanisms{suspects: true})
	t.Logf("without suspects: %d processes taken down", downs)
	if downs <= 2 || len(faults) == 0 {
		t.Error("the oracle saw nothing")
	}
}

// Guards against work that runs on for a caller that has left: the engine must
// stop long before its own grace for streams without a reader.
func TestCancelReachesEngine(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			w := newWorld(worldOptions{hosts: 1, engines: 2, off: mechanisms{cancel: off}})
			defer w.close()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			w.hosts[0].call(ctx, "/v1/chat/completions", nil, chatBody("long", true, 1000))
			time.Sleep(200 * time.Millisecond)
			x := w.journal.Executions()
			if len(x) != 1 || (x[0].End == engine.EndCancelled) == off {
				t.Errorf("cancel off=%t: executions %+v", off, x)
			}
		})
	}
}

// Guards against a planned stop that cuts a stream or loses an outcome.
func TestDrainWaitsForStreams(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 1, engines: 2})
		defer w.close()
		var group sync.WaitGroup
		var r reply
		group.Go(func() {
			r = w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 100))
		})
		time.Sleep(500 * time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if w.hosts[0].entry.Drain(short) == nil {
			t.Error("drained while a stream was open")
		}
		refused := w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("late", true, 1))
		if refused.refusal == nil || refused.refusal.Code != "draining" || refused.refusal.Execution != NotRun {
			t.Errorf("new request: %d %s", refused.status, refused.body)
		}
		if err := w.hosts[0].entry.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		group.Wait()
		if text, whole := r.text(true); !whole || text != wholeText("stream", 100) {
			t.Errorf("stream %q", r.body)
		}
	})
}

// Guards against a second run of a call whose claim was dropped because its
// retention has passed.
func TestExpiredKeyIsRefused(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			w := newWorld(worldOptions{hosts: 2, plains: 2, retention: 60, off: mechanisms{claims: off}})
			defer w.close()
			header := map[string]string{"X-Idempotent": "false", "Idempotency-Key": fmt.Sprintf("%d.once", time.Now().UnixMilli())}
			send := func(host int) reply {
				return w.hosts[host].call(context.Background(), "/v1/services/"+orders+"/orders", header, "once")
			}
			send(0)
			time.Sleep(10 * time.Second)
			if r := send(1); !off && (r.status != 200 || r.header.Get("X-Replayed") != "true") {
				t.Errorf("resend: %d %s", r.status, r.body)
			}
			time.Sleep(2 * time.Minute)
			if r := send(1); !off && (r.refusal == nil || r.refusal.Code != "key_expired" || r.refusal.Execution != Unknown) {
				t.Errorf("resend after the retention: %d %s", r.status, r.body)
			}
			if n := len(w.calls.Calls()); (n > 1) != off {
				t.Errorf("ran %d times with claims off=%t", n, off)
			}
		})
	}
}

// Guards against a crash of a restarted process that is counted as one of the
// process before: an attempt must not run on a process that it does not name.
func TestAttemptNamesItsProcess(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 1, engines: 2})
		defer w.close()
		w.mu.Lock()
		first, opts := w.engines[0], w.options[0]
		w.mu.Unlock()
		_ = first.Close()
		opts.Incarnation, opts.Listener = 2, w.net.listen("10.0.0.1:80")
		unknown, err := engine.Start(w.ctx, opts)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = unknown.Close() }()
		for i := range 4 {
			prompt := fmt.Sprintf("request-%d", i)
			r := w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody(prompt, false, 1))
			if text, whole := r.text(false); !whole || text != wholeText(prompt, 1) {
				t.Fatalf("answer %s", r.body)
			}
		}
		for _, x := range w.journal.Executions() {
			if x.Server == opts.Name && x.Incarnation == 2 && w.registered(x.Server) < 2 {
				t.Errorf("ran on a process that is not registered: %+v", x)
			}
		}
	})
}
