package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
)

const (
	// proposeTimeout bounds one try. A leader that froze answers nothing, and by
	// then another one can have been elected.
	proposeTimeout = 2 * time.Second
	// proposeLimit applies if the caller sets no deadline.
	proposeLimit = 10 * time.Second
	// proposeDelay separates tries while no leader is known.
	proposeDelay = 50 * time.Millisecond
)

// Directory resolves hosts.
type Directory interface {
	// ControlHosts returns the peer addresses of control hosts, by host name.
	ControlHosts() map[string]string
}

// Forwarder commits commands through the leader. It implements control.Log and
// is safe for concurrent use.
type Forwarder struct {
	// Self is this host's name.
	self      string
	local     Group
	client    *Client
	directory Directory

	mu     sync.Mutex
	leader string
	next   int
}

// NewForwarder returns a forwarder. Local is nil without the control role.
func NewForwarder(self string, local Group, client *Client, d Directory) *Forwarder {
	return &Forwarder{self: self, local: local, client: client, directory: d}
}

// Propose commits c. A command whose outcome is unknown is sent again only if
// that is safe; otherwise the error is *control.OutcomeUnknownError. The other
// errors mean that the command was not appended.
func (f *Forwarder) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	unknown := false
	for try := 1; ; try++ {
		res, err := f.try(ctx, c)
		if err == nil {
			return res, nil
		}
		unknown = unknown || mayBeAppended(err)
		if unknown && !resendable(c) {
			return res, &control.OutcomeUnknownError{Reason: err.Error()}
		}
		var m *MessageError
		if errors.As(err, &m) {
			return res, err
		}
		select {
		case <-ctx.Done():
			if unknown {
				return res, &control.OutcomeUnknownError{Reason: err.Error()}
			}
			return res, &NoLeaderError{Tried: try, Last: err}
		case <-time.After(proposeDelay):
		}
	}
}

// mayBeAppended reports whether a failed try may have appended the command.
func mayBeAppended(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Delivery == MaybeSent
	}
	var notLeader *control.NotLeaderError
	var message *MessageError
	return !errors.As(err, &notLeader) && !errors.As(err, &message)
}

// resendable reports whether applying c twice has the effect of applying it
// once. Loads, unloads, claims and trials open something anew, and their
// second answer would differ from the first.
func resendable(c state.Command) bool {
	return c.Load == nil && c.Unload == nil && c.Claim == nil && c.Trial == nil
}

// try sends c to the host that is believed to lead.
func (f *Forwarder) try(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	host, address := f.target()
	var res state.Result
	var err error
	switch {
	case host == f.self && f.local != nil:
		res, err = f.local.Propose(ctx, c)
	case address == "":
		err = &control.NotLeaderError{}
	default:
		res, err = f.client.propose(ctx, address, c)
	}
	f.learn(host, err)
	return res, err
}

// target returns the believed leader, or the control hosts in turn.
func (f *Forwarder) target() (host, address string) {
	hosts := f.directory.ControlHosts()
	if f.local != nil {
		hosts[f.self] = ""
		if s := f.local.Status(); s.Leader != "" {
			f.setLeader(s.Leader)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := hosts[f.leader]; ok {
		return f.leader, a
	}
	if len(hosts) == 0 {
		return "", ""
	}
	names := make([]string, 0, len(hosts))
	for name := range hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	f.next++
	host = names[f.next%len(names)]
	return host, hosts[host]
}

func (f *Forwarder) setLeader(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = host
}

// learn notes what a try showed about the leader.
func (f *Forwarder) learn(host string, err error) {
	if err == nil {
		f.setLeader(host)
		return
	}
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != host {
		f.setLeader(notLeader.Leader)
		return
	}
	f.setLeader("")
}

// Leader returns the host that is believed to lead and its peer address, which
// is empty if it is this host.
func (f *Forwarder) Leader() (host, address string) { return f.target() }

// Demand reports to the leader. It returns nothing if this host leads or no
// leader is known.
func (f *Forwarder) Demand(ctx context.Context, r DemandReport) ([]Prediction, error) {
	host, address := f.target()
	if address == "" {
		return nil, &control.NotLeaderError{Leader: host}
	}
	predictions, err := f.client.Demand(ctx, address, r)
	f.learn(host, err)
	return predictions, err
}
