package host

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// recordLeaderReply records the leader's reply to a demand report that was sent at sentAt. If this
// host has applied what the leader had applied by then, its accounts were current at sentAt.
func (h *RoutedHost) recordLeaderReply(sentAt time.Duration, reply peer.DemandReply) {
	h.follower.RecordCommitted(reply.Applied, reply.Address)
	var applied uint64
	h.replica.View(func(s *state.State) { applied = s.Index })
	if reply.Applied > 0 && applied >= reply.Applied {
		h.accountsCurrentAt.Store(int64(sentAt))
	}
}

// accountsCurrent reports whether this host may rely on the accounts that it knows.
func (h *RoutedHost) accountsCurrent() bool {
	limit := h.opts.MaxAccountsAge
	return limit <= 0 || h.now()-time.Duration(h.accountsCurrentAt.Load()) <= limit
}

// Accounts returns the client accounts in force.
func (h *RoutedHost) Accounts() admin.AccountsAnswer {
	out := admin.AccountsAnswer{Host: h.opts.Settings.Host, Accounts: []admin.AccountStatus{}, Current: h.accountsCurrent()}
	table := h.table()
	out.Version = table.Version
	if table.Accounts == nil {
		return out
	}
	out.Required = true
	keys, quotas := table.Accounts.KeyCounts(), h.quotaStatus(table.Accounts)
	for _, a := range table.Accounts.Accounts {
		out.Accounts = append(out.Accounts, admin.AccountStatus{Name: a.Name, Keys: keys[a.Name], Priority: a.Priority, Quota: quotas[a.Name]})
	}
	return out
}

// table returns the route table in force, which must not be modified, or an empty one.
func (h *RoutedHost) table() route.Table {
	var out route.Table
	h.replica.View(func(s *state.State) {
		if s.Published != nil {
			out = s.Published.Table
		}
	})
	return out
}

// accountGauges returns the metrics of the client accounts.
func (h *RoutedHost) accountGauges() []instrument {
	return []instrument{
		{"pollenwheel.accounts", "{account}", "Client accounts in force.", func() int64 { return int64(len(h.Accounts().Accounts)) }},
		{"pollenwheel.account.keys", "{key}", "Keys of client accounts in force.", func() int64 {
			if accounts := h.table().Accounts; accounts != nil {
				return int64(len(accounts.Keys))
			}
			return 0
		}},
	}
}
