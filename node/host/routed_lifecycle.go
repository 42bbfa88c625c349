package host

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// becomeReady marks this host as ready once it has caught up and a route table is
// published. A host that serves callers is then added to the address list.
func (h *RoutedHost) becomeReady(ctx context.Context) error {
	if !waitCaughtUp(ctx, h.members, h.follower) {
		return nil
	}
	h.ready.Store(true)
	if !h.waitPublished(ctx) {
		return nil
	}
	h.requestForwarder.Refresh()
	if h.opts.CallerListenAddress != "" {
		h.members.setReady(true)
	}
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "ready"})
	<-ctx.Done()
	return nil
}

// waitPublished blocks until a route table is published. It returns false if ctx
// ends first.
func (h *RoutedHost) waitPublished(ctx context.Context) bool {
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

// Ready reports whether this host has caught up and knows a published route table.
func (h *RoutedHost) Ready() bool {
	published := false
	h.replica.View(func(s *state.State) { published = s.Published != nil })
	return h.ready.Load() && published
}

// Accepting reports whether this host is ready, not leaving, and has room for further
// connections, so that callers should choose it.
func (h *RoutedHost) Accepting() bool {
	return h.Ready() && !h.leaving.Load() && !h.connections.Full()
}

// beginDeparture starts the departure of this host. Further calls have no effect.
func (h *RoutedHost) beginDeparture() { h.leaveOnce.Do(func() { close(h.leaveRequested) }) }

// runDeparture waits until ctx ends or a drain is requested, and then leaves. The
// host is removed from the address list and transfers its leadership. It accepts
// requests for as long as callers keep the list, then closes its listener and refuses
// further requests, and returns once none has arrived for departureQuietTime and those
// in progress have ended, or DepartureTimeout has passed. Requests that wait for a server
// are refused shortly before that. Connections stay open until
// then: closing an idle one could cut off a request that has just been read. A host
// without callers returns after leaveGossipPeriod. running ends when another
// component of the process ends; runDeparture then returns early.
func (h *RoutedHost) runDeparture(ctx, running context.Context, callers []net.Listener) error {
	if !waitDepartureStart(ctx, running, h.leaveRequested) {
		return nil
	}
	h.leaving.Store(true)
	h.members.leave()
	h.requestForwarder.DisableKeepAlives()
	h.requestForwarder.BeginDeparture(h.now() + h.opts.DepartureTimeout)
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "leaving"})
	if h.group != nil {
		transferLeader(running, h.group, h.opts.Settings.Host, routedTransferTimeout, h.logger)
	}
	if len(callers) == 0 {
		bootclock.Sleep(running, leaveGossipPeriod)
		return nil
	}
	if admit := h.opts.AdmitAfterLeave; admit > 0 {
		stopAdmission := time.AfterFunc(admit, h.requestForwarder.StopAdmission)
		defer stopAdmission.Stop()
	}
	if !bootclock.Sleep(running, h.opts.ServeAfterLeave) {
		return nil
	}
	h.requestForwarder.StopAdmission()
	remaining := h.opts.DepartureTimeout - h.opts.ServeAfterLeave
	departureCtx, cancel := context.WithTimeout(running, remaining)
	defer cancel()
	stopWaiting := time.AfterFunc(remaining-refuseWaitingMargin, h.requestForwarder.StopWaiting)
	defer stopWaiting.Stop()
	for _, l := range callers {
		if err := l.Close(); err != nil {
			h.logger.WithError(err).Warn("cannot close the listener for callers")
		}
	}
	if !h.requestForwarder.WaitIdle(departureCtx, departureQuietTime) {
		h.logger.WithField("requests", h.requestForwarder.InFlight()).Warn("requests were still in progress when the departure timed out")
	}
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "left"})
	return nil
}

// departureQuietTime is the time without a request after which a leaving host closes
// the connections of its callers. It covers a request that a caller sent before it
// received the answer that announces the close.
const departureQuietTime = 100 * time.Millisecond

// refuseWaitingMargin is how long before the end of DepartureTimeout the requests that still
// wait for a server are refused. It leaves the time to write the refusals: at the end of the
// departure, requests are cut off without an answer.
const refuseWaitingMargin = 500 * time.Millisecond

// routedTransferTimeout bounds a transfer of leadership. It is part of
// DepartureTimeout.
const routedTransferTimeout = time.Second

// leaveGossipPeriod is how long a leaving control host runs on, so that its
// messages about the departure are sent.
const leaveGossipPeriod = 300 * time.Millisecond

// SetSeeds replaces the control hosts that this host contacts when it knows no
// other host.
func (h *RoutedHost) SetSeeds(seeds []settings.Peer) {
	h.members.setSeeds(seeds)
	if h.group != nil {
		h.group.SetSeeds(controlMembers(seeds))
	}
	h.decisions.RecordStateChange(decision.EventSettings, decision.Fields{decision.FieldOutcome: "seeds replaced"})
}

// maxPatchAttempts is how often a route table is proposed as a patch before it is proposed
// whole. A patch is refused if another publication was committed first.
const maxPatchAttempts = 3

// maxPatchWait is the longest wait for the publication because of which a patch was refused.
// This host's copy of the log may be behind for longer, for example while its disk stalls; the
// table is then proposed whole, within the time for which an operator waits.
const maxPatchWait = 200 * time.Millisecond

// Publish commits a route table. It returns nil once the table is durable, even
// if a higher version is already in force.
func (h *RoutedHost) Publish(ctx context.Context, t route.Table, source []byte) error {
	begun := h.now()
	f := decision.Fields{decision.FieldVersion: t.Version, decision.FieldBytes: len(source), decision.FieldOutcome: "committed"}
	res, err := h.proposeTable(ctx, t, source)
	if err == nil {
		err = res.Err()
	}
	var tooLarge *state.SizeError
	if errors.As(err, &tooLarge) {
		err = &TableSizeError{tooLarge}
	}
	if err != nil {
		f[decision.FieldOutcome] = err.Error()
	}
	f[decision.FieldIndex] = res.Index
	f[decision.FieldTookMS] = (h.now() - begun).Milliseconds()
	h.decisions.RecordStateChange(decision.EventPublish, f)
	return err
}

// proposeTable proposes a route table as a patch to the current one, or whole if other
// publications are committed first again and again or this host does not know them.
func (h *RoutedHost) proposeTable(ctx context.Context, t route.Table, source []byte) (state.Result, error) {
	for attempt := 1; ; attempt++ {
		var current *state.Publish
		if attempt <= maxPatchAttempts {
			h.replica.View(func(s *state.State) { current = s.Published })
		}
		publish := state.NewPublish(current, t, source)
		res, err := h.leaderClient.Propose(ctx, state.Command{UnixMS: time.Now().UnixMilli(), Publish: &publish})
		if err != nil || publish.Patch == nil || res.Rejection == nil || res.Rejection.Code != state.CodeVersionConflict {
			return res, err
		}
		if h.waitIndex(ctx, res.Index, maxPatchWait) != nil {
			if ctx.Err() != nil {
				return res, ctx.Err()
			}
			attempt = maxPatchAttempts
		}
	}
}

// waitIndex waits for at most timeout until the command at index has been applied here.
func (h *RoutedHost) waitIndex(ctx context.Context, index uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.replica.WaitIndex(ctx, index)
}

// TableSizeError reports a route table that is too large to be published.
type TableSizeError struct{ Err error }

func (e *TableSizeError) Error() string {
	return "host: the route table is too large: " + e.Err.Error()
}

// Unwrap returns the error with the size.
func (e *TableSizeError) Unwrap() error { return e.Err }

// ErrNothingPublished reports that no route table has been published yet.
var ErrNothingPublished = errors.New("host: no route table has been published yet")

// ErrNoDocument reports that this host has no control role and keeps no documents of operators.
var ErrNoDocument = errors.New("host: only hosts with the control role keep the published document")

// Published returns the source document of the newest route table. It first commits
// an empty command and waits until the command is applied here, so that the result
// includes every table that was committed before the call.
func (h *RoutedHost) Published(ctx context.Context) ([]byte, error) {
	if h.group == nil {
		return nil, ErrNoDocument
	}
	res, err := h.leaderClient.Propose(ctx, state.Command{})
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

// RecordAnnouncement merges the announcement of a backend server into the
// membership table.
func (h *RoutedHost) RecordAnnouncement(s membership.Server) {
	h.members.announce(s)
	if s.Leaving {
		h.decisions.RecordStateChange(decision.EventServer, decision.Fields{decision.FieldServer: s.Name, decision.FieldOutcome: "leaving"})
	}
}

// RecordLeaveNotice records that a backend server has sent a leave notice and will
// not return. Later announcements of the same process have no effect.
func (h *RoutedHost) RecordLeaveNotice(name string) {
	for _, s := range h.members.Servers() {
		if s.Name == name {
			h.RecordAnnouncement(finalAnnouncement(s.Server))
		}
	}
}

// Addresses lists the hosts that serve callers, those of dataCentre first.
func (h *RoutedHost) Addresses(dataCentre string) []membership.Address {
	return h.members.addresses(dataCentre)
}

// AnnounceAddress returns the address to which a backend server of a data centre
// should send its announcements: the caller address of a control host in the same
// data centre, or an empty string if no such host is available.
func (h *RoutedHost) AnnounceAddress(dataCentre string) string {
	hosts := h.members.hosts()
	i := slices.IndexFunc(hosts, func(x membership.HostStatus) bool {
		return x.Control && !x.Silent && !x.Leaving && x.DataCentre == dataCentre
	})
	if i < 0 {
		return ""
	}
	return hosts[i].CallerAddress
}
