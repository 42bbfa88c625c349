package control

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

const (
	// helloTimeouts is the number of election timeouts between two hello messages to a host.
	helloTimeouts = 2
	// helloValidIntervals is the number of hello intervals for which a reply stays
	// valid when a group is founded.
	helloValidIntervals = 5
)

// helloInterval is the time between two hello messages to a host.
func (g *Group) helloInterval() time.Duration { return helloTimeouts * g.opts.ElectionTimeout }

// SetSeeds replaces the control hosts that this one contacts while it knows no others.
func (g *Group) SetSeeds(seeds []consensus.Member) { g.newSeeds.Store(&seeds) }

// takeSeeds takes over the seeds of the last SetSeeds.
func (g *Group) takeSeeds() {
	if seeds := g.newSeeds.Swap(nil); seeds != nil {
		g.directory.SetSeeds(*seeds)
		g.helloAt = 0
	}
}

// sendHellos sends this host's address to the other control hosts. The leader does
// so to keep the members' addresses up to date. A host that knows no leader or is
// not a member does so to be found and to be registered as a spare.
func (g *Group) sendHellos(n consensus.Status) {
	if g.helloAt > 0 && g.now()-g.helloAt < g.helloInterval() {
		return
	}
	if g.isMember(n.Membership) && n.Leader != 0 && n.Role != consensus.Leader {
		return
	}
	g.helloAt = g.now()
	for _, to := range g.directory.Targets(n.Membership) {
		g.sendHello(to, 0, n.Role == consensus.Leader)
	}
}

// isMember reports whether this host is a member, as far as it knows.
func (g *Group) isMember(m consensus.Membership) bool {
	_, member := m.Member(g.self.ID)
	return member
}

// sendHello sends this host's address to one host. A reply carries the ID of the
// member whose hello it answers.
func (g *Group) sendHello(to consensus.Member, answeredID uint64, reply bool) {
	g.opts.Transport.Send(to, []consensus.Message{{
		Kind: consensus.MessageHello, From: g.self.ID, To: answeredID, Hello: g.directory.Hello(g.joined, reply, g.node.Status().Membership),
	}})
}

// receiveHello records the sender of a hello message and the members that the
// sender knows. It replies unless the message is itself a reply, and offers the
// sender as a spare if it is not a member. A host that waits to become a member introduces
// itself at once to those that it learns of.
func (g *Group) receiveHello(m consensus.Message) {
	h := m.Hello
	if h == nil || h.Member.ID == 0 || h.Member.ID == g.self.ID {
		return
	}
	membership := g.node.Status().Membership
	if g.directory.Receive(g.now(), m.To, *h, membership) && !g.isMember(membership) {
		g.helloAt = 0
	}
	if !h.Reply {
		g.sendHello(h.Member, h.Member.ID, true)
	}
	if _, member := membership.Member(h.Member.ID); !member && len(membership.Voters) > 0 {
		g.node.OfferSpare(g.now(), h.Member)
	}
}

// foundGroup creates a new group on the first bootstrap host once all other
// bootstrap hosts have replied that they never belonged to a group. This keeps a
// host whose data folder was emptied from creating a second group beside the
// existing one.
func (g *Group) foundGroup() error {
	bootstrap := g.opts.Bootstrap
	if g.joined || g.opts.DisableFounding || len(bootstrap) == 0 || bootstrap[0].Host != g.self.Host || g.now() < max(g.opts.ElectionTimeout, g.foundAfter) {
		return nil
	}
	voters := []consensus.Member{g.self}
	for _, b := range bootstrap[1:] {
		c, ok := g.directory.Contact(b.Host)
		fresh := c.RepliedAt > 0 && g.now()-c.RepliedAt < helloValidIntervals*g.helloInterval()
		if !ok || c.Joined || !fresh {
			return nil
		}
		voters = append(voters, c.Member)
	}
	first := state.New()
	first.Index = 1
	data, err := first.Snapshot()
	if err != nil {
		return err
	}
	snapshot := consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Voters: voters}, Data: data}
	hard := consensus.HardState{Term: 1, Commit: 1}
	err = g.store.InitialiseGroup(snapshot, hard)
	g.setStorageError(err)
	if isOutOfSpace(err) {
		g.foundAfter = g.now() + fullDiskRetryInterval
		return nil
	}
	if err != nil {
		return err
	}
	g.joined = true
	g.logger.WithField("voters", len(voters)).Info("founded a consensus group")
	return g.recover(consensus.StoredState{HardState: hard, Snapshot: snapshot})
}
