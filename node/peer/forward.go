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
	// attemptTimeout is the longest duration of one attempt. A leader that hangs
	// does not answer; the other members can elect a new one within this time.
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
	// turn is the number of hosts that were chosen while no leader was known; it
	// selects the next one in the order of their names.
	turn int
}

// NewProposer returns a proposer for the host named self. localMember is the
// host's own member of the replicated log; it is nil without the control role.
func NewProposer(self string, localMember LogMember, client *Client, d Directory) *Proposer {
	return &Proposer{self: self, localMember: localMember, client: client, directory: d}
}

// Propose commits c through the leader and returns its result. A command whose
// outcome is unknown is sent again only if that is safe; otherwise the error is
// *control.OutcomeUnknownError. Any other error means that the command was not
// appended to the log.
func (p *Proposer) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	outcomeUnknown := false
	for attempts := 1; ; attempts++ {
		res, err := p.attempt(ctx, c)
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
func (p *Proposer) attempt(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	host, address := p.chooseHost()
	var res state.Result
	var err error
	switch {
	case host == p.self && p.localMember != nil:
		res, err = p.localMember.Propose(ctx, c)
	case address == "":
		err = &control.NotLeaderError{}
	default:
		res, err = p.client.propose(ctx, address, c)
	}
	p.updateLeader(host, err)
	return res, err
}

// chooseHost returns the host that is believed to lead and its peer address. If
// no leader is known, it returns the control hosts in turn. The address is empty
// for this host, and both results are empty if no control host is known.
func (p *Proposer) chooseHost() (host, address string) {
	hosts := p.directory.ControlHosts()
	if p.localMember != nil {
		hosts[p.self] = ""
		if status := p.localMember.Status(); status.Leader != "" {
			p.setLeader(status.Leader)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if address, ok := hosts[p.leader]; ok {
		return p.leader, address
	}
	if len(hosts) == 0 {
		return "", ""
	}
	names := make([]string, 0, len(hosts))
	for name := range hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	p.turn++
	host = names[p.turn%len(names)]
	return host, hosts[host]
}

func (p *Proposer) setLeader(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = host
}

// updateLeader records what a call to host shows about the leader: host leads if
// err is nil, the error names another leader, or the leader is unknown.
func (p *Proposer) updateLeader(host string, err error) {
	if err == nil {
		p.setLeader(host)
		return
	}
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != host {
		p.setLeader(notLeader.Leader)
		return
	}
	p.setLeader("")
}

// LikelyLeader returns the host that is believed to lead and its peer address,
// which is empty for this host. If no leader is known, it returns the control
// hosts in turn.
func (p *Proposer) LikelyLeader() (host, address string) { return p.chooseHost() }

// Demand sends a demand report to the leader. If this host leads, no control host is known, or the host that
// was called does not lead, the error is *control.NotLeaderError.
func (p *Proposer) Demand(ctx context.Context, r DemandReport) (DemandReply, error) {
	host, address := p.chooseHost()
	if address == "" {
		return DemandReply{}, &control.NotLeaderError{Leader: host}
	}
	reply, err := p.client.Demand(ctx, address, r)
	p.updateLeader(host, err)
	return reply, err
}
