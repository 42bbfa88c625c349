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

// Guards against a cut stream that runs again although its engine still has it.
func TestCutStreamIsResumed(t *testing.T) {
	for _, off := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			w := newWorld(worldOptions{hosts: 1, engines: 3, off: mechanisms{resume: off}, engineFaults: engine.Faults{
				CutAfter: func(id string) int {
					if strings.HasSuffix(id, "-1") {
						return 3
					}
					return -1
				},
			}})
			defer w.close()
			r := w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 9))
			if text, whole := r.text(true); !whole || text != wholeText("stream", 9) {
				t.Errorf("resume off=%t: %s", off, r.body)
			}
			if n := len(w.journal.Executions()); (n > 1) != off {
				t.Errorf("resume off=%t: %d executions", off, n)
			}
		})
	}
}

// crashUnderStream ends the engine that runs a stream and returns the answer.
func crashUnderStream(w *world) (r reply) {
	var group sync.WaitGroup
	group.Go(func() {
		r = w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 20))
	})
	time.Sleep(200 * time.Millisecond)
	for i, eng := range w.engines {
		if x := w.journal.Executions(); w.options[i].Name == x[0].Server {
			_ = eng.Close()
		}
	}
	group.Wait()
	return r
}

// Guards against a caller that gets the beginning of one answer and the end of
// another after its engine crashed.
func TestRerunContinuesOnlyTheSameAnswer(t *testing.T) {
	for _, c := range []struct{ vary, off bool }{{false, false}, {true, false}, {true, true}} {
		synctest.Test(t, func(*testing.T) {
			vary := c.vary
			w := newWorld(worldOptions{hosts: 1, engines: 3, engineFaults: engine.Faults{Vary: vary}, off: mechanisms{sameAnswer: c.off}})
			defer w.close()
			r := crashUnderStream(w)
			text, whole := r.text(true)
			if !vary && (!whole || text != wholeText("stream", 20)) {
				t.Errorf("answer %s", r.body)
			}
			if c.off {
				if first, _, _ := strings.Cut(text, "."); !whole || strings.Count(text, first) == 20 {
					t.Errorf("the oracle saw no joined answer: %s", r.body)
				}
				return
			}
			if vary && (whole || r.refusal == nil || r.refusal.Code != "answer_cut" || r.refusal.Execution != Unknown) {
				t.Errorf("varying answer: %s", r.body)
			}
		})
	}
}

// Guards against a rerun after a crash that could not be committed, and against
// a resend that takes down the next server meanwhile.
func TestNoRetryAfterCrashWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 1, engines: 3, off: mechanisms{suspects: true}})
		defer w.close()
		w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("poison", true, 5))
		if n := len(w.journal.Executions()); n < 2 {
			t.Errorf("the oracle saw %d executions with suspects off", n)
		}
	})
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 1, engines: 3, commits: func(uint64) commitFault { return commitDropped }})
		defer w.close()
		for i := range 4 {
			r := w.hosts[0].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "5000"}, chatBody("poison", true, 5))
			want := []Execution{Unknown, NotRun, NotRun, NotRun}[i]
			if r.refusal == nil || r.refusal.Code != "no_quorum" || r.refusal.Execution != want {
				t.Errorf("answer %d: %s", i, r.body)
			}
			time.Sleep(time.Second)
		}
		if n := len(w.journal.Executions()); n != 1 {
			t.Errorf("%d executions", n)
		}
		r := w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("innocent", false, 3))
		if text, whole := r.text(false); !whole || text != wholeText("innocent", 3) {
			t.Errorf("warm traffic without a quorum: %s", r.body)
		}
	})
}

// Guards against new work for a leaving engine, and against a planned stop that
// cuts a stream: the stream ends whole, and later requests need no retry.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldOptions{hosts: 1, engines: 2})
		defer w.close()
		var group sync.WaitGroup
		var r reply
		group.Go(func() {
			r = w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 100))
		})
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		leaving := w.engines[0]
		if w.journal.Executions()[0].Server == w.options[1].Name {
			leaving = w.engines[1]
		}
		w.mu.Unlock()
		group.Go(func() { _ = leaving.Leave(context.Background()) })
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			w.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("later", false, 1))
		}
		for _, x := range w.journal.Executions()[1:] {
			if x.Server == w.journal.Executions()[0].Server || !strings.HasSuffix(x.Attempt, "-1") {
				t.Errorf("%+v", x)
			}
		}
		group.Wait()
		if text, whole := r.text(true); !whole || text != wholeText("stream", 100) || len(w.log.state.Suspects) > 0 {
			t.Errorf("stream %s, suspects %v", r.body, w.log.state.Suspects)
		}
	})
}
