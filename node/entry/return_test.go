package entry

import (
	"testing"
	"time"
)

// Guards against a server that gets no work after its fault is over, however
// the hosts learned of the fault.
func TestServersReturnAfterAFault(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault behaviour
	}{
		{"hangs", hangs}, {"slow", isSlow}, {"resets", resets}, {"fails", fails},
	} {
		t.Run(c.name, func(t *testing.T) {
			var late int64
			plan := isoPlan(1)
			isoRun(t, isoOptions{seed: 1, faulty: `"lace"`}, plan, func(w *isoWorld) {
				s := w.servers[0]
				s.server.Store(int32(c.fault))
				time.Sleep(2 * time.Second)
				during := s.runs.Load()
				s.server.Store(int32(answers))
				time.Sleep(isoLength - 2*time.Second - time.Since(w.start))
				late = -s.runs.Load()
				time.Sleep(2 * time.Second)
				late += s.runs.Load()
				t.Logf("%d exchanges until the end of the fault, %d in the last 2 s", during, late)
			})
			// The host of the data centre sends about 24 calls for the model in 2 s.
			if late < 8 {
				t.Errorf("%d exchanges in the last 2 s", late)
			}
		})
	}
}
