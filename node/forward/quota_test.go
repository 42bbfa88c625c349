package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/quota"
	"github.com/pollenwheel/pollenwheel/node/quotas"
)

// TestQuotaOfAnAccount guards against requests over the quota that run, against refusals below it,
// and against amounts that are lost with requests that have not run.
func TestQuotaOfAnAccount(t *testing.T) {
	url, forwarder, backends := startForwarder(t, []http.HandlerFunc{answerNotRun})
	var unreachable atomic.Bool
	ask := func(context.Context, []quota.Want, time.Duration) ([]quota.Credit, error) {
		if unreachable.Load() {
			return nil, errors.New("no leader")
		}
		return []quota.Credit{{Account: "guild", RetryIn: time.Minute}}, nil
	}
	forwarder.opts.Quotas = quotas.NewClient(ask, func() int { return 1 }, forwarder.opts.Now)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = forwarder.opts.Quotas.Run(ctx) }()
	keys := []account.Key{{Digest: account.DigestOf("g"), Account: "guild"}, {Digest: account.DigestOf("s"), Account: "school"}}
	// The only host holds a quarter of a burst from the beginning: 2 requests, or none.
	publish := func(burst float64) {
		publishAccounts(forwarder, &account.List{Keys: keys, Accounts: []account.Account{
			{Name: "guild", Quota: &account.Quota{PerSecond: 8, Burst: burst}}, {Name: "school"},
		}})
	}
	publish(8)
	for i, c := range []struct {
		key    string
		status int
	}{
		{"g", http.StatusServiceUnavailable}, // the server does not run it, and the amount comes back
		{"g", http.StatusOK},
		{"g", http.StatusOK},
		{"g", http.StatusTooManyRequests},
		{"s", http.StatusOK},
	} {
		resp, _, err := post(t, url, "/unsafe/", "", "T-Key", c.key)
		if err != nil || resp.status != c.status {
			t.Errorf("request %d: status %d, error %v, want status %d", i, resp.status, err, c.status)
		}
		if c.status == http.StatusTooManyRequests && resp.header.Get("Retry-After") == "" {
			t.Error("the refusal has no Retry-After header")
		}
	}
	if n := backends[0].requestCount(); n != 4 {
		t.Errorf("%d requests reached the server, want 4", n)
	}
	unreachable.Store(true)
	publish(4)
	if resp, _, err := post(t, url, "/unsafe/", "", "T-Key", "g"); err != nil || resp.status != http.StatusTooManyRequests && resp.status != http.StatusServiceUnavailable {
		t.Errorf("without the leader: status %d, error %v, want a refusal", resp.status, err)
	}
}
