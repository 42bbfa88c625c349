package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestServersGetNoMoreThanTheLimitTheyName guards against hosts that each keep their own
// rate, or none, to a server that names one limit for all hosts.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) {
	for _, c := range []struct {
		name string
		opts limitWorldOptions
	}{
		{"most servers", limitWorldOptions{hosts: 8, servers: 9, perSecond: 80, limits: []string{"3.7", "8.6", "1", "1.2", "1", "6.4"}}},
		{"one busy host", limitWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"4", "2"}, busyShare: 0.8}},
		{"a model on one server", limitWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"2"}, soleShare: 0.2}},
		{"a plain service", limitWorldOptions{hosts: 8, servers: 3, perSecond: 60, limits: []string{"3", "1"}, plain: true}},
		{"100 hosts", limitWorldOptions{hosts: 100, servers: 9, perSecond: 200, limits: []string{"1", "2.5"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.opts.seed, c.opts.duration = 1, 20*time.Second
				c.opts.limitFrom, c.opts.limitUntil = 4*time.Second, 18*time.Second
				w := runLimitWorld(t, c.opts)
				got, allowed := w.checkLimits(t)
				t.Logf("limited servers got %.0f requests, %.0f allowed; answers by status: %v", got, allowed, w.statuses)
				if w.statuses[http.StatusOK] == 0 {
					t.Error("no request was answered")
				}
			})
		})
	}
}
