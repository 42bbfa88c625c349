package host

import (
	"context"
	"slices"

	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// controlStatus converts the status of a member. A member that knows a leader has
// received a message from it within the election timeout, so there is a quorum.
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

// instrument is a metric whose value is read when metrics are collected.
type instrument struct {
	name, unit, description string
	read                    func() int64
}

// createMetrics creates the metrics of this host.
func (h *Host) createMetrics() error {
	var err error
	if h.metrics, h.adminMetrics, err = newHostMetrics(h.logger, noticeReporter{h.entry, h.permitServer}, h.replica); err != nil {
		return err
	}
	return createInstruments(h.metrics.Meter(), append(h.counters(), connectionCounters(h.connections)...),
		slices.Concat(h.gauges(), connectionGauges(h.connections, h.memory), controlGauges(h.group)))
}

func (h *Host) counters() []instrument {
	return []instrument{
		{"pollenwheel.peer.sent", "By", "Bytes of messages sent to other hosts.", h.traffic.Sent},
		{"pollenwheel.peer.received", "By", "Bytes of messages received from other hosts.", h.traffic.Received},
		{"pollenwheel.peer.calls", "{call}", "Calls to and from other hosts.", h.traffic.Calls},
		{"pollenwheel.gossip.dropped", "{message}", "Membership messages dropped because a host did not answer.", h.members.dropped.Load},
		{"pollenwheel.follow.ended", "{stream}", "Streams from a control host that ended.", h.follower.EndedStreams},
	}
}

func (h *Host) gauges() []instrument {
	return []instrument{
		{"pollenwheel.hosts.heard", "{host}", "Hosts that are heard from.", h.heardHosts},
		{"pollenwheel.servers.known", "{server}", "Backend servers that are known.", func() int64 { return int64(len(h.members.Servers())) }},
		{"pollenwheel.follow.behind", "{entry}", "Log entries that are known to be committed and not applied.", h.entriesBehind},
		{"pollenwheel.applied.index", "{entry}", "Last applied log entry.", func() int64 {
			return int64(h.view(func(s *state.State) uint64 { return s.Index }))
		}},
		{"pollenwheel.configuration.version", "{version}", "Configuration in force.", func() int64 {
			return int64(h.view(func(s *state.State) uint64 { return s.Config.Version }))
		}},
	}
}

// controlGauges returns the gauges of this host's member of the replicated log, or none without one.
func controlGauges(g group) []instrument {
	if g == nil {
		return nil
	}
	return []instrument{
		{"pollenwheel.control.voters", "{host}", "Voters of the consensus group, as this host knows them.", func() int64 { return voterCount(g.Status()) }},
		{"pollenwheel.control.waiting", "{host}", "1 while this host waits to become a member of the consensus group.", func() int64 {
			if isMember(g.Status()) {
				return 0
			}
			return 1
		}},
		{"pollenwheel.control.offers", "{host}", "Hosts that wait to become members of the consensus group; the leader only.", func() int64 {
			return int64(len(g.Status().Offers))
		}},
		{"pollenwheel.control.tolerated", "{host}", "Further voters that may be lost while the leader keeps a quorum; the leader only.", func() int64 {
			return int64(g.Status().Tolerated)
		}},
	}
}

func voterCount(s control.Status) int64 {
	n := int64(0)
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// isMember reports whether the host is a voter or learner.
func isMember(s control.Status) bool {
	return slices.ContainsFunc(s.Members, func(m control.MemberStatus) bool { return m.ID == s.MemberID })
}

// createInstruments creates counters and gauges.
func createInstruments(meter metric.Meter, counters, gauges []instrument) error {
	for _, i := range counters {
		if _, err := meter.Int64ObservableCounter(i.name, metric.WithUnit(i.unit),
			metric.WithDescription(i.description), metric.WithInt64Callback(observe(i.read))); err != nil {
			return &telemetry.Error{Part: i.name, Err: err}
		}
	}
	for _, i := range gauges {
		if _, err := meter.Int64ObservableGauge(i.name, metric.WithUnit(i.unit),
			metric.WithDescription(i.description), metric.WithInt64Callback(observe(i.read))); err != nil {
			return &telemetry.Error{Part: i.name, Err: err}
		}
	}
	return nil
}

// entriesBehind returns the number of committed log entries that are known and not applied.
func (h *Host) entriesBehind() int64 { return int64(h.follower.Behind()) }

// observe returns a callback that observes the value of read.
func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}

// heardHosts returns the number of hosts that are not silent.
func (h *Host) heardHosts() int64 {
	n := int64(0)
	for _, x := range h.members.hosts() {
		if !x.Silent {
			n++
		}
	}
	return n
}

// view returns a value of the replicated state.
func (h *Host) view(f func(*state.State) uint64) (out uint64) {
	h.replica.View(func(s *state.State) { out = f(s) })
	return out
}
