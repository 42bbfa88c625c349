package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
)

// TestLeavingHostSendsNothingThatItCouldCutOff guards against a request that may not be repeated, that
// a leaving host passes on and then cuts off at the end of its departure, so that nobody knows
// whether it has run.
func TestLeavingHostSendsNothingThatItCouldCutOff(t *testing.T) {
	for _, c := range []struct {
		name, path, deadlineMS string
		status, sent           int
	}{
		{"unsafe, may last longer", "/unsafe/", "20000", http.StatusServiceUnavailable, 0},
		{"unsafe, no deadline of the caller", "/unsafe/", "", http.StatusServiceUnavailable, 0},
		{"unsafe, ends in time", "/unsafe/", "4000", http.StatusOK, 1},
		{"safe, may last longer", "/safe/", "20000", http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, forwarder, backends := startForwarder(t, nil)
			// The request waits for a server that wants none when the host begins to leave.
			p := notice.Process{Server: backends[0].name, Incarnation: 1}
			forwarder.notices.Record(forwarder.opts.Now(), forwarder.opts.Now(), p, notice.Notice{Pause: 300 * time.Millisecond})
			go func() {
				for forwarder.InFlight() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				forwarder.BeginDeparture(forwarder.opts.Now() + 5*time.Second)
				forwarder.StopAdmission()
			}()
			var headers []string
			if c.deadlineMS != "" {
				headers = []string{"T-Deadline", c.deadlineMS}
			}
			resp, _, err := post(t, url, c.path, "", headers...)
			if got := fmt.Sprint(resp.status, backends[0].requestCount()); err != nil || got != fmt.Sprint(c.status, c.sent) {
				t.Errorf("status and requests at the server %s, error %v; want %d %d", got, err, c.status, c.sent)
			}
		})
	}
}
