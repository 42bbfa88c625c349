package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a model that is never loaded again. If a request that is admitted for a
// replica whose server process has ended counts as running, nothing requests the model,
// and the request waits until its deadline.
func TestAdmittedRequestWithoutServerIsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 1})
		defer cl.close()
		cl.mu.Lock()
		only := cl.engines[0]
		cl.mu.Unlock()
		_ = only.Close()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			cl.hosts[0].call(ctx, "/v1/chat/completions", nil, chatBody("request", false, 1))
		}()
		time.Sleep(50 * time.Millisecond)
		waiting, running := 0, 0
		for _, d := range cl.hosts[0].entry.Demand() {
			waiting += d.Waiting + d.Classes[0].Waiting + d.Classes[1].Waiting + d.Classes[2].Waiting
			running += d.Running
		}
		if waiting != 2 || running != 0 {
			t.Errorf("waiting, in total plus by urgency: %d, want 2; running: %d, want 0", waiting, running)
		}
		cancel()
		<-done
	})
}
