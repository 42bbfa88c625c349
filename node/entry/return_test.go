package entry

import (
	"testing"
	"time"
)

// Guards against a server that gets no work after its fault has ended, for each way in
// which the hosts detect a fault.
func TestServersGetWorkAfterFaultEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault behaviour
	}{
		{"hangs", behaviourHang}, {"slow", behaviourSlow}, {"resets", behaviourReset}, {"fails", behaviourError},
	} {
		t.Run(c.name, func(t *testing.T) {
			var lastExchanges int64
			plan := isoPlan(1)
			isoRun(t, isoOptions{seed: 1, faultyModel: `"lace"`}, plan, func(cl *isoCluster) {
				s := cl.servers[0]
				s.serverBehaviour.Store(int32(c.fault))
				time.Sleep(2 * time.Second)
				faultExchanges := s.faultyExchanges.Load()
				s.serverBehaviour.Store(int32(behaviourNormal))
				time.Sleep(isoLength - 2*time.Second - time.Since(cl.start))
				lastExchanges = -s.faultyExchanges.Load()
				time.Sleep(2 * time.Second)
				lastExchanges += s.faultyExchanges.Load()
				t.Logf("%d exchanges before the end of the fault, %d in the last 2 s of the run", faultExchanges, lastExchanges)
			})
			// The host of the data centre sends about 24 calls for the model in 2 s.
			if lastExchanges < 8 {
				t.Errorf("%d exchanges in the last 2 s of the run, want at least 8", lastExchanges)
			}
		})
	}
}
