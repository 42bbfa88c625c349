package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/standin/engine"
)

// Guards against a prompt prefix that crashes one server after another because no two
// requests with it are alike.
func TestHarmfulPromptPrefixIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(clusterOptions{hosts: 2, engines: 4, seed: 1})
		defer cl.close()
		for i := range 10 {
			body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"system","content":"poison"},{"role":"user","content":"question %d"}]}`, guideModel, i)
			r := cl.hosts[i%2].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "20000"}, body)
			if i >= 8 && (r.refusal == nil || r.refusal.Code != "quarantined" || r.refusal.Execution != ExecutionNotRun) {
				t.Errorf("request %d through host %d: status %d, body %s, want quarantined and not run", i, i%2, r.status, r.body)
			}
			time.Sleep(time.Second)
		}
		crashed := map[process]bool{}
		for _, x := range cl.engineJournal.Executions() {
			if x.End == engine.EndCrashed {
				crashed[process{x.Server, x.Incarnation}] = true
			}
		}
		// The users' rule: a harmful part is known after five crashes.
		if len(crashed) > 5 {
			t.Errorf("ten requests with one prefix crashed %d processes, want at most 5", len(crashed))
		}
		sound := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"system","content":"sound"},{"role":"user","content":"question"}]}`, guideModel)
		r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "20000"}, sound)
		if _, complete := r.text(true); !complete {
			t.Errorf("request with another prefix: status %d, body %s", r.status, r.body)
		}
	})
}
