package host

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// becomeReady publishes this host once it has caught up.
func (h *Routed) becomeReady(ctx context.Context) error {
	if !caughtUp(ctx, h.members, h.follower) {
		return nil
	}
	h.ready.Store(true)
	if !h.waitPublished(ctx) {
		return nil
	}
	h.gate.Refresh()
	if h.opts.Front != "" {
		h.members.setReady(true)
	}
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "ready"})
	<-ctx.Done()
	return nil
}

// waitPublished blocks until a route table is known. It returns false if ctx
// ended before.
func (h *Routed) waitPublished(ctx context.Context) bool {
	for {
		changed := h.replica.Changed()
		if h.Ready() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Ready reports whether this host serves callers.
func (h *Routed) Ready() bool {
	published := false
	h.replica.View(func(s *state.State) { published = s.Published != nil })
	return h.ready.Load() && published
}

// Accepting reports whether callers should choose this host.
func (h *Routed) Accepting() bool { return h.Ready() && !h.leaving.Load() }

// beginLeave starts the departure. Further calls have no effect.
func (h *Routed) beginLeave() { h.leftOnce.Do(func() { close(h.leave) }) }

// depart waits for the end of ctx or a drain and then leaves. The host drops
// out of the address list and hands over leadership. It takes requests for as
// long as callers keep the list, then closes its listener, and ends once the
// requests in progress have ended or the time is over.
func (h *Routed) depart(ctx, running context.Context, callers []*http.Server) error {
	if !awaitLeave(ctx, running, h.leave) {
		return nil
	}
	h.leaving.Store(true)
	h.members.leave()
	h.gate.DisableKeepAlives()
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "leaving"})
	if h.group != nil {
		transferLeader(running, h.group, h.opts.Settings.Host, routedTransferTimeout, h.logger)
	}
	if len(callers) == 0 {
		sleep(running, controlFarewell)
		return nil
	}
	if !sleep(running, h.opts.ServeAfterLeave) {
		return nil
	}
	h.gate.StopAdmission()
	end, cancel := context.WithTimeout(running, h.opts.LeaveWithin-h.opts.ServeAfterLeave)
	defer cancel()
	for _, s := range callers {
		if err := s.Shutdown(end); err != nil {
			h.logger.WithError(err).Warn("requests were in progress at the end of the departure")
		}
	}
	h.gate.WaitIdle(end)
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "left"})
	return nil
}

// routedTransferTimeout bounds a transfer of leadership within the grace period.
const routedTransferTimeout = time.Second

// controlFarewell lets the messages about a control host's departure leave.
const controlFarewell = 300 * time.Millisecond

// SetSeeds replaces the peer addresses to contact when no other host is known.
func (h *Routed) SetSeeds(seeds []string) {
	h.members.setSeeds(seeds)
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "seeds replaced"})
}

// Publish commits a route table. It returns once the table is durable, also if
// a higher version is in force.
func (h *Routed) Publish(ctx context.Context, t route.Table, source []byte) error {
	res, err := h.forward.Propose(ctx, state.Command{
		UnixMS: time.Now().UnixMilli(), Publish: &state.Publish{Table: t, Source: source},
	})
	f := decision.Fields{decision.FieldVersion: t.Version, decision.FieldOutcome: "committed"}
	if err != nil {
		f[decision.FieldOutcome] = err.Error()
	}
	h.decisions.RecordStateChange(decision.EventPublish, f)
	if err != nil {
		return err
	}
	return res.Err()
}

// ErrNothingPublished reports that no table was published yet.
var ErrNothingPublished = errors.New("host: nothing was published yet")

// Published returns the document of the newest table. It commits an empty
// command first, which proves that no newer table was committed before.
func (h *Routed) Published(ctx context.Context) ([]byte, error) {
	res, err := h.forward.Propose(ctx, state.Command{})
	if err != nil {
		return nil, err
	}
	if err := h.replica.WaitIndex(ctx, res.Index); err != nil {
		return nil, err
	}
	var source []byte
	h.replica.View(func(s *state.State) {
		if s.Published != nil {
			source = s.Published.Source
		}
	})
	if source == nil {
		return nil, ErrNothingPublished
	}
	return source, nil
}

// Announce merges the announcement of a backend server.
func (h *Routed) Announce(s membership.Server) {
	h.members.announce(s)
	if s.Leaving {
		h.decisions.RecordStateChange(decision.EventServer, decision.Fields{decision.FieldServer: s.Name, decision.FieldOutcome: "leaving"})
	}
}

// lastAnnouncement follows every announcement of a server process.
const lastAnnouncement = 1 << 62

// Farewell records that a backend server is leaving for good. Later
// announcements of the same process change nothing.
func (h *Routed) Farewell(name string) {
	for _, s := range h.members.Servers() {
		if s.Name == name {
			s.Leaving, s.Sequence = true, lastAnnouncement
			h.Announce(s.Server)
		}
	}
}

// Addresses lists the hosts that serve callers, those of dataCentre first.
func (h *Routed) Addresses(dataCentre string) []membership.Address {
	return h.members.addresses(dataCentre)
}

// AnnounceAddress returns where a backend server of a data centre should
// announce itself: at a control host of the same one, if there is one.
func (h *Routed) AnnounceAddress(dataCentre string) string {
	hosts := h.members.hosts()
	i := slices.IndexFunc(hosts, func(x membership.HostStatus) bool {
		return x.Control && !x.Silent && !x.Leaving && x.DataCentre == dataCentre
	})
	if i < 0 {
		return ""
	}
	return hosts[i].CallerAddress
}
