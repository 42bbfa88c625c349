package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/entry"
)

// burnTimeout bounds the wait for the request counts of the other hosts.
const burnTimeout = 2 * time.Second

// callerFaults holds the refusal codes that do not count against any objective,
// since the caller is responsible for them.
var callerFaults = map[string]bool{
	"bad_request": true, "unknown_model": true, "unknown_service": true, "canceled": true, "quarantined": true,
	string(state.CodeKeyExpired): true, string(state.CodeKeyReused): true,
}

// burnCounter counts which of this host's requests meet or miss the objectives.
type burnCounter struct {
	host *Host

	mu       sync.Mutex
	recorder *burn.Recorder
	version  uint64
}

func newBurnCounter(h *Host) *burnCounter {
	return &burnCounter{host: h, recorder: burn.NewRecorder()}
}

// refresh applies the objectives of the configuration in force. The caller holds
// the lock.
func (b *burnCounter) refresh() {
	var objectives []config.Objective
	var version uint64
	b.host.replica.View(func(s *state.State) { objectives, version = s.Config.Objectives, s.Config.Version })
	if version != b.version {
		b.version = version
		b.recorder.SetObjectives(objectives)
	}
}

// observe counts one finished request.
func (b *burnCounter) observe(o entry.Observation) {
	if callerFaults[o.Code] {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	b.recorder.Record(b.host.now(), burn.Event{Service: o.Service, OK: o.Code == "", Cold: o.ColdStart, FirstToken: o.TimeToFirstByte})
}

// snapshot returns this host's request counts.
func (b *burnCounter) snapshot() burn.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	return b.recorder.Snapshot(b.host.now())
}

// CollectBurn merges the request counts of all hosts that answer within burnTimeout,
// and lists the hosts that do not.
func (b *burnCounter) CollectBurn(ctx context.Context) admin.BurnCounts {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	h := b.host
	type answer struct {
		host     string
		snapshot burn.Snapshot
		err      error
	}
	hosts := h.members.hosts()
	answers := make(chan answer, len(hosts))
	for _, x := range hosts {
		go func() {
			if x.Name == h.settings.Host {
				answers <- answer{x.Name, b.snapshot(), nil}
				return
			}
			s, err := h.peers.Burn(ctx, x.PeerAddress)
			answers <- answer{x.Name, s, err}
		}()
	}
	var out admin.BurnCounts
	var all []burn.Snapshot
	for range hosts {
		a := <-answers
		if a.err != nil {
			out.Missing = append(out.Missing, a.host)
			continue
		}
		out.Hosts = append(out.Hosts, a.host)
		all = append(all, a.snapshot)
	}
	slices.Sort(out.Hosts)
	slices.Sort(out.Missing)
	out.Snapshot = burn.Merge(all...)
	return out
}
