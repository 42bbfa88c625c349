package control

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// request runs do on the node in the driver's goroutine. do returns the index
// and term of the appended entry, or index zero if nothing was appended.
type request struct {
	do    func() (index, term uint64, err error)
	reply chan answer
}

type answer struct {
	result state.Result
	err    error
}

// waiter waits for the entry of one term at one index.
type waiter struct {
	term  uint64
	reply chan answer
}

// handle carries out a request in the driver.
func (g *Group) handle(r request) {
	index, term, err := r.do()
	if err != nil || index == 0 {
		r.reply <- answer{err: g.translate(err)}
		return
	}
	g.waiting[index] = waiter{term, r.reply}
}

// settle answers the waiter of an applied entry. An entry of another term took
// the place of the waiter's, which can then never be committed.
func (g *Group) settle(e consensus.Entry, result state.Result) {
	w, ok := g.waiting[e.Index]
	if !ok {
		return
	}
	delete(g.waiting, e.Index)
	if w.term == e.Term {
		w.reply <- answer{result: result}
		return
	}
	w.reply <- answer{err: g.notLeader(g.node.Status().Leader)}
}

func (g *Group) failWaiting(reason string) {
	for _, w := range g.waiting {
		w.reply <- answer{err: &OutcomeUnknownError{Reason: reason}}
	}
	clear(g.waiting)
}

// translate turns the errors of the core into this package's.
func (g *Group) translate(err error) error {
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		return g.notLeader(notLeader.Leader)
	}
	if err != nil {
		return &MemberError{Err: err}
	}
	return nil
}

func (g *Group) notLeader(id uint64) error {
	m, _ := g.directory.lookup(id, g.node.Status().Membership)
	if id == g.directory.self.ID {
		m.Host = ""
	}
	return &NotLeaderError{Leader: m.Host}
}

// submit runs do in the driver and waits for its entry to be applied.
func (g *Group) submit(ctx context.Context, do func() (index, term uint64, err error)) (state.Result, error) {
	r := request{do: do, reply: make(chan answer, 1)}
	select {
	case g.requests <- r:
	case <-ctx.Done():
		return state.Result{}, ctx.Err()
	case <-g.done:
		return state.Result{}, &NotLeaderError{}
	}
	select {
	case a := <-r.reply:
		return a.result, a.err
	case <-ctx.Done():
		return state.Result{}, &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// Propose commits c and returns its result. On a host that does not lead it
// returns *NotLeaderError. If leadership is lost meanwhile it returns
// *OutcomeUnknownError, and the command may still be committed.
func (g *Group) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > MaxCommandBytes {
		return state.Result{}, &CommandSizeError{Bytes: len(data)}
	}
	return g.submit(ctx, func() (uint64, uint64, error) {
		if g.transferring > 0 {
			return 0, 0, &consensus.NotLeaderError{}
		}
		return g.node.Propose(data)
	})
}

func (g *Group) change(ctx context.Context, do func() (index, term uint64, err error)) error {
	_, err := g.submit(ctx, do)
	return err
}

// AddLearner adds a member without a vote.
func (g *Group) AddLearner(ctx context.Context, m consensus.Member) error {
	return g.change(ctx, func() (uint64, uint64, error) { return g.node.AddLearner(m) })
}

// Promote gives a caught-up learner a vote.
func (g *Group) Promote(ctx context.Context, id uint64) error {
	return g.change(ctx, func() (uint64, uint64, error) { return g.node.Promote(id) })
}

// Remove removes a voter or learner other than the leader.
func (g *Group) Remove(ctx context.Context, id uint64) error {
	return g.change(ctx, func() (uint64, uint64, error) { return g.node.Remove(id) })
}

// TransferLeader hands leadership to the most caught-up voter and returns once
// another host leads. New proposals are refused meanwhile, so that the other
// voters can catch up. It returns at once on a host that does not lead.
func (g *Group) TransferLeader(ctx context.Context) error {
	if err := g.change(ctx, func() (uint64, uint64, error) { g.transferring++; return 0, 0, nil }); err != nil {
		return err
	}
	defer func() {
		_ = g.change(context.WithoutCancel(ctx), func() (uint64, uint64, error) { g.transferring--; return 0, 0, nil })
	}()
	poll := time.NewTicker(g.opts.HeartbeatInterval / 4)
	defer poll.Stop()
	for {
		err := g.change(ctx, func() (uint64, uint64, error) { return 0, 0, g.node.Transfer(g.now()) })
		if errors.As(err, new(*NotLeaderError)) {
			return g.waitLeader(ctx)
		}
		var member *MemberError
		if err != nil && !errors.As(err, &member) || member != nil && g.voters() < 2 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
}

// waitLeader blocks until a leader is known, for at most two election timeouts.
func (g *Group) waitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*g.opts.ElectionTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		known, changed := g.status.Leader != "", g.changed
		g.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (g *Group) voters() int {
	count := 0
	for _, m := range g.Status().Members {
		if m.Voter {
			count++
		}
	}
	return count
}
