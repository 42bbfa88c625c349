package forward

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// publishAccounts publishes the table in force again, with the next version and the given
// accounts. The first route is public.
func publishAccounts(f *Forwarder, l *account.List) {
	table := *f.view.Load().index.Table()
	table.Version++
	table.Accounts = l
	table.Routes = append(table.Routes[:0:0], table.Routes...)
	table.Routes[0].Public = true
	f.opts.Replica.Apply(table.Version, state.Command{Publish: &state.Publish{Table: table}})
	f.Refresh()
}

// TestAccounts guards against requests without a valid key that run, also after their key was
// withdrawn, and against requests that run as those of another account.
func TestAccounts(t *testing.T) {
	url, forwarder, backends := startForwarder(t, nil)
	current := atomic.Bool{}
	current.Store(true)
	forwarder.opts.AccountsCurrent = current.Load
	urgent := 3
	guild, school := account.Key{Digest: account.DigestOf("g1"), Account: "guild"}, account.Key{Digest: account.DigestOf("s1"), Account: "school"}
	accounts := []account.Account{{Name: "guild", Priority: &urgent}, {Name: "school"}}
	both := &account.List{Accounts: accounts, Keys: []account.Key{guild, school}}
	for _, c := range []struct {
		name, path, key string
		accounts        *account.List
		cutOff          bool
		status          int
		// account and priority are what the server is told.
		account, priority string
	}{
		{"no accounts", "/unsafe/", "", nil, false, 200, "false", "0"},
		{"no accounts, with a key", "/unsafe/", "g1", nil, false, 200, "false", "0"},
		{"key of an account", "/unsafe/", "g1", both, false, 200, "true guild", "3"},
		{"key of another account", "/unsafe/", "s1", both, false, 200, "true school", "0"},
		{"no key", "/unsafe/", "", both, false, 401, "", ""},
		{"unknown key", "/unsafe/", "g2", both, false, 401, "", ""},
		{"withdrawn key", "/unsafe/", "g1", &account.List{Accounts: accounts, Keys: []account.Key{school}}, false, 401, "", ""},
		{"list without accounts", "/unsafe/", "g1", &account.List{}, false, 401, "", ""},
		{"public route, no key", "/safe/", "", both, false, 200, "true", "0"},
		{"public route, unknown key", "/safe/", "g2", both, false, 200, "true", "0"},
		{"public route, key of an account", "/safe/", "g1", both, false, 200, "true guild", "3"},
		{"cut off", "/unsafe/", "g1", both, true, 503, "", ""},
		{"cut off, unknown key", "/unsafe/", "g2", both, true, 503, "", ""},
		{"cut off, public route", "/safe/", "", both, true, 200, "true", "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			publishAccounts(forwarder, c.accounts)
			current.Store(!c.cutOff)
			before := backends[0].requestCount()
			resp, _, err := post(t, url, c.path, "the body", "T-Key", c.key)
			if err != nil || resp.status != c.status {
				t.Fatalf("status %d, error %v, want status %d", resp.status, err, c.status)
			}
			ran := backends[0].requestCount() > before
			if ran != (c.status == http.StatusOK) {
				t.Fatalf("the request ran: %v", ran)
			}
			if !ran {
				return
			}
			got := backends[0].requests[before].Header
			if got.Get("T-Account") != c.account || got.Get("T-Priority") != c.priority {
				t.Errorf("the server is told account %q and priority %s, want %q and %s", got.Get("T-Account"), got.Get("T-Priority"), c.account, c.priority)
			}
		})
	}
}
