package control

import (
	"context"
	"errors"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Group runs this host's member of the replicated log and applies committed
// entries to the replica.
type Group struct{}

var errNotBuilt = errors.New("control: group is not built yet")

// OpenGroup opens the data folder and recovers the member's state.
func OpenGroup(Options) (*Group, error) { return nil, errNotBuilt }

// Run drives the member until ctx ends or the data folder fails.
func (g *Group) Run(context.Context) error { return errNotBuilt }

// Propose commits c and returns its result. On a host that does not lead it
// returns *NotLeaderError.
func (g *Group) Propose(context.Context, state.Command) (state.Result, error) {
	return state.Result{}, errNotBuilt
}

// Step hands over a message from another member. It does not block.
func (g *Group) Step(consensus.Message) {}

// Status returns the current view.
func (g *Group) Status() Status { return Status{} }

// CheckLease reports whether this host leads and holds a valid lease now.
func (g *Group) CheckLease() bool { return false }

// Follow sends every committed entry above index from, preceded by a snapshot
// if the entries are no longer kept, until ctx ends or send fails.
func (g *Group) Follow(_ context.Context, _ uint64, _ func(Update) error) error { return errNotBuilt }

// TransferLeader hands leadership to the most caught-up voter.
func (g *Group) TransferLeader(context.Context) error { return errNotBuilt }

// AddLearner adds a member without a vote.
func (g *Group) AddLearner(context.Context, consensus.Member) error { return errNotBuilt }

// Promote gives a caught-up learner a vote.
func (g *Group) Promote(context.Context, uint64) error { return errNotBuilt }

// Remove removes a voter or learner.
func (g *Group) Remove(context.Context, uint64) error { return errNotBuilt }
