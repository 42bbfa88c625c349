package entry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/standin/engine"
)

// Guards against an interrupted stream that runs again although its engine could still
// resume it.
func TestInterruptedStreamIsResumed(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			cl := newCluster(clusterOptions{hosts: 1, engines: 3, disabled: disabledMechanisms{streamResume: disabled}, engineFaults: engine.Faults{
				CutAfter: func(id string) int {
					if strings.HasSuffix(id, "-1") {
						return 3
					}
					return -1
				},
			}})
			defer cl.close()
			r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 9))
			if text, complete := r.text(true); !complete || text != expectedText("stream", 9) {
				t.Errorf("resume disabled=%t: incomplete or wrong answer %s", disabled, r.body)
			}
			if n := len(cl.engineJournal.Executions()); (n > 1) != disabled {
				t.Errorf("resume disabled=%t: %d executions, want more than one only if disabled", disabled, n)
			}
		})
	}
}

// crashDuringStream closes the engine that runs a stream and returns the caller's reply.
func crashDuringStream(cl *cluster) (r reply) {
	var group sync.WaitGroup
	group.Go(func() {
		r = cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 20))
	})
	time.Sleep(200 * time.Millisecond)
	for i, eng := range cl.engines {
		if x := cl.engineJournal.Executions(); cl.engineOptions[i].Name == x[0].Server {
			_ = eng.Close()
		}
	}
	group.Wait()
	return r
}

// Guards against a caller that gets the beginning of one answer and the end of a different
// one after an engine crash.
func TestRerunContinuesOnlyTheSameAnswer(t *testing.T) {
	for _, c := range []struct{ vary, disabled bool }{{false, false}, {true, false}, {true, true}} {
		synctest.Test(t, func(*testing.T) {
			vary := c.vary
			cl := newCluster(clusterOptions{hosts: 1, engines: 3, engineFaults: engine.Faults{VaryAnswers: vary}, disabled: disabledMechanisms{answerComparison: c.disabled}})
			defer cl.close()
			r := crashDuringStream(cl)
			text, complete := r.text(true)
			if !vary && (!complete || text != expectedText("stream", 20)) {
				t.Errorf("incomplete or wrong answer %s", r.body)
			}
			if c.disabled {
				if first, _, _ := strings.Cut(text, "."); !complete || strings.Count(text, first) == 20 {
					t.Errorf("the check did not detect parts of two answers: %s", r.body)
				}
				return
			}
			if vary && (complete || r.refusal == nil || r.refusal.Code != "answer_cut" || r.refusal.Execution != ExecutionUnknown) {
				t.Errorf("engines with different answers: reply %s, want answer_cut and unknown", r.body)
			}
		})
	}
}

// Guards against a retry after a crash that could not be committed, and against a resend
// that crashes the next server before the crash is committed.
func TestNoRetryAfterCrashWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 3, disabled: disabledMechanisms{suspects: true}})
		defer cl.close()
		cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("poison", true, 5))
		if n := len(cl.engineJournal.Executions()); n < 2 {
			t.Errorf("%d executions with suspects disabled, want at least 2", n)
		}
	})
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 3, commitFaults: func(uint64) commitFault { return commitDropped }})
		defer cl.close()
		for i := range 4 {
			r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "5000"}, chatBody("poison", true, 5))
			want := []Execution{ExecutionUnknown, ExecutionNotRun, ExecutionNotRun, ExecutionNotRun}[i]
			if r.refusal == nil || r.refusal.Code != "no_quorum" || r.refusal.Execution != want {
				t.Errorf("reply %d: %s, want no_quorum; unknown in reply 0, not_run in others", i, r.body)
			}
			time.Sleep(time.Second)
		}
		if n := len(cl.engineJournal.Executions()); n != 1 {
			t.Errorf("%d executions, want 1", n)
		}
		r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("innocent", false, 3))
		if text, complete := r.text(false); !complete || text != expectedText("innocent", 3) {
			t.Errorf("request for a loaded model without a quorum: incomplete or wrong answer %s", r.body)
		}
	})
}

// Guards against new attempts on a leaving engine, and against a planned stop that interrupts
// a stream. The stream must be complete, and later requests must need no retry.
func TestLeavingServerGetsNoNewAttempts(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 2})
		defer cl.close()
		var group sync.WaitGroup
		var r reply
		group.Go(func() {
			r = cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 100))
		})
		time.Sleep(100 * time.Millisecond)
		cl.mu.Lock()
		leaving := cl.engines[0]
		if cl.engineJournal.Executions()[0].Server == cl.engineOptions[1].Name {
			leaving = cl.engines[1]
		}
		cl.mu.Unlock()
		group.Go(func() { _ = leaving.Leave(context.Background()) })
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("later", false, 1))
		}
		for _, x := range cl.engineJournal.Executions()[1:] {
			if x.Server == cl.engineJournal.Executions()[0].Server || !strings.HasSuffix(x.Attempt, "-1") {
				t.Errorf("request ran on the leaving engine or needed a retry: %+v", x)
			}
		}
		group.Wait()
		if text, complete := r.text(true); !complete || text != expectedText("stream", 100) || len(cl.log.state.Suspects) > 0 {
			t.Errorf("incomplete or wrong stream %s, or suspects %v, want none", r.body, cl.log.state.Suspects)
		}
	})
}
