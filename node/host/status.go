package host

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// controlStatus translates the status of a member. A member that knows a leader
// heard from it within the election timeout.
func controlStatus(s control.Status) admin.ControlStatus {
	out := admin.ControlStatus{Leader: s.Leader, Term: s.Term, Quorum: s.Leader != "", Voters: []string{}}
	for _, m := range s.Members {
		if m.Voter {
			out.Voters = append(out.Voters, m.Host)
		} else {
			out.Learners = append(out.Learners, m.Host)
		}
	}
	return out
}

// measure registers the instruments of this host.
func (h *Host) measure() error {
	var err error
	if h.metrics, err = telemetry.NewMetrics(h.logger); err != nil {
		return err
	}
	meter := h.metrics.Meter()
	counters := map[string]func() int64{
		"pollenwheel_peer_sent_bytes":      h.traffic.Sent,
		"pollenwheel_peer_received_bytes":  h.traffic.Received,
		"pollenwheel_peer_calls":           h.traffic.Calls,
		"pollenwheel_gossip_dropped":       h.members.dropped.Load,
		"pollenwheel_follow_streams_ended": h.follower.Failovers,
	}
	for name, read := range counters {
		if _, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe(read))); err != nil {
			return &telemetry.Error{Part: name, Err: err}
		}
	}
	gauges := map[string]func() int64{
		"pollenwheel_hosts_heard":           h.hostsHeard,
		"pollenwheel_servers_known":         func() int64 { return int64(len(h.members.Servers())) },
		"pollenwheel_applied_index":         func() int64 { return int64(h.view(func(s *state.State) uint64 { return s.Index })) },
		"pollenwheel_configuration_version": func() int64 { return int64(h.view(func(s *state.State) uint64 { return s.Config.Version })) },
	}
	for name, read := range gauges {
		if _, err := meter.Int64ObservableGauge(name, metric.WithInt64Callback(observe(read))); err != nil {
			return &telemetry.Error{Part: name, Err: err}
		}
	}
	return nil
}

func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}

func (h *Host) hostsHeard() int64 {
	n := int64(0)
	for _, x := range h.members.hosts() {
		if !x.Silent {
			n++
		}
	}
	return n
}

func (h *Host) view(f func(*state.State) uint64) (out uint64) {
	h.replica.View(func(s *state.State) { out = f(s) })
	return out
}
