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

// runCrashScenario lets one or two senders send the same request, which crashes engines.
// Each sender resends it after its answer through alternating hosts. At the same time,
// innocent requests are sent. It returns the number of processes that the request crashed
// and the violations that the checks found.
func runCrashScenario(t *testing.T, intn func(n int) int, disabled disabledMechanisms) (crashedProcesses int, violations []string) {
	innocents, logFaults, seed := 4+intn(8), 10*intn(3), uint64(intn(1<<30))
	startTimes := make([]time.Duration, innocents)
	for i := range startTimes {
		startTimes[i] = time.Duration(intn(1500)) * time.Millisecond
	}
	firstAt, senderGap := time.Duration(intn(1000))*time.Millisecond, time.Duration(intn(1500))*time.Millisecond
	senders := 1 + intn(2)
	s := scenario{seed: seed}
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 2, engines: 4, disabled: disabled, seed: seed, commitFaults: func(n uint64) commitFault {
			if s.chance(logFaults, "log", fmt.Sprint(n)) {
				return commitAnswerLost
			}
			return commitOK
		}})
		defer cl.close()
		var group sync.WaitGroup
		replies := make([]reply, innocents)
		for i, at := range startTimes {
			group.Go(func() {
				time.Sleep(at)
				replies[i] = cl.hosts[i%2].call(context.Background(), "/v1/chat/completions",
					map[string]string{"X-Deadline-Ms": "60000"}, chatBody(fmt.Sprintf("innocent-%d.", i), true, 20))
			})
		}
		time.Sleep(firstAt)
		var lastReplies [2]reply
		for sender := range senders {
			group.Go(func() {
				time.Sleep(time.Duration(sender) * senderGap)
				for i := range 6 {
					at := (i + sender) % 2
					r := cl.hosts[at].call(context.Background(), "/v1/chat/completions",
						map[string]string{"X-Deadline-Ms": "20000"}, chatBody("poison", true, 5))
					cl.mu.Lock()
					lastReplies[at] = r
					cl.mu.Unlock()
					time.Sleep(time.Second)
				}
			})
		}
		group.Wait()
		ended := map[process]bool{}
		for _, x := range cl.engineJournal.Executions() {
			if x.Prompt != "poison" || x.End != engine.EndCrashed {
				continue
			}
			ended[process{x.Server, x.Incarnation}] = true
			// With two senders, the second may have sent the request before the first
			// crash, so that it runs beside other requests.
			if crashedProcesses = len(ended); crashedProcesses > 1 && senders == 1 && x.MaxConcurrentOthers > 0 {
				violations = append(violations, fmt.Sprintf("crash %d happened while %d other requests ran on the engine, want none", crashedProcesses, x.MaxConcurrentOthers))
			}
		}
		if crashedProcesses > 2 {
			violations = append(violations, fmt.Sprintf("the request crashed %d processes, want at most 2", crashedProcesses))
		}
		for i, r := range lastReplies {
			if r.refusal == nil || r.refusal.Code != "quarantined" {
				violations = append(violations, fmt.Sprintf("host %d, last reply to the crashing request: status %d, body %s, want quarantined", i, r.status, r.body))
			}
		}
		for i, r := range replies {
			text, complete := r.text(true)
			refusedWithoutQuorum := r.refusal != nil && r.refusal.Code == "no_quorum" && logFaults > 0
			if !refusedWithoutQuorum && (!complete || text != expectedText(fmt.Sprintf("innocent-%d.", i), 20)) {
				violations = append(violations, fmt.Sprintf("innocent request %d got an incomplete or wrong answer: %s", i, r.body))
			}
		}
	})
	return crashedProcesses, violations
}

// Guards against a request that crashes one server after another, and against innocent
// requests that are refused because they ran on the same server.
func TestCrashingRequestIsContained(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		crashedProcesses, violations := runCrashScenario(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }, disabledMechanisms{})
		if len(violations) > 0 {
			rt.Fatalf("%d processes crashed: %s", crashedProcesses, violations)
		}
	})
}

// The checks must report more than two crashes if suspects are not tracked.
func TestCrashChecksDetectDisabledSuspects(t *testing.T) {
	crashedProcesses, violations := runCrashScenario(t, rand.New(rand.NewPCG(1, 1)).IntN, disabledMechanisms{suspects: true})
	t.Logf("without suspects: %d processes crashed", crashedProcesses)
	if crashedProcesses <= 2 || len(violations) == 0 {
		t.Error("the checks did not detect that suspects are disabled")
	}
}

// Guards against work that goes on after its caller has left. The engine must stop long
// before its own time limit for streams without a reader.
func TestCancelReachesEngine(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			cl := newCluster(clusterOptions{hosts: 1, engines: 2, disabled: disabledMechanisms{cancelOnServer: disabled}})
			defer cl.close()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			cl.hosts[0].call(ctx, "/v1/chat/completions", nil, chatBody("long", true, 1000))
			time.Sleep(200 * time.Millisecond)
			x := cl.engineJournal.Executions()
			if len(x) != 1 || (x[0].End == engine.EndCancelled) == disabled {
				t.Errorf("cancellation disabled=%t: executions %+v, want exactly one, cancelled unless disabled", disabled, x)
			}
		})
	}
}

// Guards against a planned stop that interrupts a stream or loses an outcome.
func TestDrainWaitsForStreams(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 2})
		defer cl.close()
		var group sync.WaitGroup
		var r reply
		group.Go(func() {
			r = cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 100))
		})
		time.Sleep(500 * time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if cl.hosts[0].entry.Drain(short) == nil {
			t.Error("Drain returned without an error while a stream was open")
		}
		refused := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("late", true, 1))
		if refused.refusal == nil || refused.refusal.Code != "draining" || refused.refusal.Execution != ExecutionNotRun {
			t.Errorf("new request while draining: status %d, body %s, want draining and not_run", refused.status, refused.body)
		}
		if err := cl.hosts[0].entry.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		group.Wait()
		if text, complete := r.text(true); !complete || text != expectedText("stream", 100) {
			t.Errorf("incomplete or wrong stream %q", r.body)
		}
	})
}

// Guards against a second run of a request whose claim was removed after the claim
// retention period.
func TestExpiredKeyIsRefused(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			cl := newCluster(clusterOptions{hosts: 2, plainServers: 2, retentionSeconds: 60, disabled: disabledMechanisms{claims: disabled}})
			defer cl.close()
			header := map[string]string{"X-Idempotent": "false", "Idempotency-Key": fmt.Sprintf("%d.once", time.Now().UnixMilli())}
			send := func(host int) reply {
				return cl.hosts[host].call(context.Background(), "/v1/services/"+orderService+"/orders", header, "once")
			}
			send(0)
			time.Sleep(10 * time.Second)
			if r := send(1); !disabled && (r.status != 200 || r.header.Get("X-Replayed") != "true") {
				t.Errorf("resend within the retention period: status %d, body %s, want a replayed answer", r.status, r.body)
			}
			time.Sleep(2 * time.Minute)
			if r := send(1); !disabled && (r.refusal == nil || r.refusal.Code != "key_expired" || r.refusal.Execution != ExecutionUnknown) {
				t.Errorf("resend after the retention period: status %d, body %s, want key_expired and unknown", r.status, r.body)
			}
			if n := len(cl.plainJournal.Calls()); (n > 1) != disabled {
				t.Errorf("the request ran %d times with claims disabled=%t, want more than once only if disabled", n, disabled)
			}
		})
	}
}

// Guards against a crash of a restarted server process that is recorded for the previous
// process: an attempt must run only on the incarnation that it names.
func TestAttemptNamesItsProcess(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 2})
		defer cl.close()
		cl.mu.Lock()
		first, opts := cl.engines[0], cl.engineOptions[0]
		cl.mu.Unlock()
		_ = first.Close()
		opts.Incarnation, opts.Listener = 2, cl.net.Listen("10.0.0.1:80")
		unregistered, err := engine.Start(cl.ctx, opts)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = unregistered.Close() }()
		for i := range 4 {
			prompt := fmt.Sprintf("request-%d", i)
			r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody(prompt, false, 1))
			if text, complete := r.text(false); !complete || text != expectedText(prompt, 1) {
				t.Fatalf("incomplete or wrong answer %s", r.body)
			}
		}
		for _, x := range cl.engineJournal.Executions() {
			if x.Server == opts.Name && x.Incarnation == 2 && cl.committedIncarnation(x.Server) < 2 {
				t.Errorf("request ran on an incarnation that is not committed: %+v", x)
			}
		}
	})
}
