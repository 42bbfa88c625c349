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
	// attemptTimeout is the longest duration of one attempt. A frozen leader does
	// not answer; the others can elect a new one within this time.
	attemptTimeout = 2 * time.Second
	// proposalTimeout is the longest duration of all attempts together. It applies
	// if the context has no earlier deadline.
	proposalTimeout = 10 * time.Second
	// attemptDelay is the pause between attempts, for example while no leader is
	// known.
	attemptDelay = 50 * time.Millisecond
)

// Directory lists hosts and their addresses.
type Directory interface {
	// ControlHosts returns the peer addresses of the control hosts by host name.
	// The caller may modify the map.
	ControlHosts() map[string]string
}

// Proposer sends commands to the leader of the replicated log, which commits
// them. It implements control.Log and is safe for concurrent use.
type Proposer struct {
	// self is this host's name.
	self string
	// localMember is this host's member of the replicated log; nil without the
	// control role.
	localMember LogMember
	client      *Client
	directory   Directory

	mu sync.Mutex
	// leader is the name of the host that is believed to lead; empty if unknown.
	leader string
	// turn counts the hosts that were chosen in turn while no leader was known.
	turn int
}

// NewProposer returns a forwarder for the host named self. localMember is the
// host's own member of the replicated log, and nil without the control role.
func NewProposer(self string, localMember LogMember, client *Client, d Directory) *Proposer {
	return &Proposer{self: self, localMember: localMember, client: client, directory: d}
}

// Propose commits c through the leader and returns its result. A command whose
// outcome is unknown is sent again only if that is safe; otherwise the error is
// *control.OutcomeUnknownError. Any other error means that the command was not
// appended to the log.
func (f *Proposer) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	outcomeUnknown := false
	for attempts := 1; ; attempts++ {
		res, err := f.attempt(ctx, c)
		if err == nil {
			return res, nil
		}
		outcomeUnknown = outcomeUnknown || mayBeAppended(err)
		if outcomeUnknown && !resendable(c) {
			return res, &control.OutcomeUnknownError{Reason: err.Error()}
		}
		var message *MessageError
		if errors.As(err, &message) {
			return res, err
		}
		select {
		case <-ctx.Done():
			if outcomeUnknown {
				return res, &control.OutcomeUnknownError{Reason: err.Error()}
			}
			return res, &NoLeaderError{Attempts: attempts, LastError: err}
		case <-time.After(attemptDelay):
		}
	}
}

// mayBeAppended reports whether the command may be in the log although the
// attempt failed with err.
func mayBeAppended(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Delivery == MaybeSent
	}
	var notLeader *control.NotLeaderError
	var message *MessageError
	return !errors.As(err, &notLeader) && !errors.As(err, &message)
}

// resendable reports whether c is idempotent. Loads, unloads, claims and trials
// are not: each application starts a new one, so that the result of the second
// differs from that of the first.
func resendable(c state.Command) bool {
	return c.Load == nil && c.Unload == nil && c.Claim == nil && c.Trial == nil
}

// attempt proposes c once, to the host that chooseHost returns.
func (f *Proposer) attempt(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	host, address := f.chooseHost()
	var res state.Result
	var err error
	switch {
	case host == f.self && f.localMember != nil:
		res, err = f.localMember.Propose(ctx, c)
	case address == "":
		err = &control.NotLeaderError{}
	default:
		res, err = f.client.propose(ctx, address, c)
	}
	f.updateLeader(host, err)
	return res, err
}

// chooseHost returns the host that is believed to lead and its peer address. If
// no leader is known, it returns the control hosts in turn. The address is empty
// for this host, and both results are empty if no control host is known.
func (f *Proposer) chooseHost() (host, address string) {
	hosts := f.directory.ControlHosts()
	if f.localMember != nil {
		hosts[f.self] = ""
		if status := f.localMember.Status(); status.Leader != "" {
			f.setLeader(status.Leader)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if address, ok := hosts[f.leader]; ok {
		return f.leader, address
	}
	if len(hosts) == 0 {
		return "", ""
	}
	names := make([]string, 0, len(hosts))
	for name := range hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	f.turn++
	host = names[f.turn%len(names)]
	return host, hosts[host]
}

func (f *Proposer) setLeader(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = host
}

// updateLeader records what a call to host shows about the leader: host leads if
// err is nil, the error names another leader, or the leader is unknown.
func (f *Proposer) updateLeader(host string, err error) {
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

// LikelyLeader returns the host that is believed to lead and its peer address, which
// is empty for this host. If no leader is known, it returns the control hosts in
// turn.
func (f *Proposer) LikelyLeader() (host, address string) { return f.chooseHost() }

// Demand sends a demand report to the leader and returns the leader's
// predictions. If this host leads, no control host is known, or the host that
// was called does not lead, the error is *control.NotLeaderError.
func (f *Proposer) Demand(ctx context.Context, r DemandReport) ([]Prediction, error) {
	host, address := f.chooseHost()
	if address == "" {
		return nil, &control.NotLeaderError{Leader: host}
	}
	predictions, err := f.client.Demand(ctx, address, r)
	f.updateLeader(host, err)
	return predictions, err
}
