package host

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/quota"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/quotas"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// newQuotaServer returns the server that grants credit from the quotas while this host leads.
func (h *RoutedHost) newQuotaServer() *quotas.Server {
	return quotas.NewServer(quotas.ServerOptions{
		Term: h.placer.leadingTerm, Leader: func() string { return h.group.Status().Leader },
		Reachable: h.reachableCallerHosts,
		Limits: func() (uint64, map[string]quota.Limit) {
			table := h.table()
			return table.Version, table.Accounts.Limits(h.opts.QuotaTolerance)
		},
		Version: func() uint64 { return h.table().Version }, Now: h.now,
	})
}

// reachableCallerHosts returns the share of the hosts that serve callers that are heard from.
func (h *RoutedHost) reachableCallerHosts() float64 {
	return reachableShare(slices.DeleteFunc(h.members.hosts(), func(x membership.HostStatus) bool { return x.Control }))
}

// quotaHandler returns the handler of a quota server, or nil without the control role.
func quotaHandler(s *quotas.Server) peer.QuotaHandler {
	if s == nil {
		return nil
	}
	return func(_ context.Context, r peer.QuotaRequest) ([]quota.Credit, error) {
		return s.Exchange(r.Host, r.Wants)
	}
}

// askQuotas returns the function that asks the leader for credit.
func askQuotas(p *peer.Proposer, local peer.QuotaHandler) quotas.Ask {
	return func(ctx context.Context, wants []quota.Want, timeout time.Duration) ([]quota.Credit, error) {
		return p.Quotas(ctx, wants, timeout, local)
	}
}

// createQuotaMetrics creates the metrics of the quotas. The leader has those of all hosts.
func (h *RoutedHost) createQuotaMetrics() error {
	const level = "pollenwheel.quota.level"
	if h.quotaServer == nil {
		return nil
	}
	if _, err := h.metrics.Meter().Float64ObservableGauge(level, metric.WithUnit("1"),
		metric.WithDescription("Part of an account's burst that this host, as the leader, can still grant."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			usage, _ := h.quotaServer.Usage()
			for _, u := range usage {
				o.Observe(u.Level/u.Limit.Burst, metric.WithAttributes(attribute.String("account", u.Account)))
			}
			return nil
		})); err != nil {
		return &telemetry.Error{Part: level, Err: err}
	}
	return nil
}

// quotaStatus returns the state of the quotas, by account, as this host knows it.
func (h *RoutedHost) quotaStatus(l *account.List) map[string]*admin.QuotaStatus {
	out := map[string]*admin.QuotaStatus{}
	for _, a := range l.Accounts {
		if q := a.Quota; q != nil {
			out[a.Name] = &admin.QuotaStatus{PerSecond: q.PerSecond, Burst: q.Burst, Tokens: q.Tokens}
		}
	}
	for _, p := range h.quotas.Purses() {
		if status := out[p.Account]; status != nil {
			status.Credit = p.Credit
		}
	}
	if h.quotaServer == nil {
		return out
	}
	usage, _ := h.quotaServer.Usage()
	for _, u := range usage {
		if status := out[u.Account]; status != nil {
			status.Level = &u.Level
		}
	}
	return out
}
