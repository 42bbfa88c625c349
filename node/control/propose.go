package control

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// submission holds a function that Run calls in its goroutine, which owns the node.
// The function returns the index and term of the entry that it appended, or index
// zero if it appended none.
type submission struct {
	do    func() (index, term uint64, err error)
	reply chan answer
}

// answer is the result of a submission.
type answer struct {
	result state.Result
	err    error
}

// waiter waits until the entry of one term at one index is applied.
type waiter struct {
	term  uint64
	reply chan answer
}

// handleSubmission runs a submission. It answers at once if no entry was appended, and
// otherwise when the entry is applied.
func (g *Group) handleSubmission(s submission) {
	index, term, err := s.do()
	if err != nil || index == 0 {
		s.reply <- answer{err: g.translateError(err)}
		return
	}
	if replaced, ok := g.waiters[index]; ok {
		// Another leader removed that entry from this log. It may still be in others.
		replaced.reply <- answer{err: &OutcomeUnknownError{Reason: "another leader replaced the entry"}}
	}
	g.waiters[index] = waiter{term, s.reply}
}

// answerWaiter answers the waiter of an applied entry. If the applied entry has
// another term, it has replaced the waiter's entry, which can then never be
// committed.
func (g *Group) answerWaiter(e consensus.Entry, result state.Result) {
	w, ok := g.waiters[e.Index]
	if !ok {
		return
	}
	delete(g.waiters, e.Index)
	if w.term == e.Term {
		w.reply <- answer{result: result}
		return
	}
	w.reply <- answer{err: g.notLeaderError(g.node.Status().Leader)}
}

// failWaiters answers all waiters with an OutcomeUnknownError.
func (g *Group) failWaiters(reason string) {
	for _, w := range g.waiters {
		w.reply <- answer{err: &OutcomeUnknownError{Reason: reason}}
	}
	clear(g.waiters)
}

// translateError converts errors of the consensus package into errors of this
// package.
func (g *Group) translateError(err error) error {
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		return g.notLeaderError(notLeader.Leader)
	}
	if err != nil {
		return &MembershipError{Err: err}
	}
	return nil
}

// notLeaderError returns a NotLeaderError that names the host of the leader with
// the given ID. If the ID is this host's own, the error names no leader.
func (g *Group) notLeaderError(id uint64) error {
	m, _ := g.directory.Lookup(id, g.node.Status().Membership)
	if id == g.self.ID {
		m.Host = ""
	}
	return &NotLeaderError{Leader: m.Host}
}

// submit runs do in the goroutine of Run and waits until its entry is applied.
func (g *Group) submit(ctx context.Context, do func() (index, term uint64, err error)) (state.Result, error) {
	s := submission{do: do, reply: make(chan answer, 1)}
	select {
	case g.submissions <- s:
	case <-ctx.Done():
		return state.Result{}, ctx.Err()
	case <-g.done:
		return state.Result{}, &NotLeaderError{}
	}
	select {
	case a := <-s.reply:
		return a.result, a.err
	case <-ctx.Done():
		return state.Result{}, &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// Propose commits c and returns its result. On a host that does not lead it
// returns *NotLeaderError. If leadership is lost or ctx ends while it waits, it
// returns *OutcomeUnknownError, and the command may still be committed.
func (g *Group) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(c)
	var tooLarge *state.SizeError
	if errors.As(err, &tooLarge) {
		return state.Result{}, &CommandSizeError{Err: tooLarge}
	}
	if err != nil {
		return state.Result{}, err
	}
	return g.submit(ctx, func() (uint64, uint64, error) {
		if g.transfersInProgress.Load() > 0 {
			return 0, 0, &consensus.NotLeaderError{}
		}
		return g.node.Propose(data)
	})
}

// submitWithoutResult submits do and returns only its error.
func (g *Group) submitWithoutResult(ctx context.Context, do func() (index, term uint64, err error)) error {
	_, err := g.submit(ctx, do)
	return err
}

// AddLearner adds m as a member without a vote.
func (g *Group) AddLearner(ctx context.Context, m consensus.Member) error {
	return g.submitWithoutResult(ctx, func() (uint64, uint64, error) { return g.node.AddLearner(m) })
}

// Promote gives a caught-up learner a vote.
func (g *Group) Promote(ctx context.Context, id uint64) error {
	return g.submitWithoutResult(ctx, func() (uint64, uint64, error) { return g.node.Promote(id) })
}

// Remove removes a voter or learner other than the leader.
func (g *Group) Remove(ctx context.Context, id uint64) error {
	return g.submitWithoutResult(ctx, func() (uint64, uint64, error) { return g.node.Remove(id) })
}

// TransferLeader transfers leadership to a responsive voter that holds the complete
// log, and returns once another host leads. Until then this host refuses new
// proposals, so that the other voters can catch up. On a host that does not lead, it
// returns as soon as it knows the leader, which is usually at once.
func (g *Group) TransferLeader(ctx context.Context) error {
	// This does not go through Run, which accepts nothing while the disk is full.
	g.transfersInProgress.Add(1)
	defer g.transfersInProgress.Add(-1)
	poll := time.NewTicker(g.opts.HeartbeatInterval / 4)
	defer poll.Stop()
	for {
		err := g.submitWithoutResult(ctx, func() (uint64, uint64, error) { return 0, 0, g.node.Transfer(g.now()) })
		if errors.As(err, new(*NotLeaderError)) {
			return g.waitForLeader(ctx)
		}
		var memberErr *MembershipError
		if err != nil && !errors.As(err, &memberErr) || memberErr != nil && g.voterCount() < 2 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
}

// waitForLeader waits until a leader is known, for at most two election timeouts.
func (g *Group) waitForLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*g.opts.ElectionTimeout)
	defer cancel()
	for {
		known, changed := g.knownLeader()
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

// voterCount returns the number of voters.
func (g *Group) voterCount() int {
	count := 0
	for _, m := range g.Status().Members {
		if m.Voter {
			count++
		}
	}
	return count
}
