package control

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// helloLifetimes is how many intervals an answer counts when a group is founded.
const helloLifetimes = 5

// contact is another control host as it introduced itself.
type contact struct {
	member consensus.Member
	formed bool
	// answered is when it last answered this member's own introduction.
	answered time.Duration
}

// directory knows the addresses of control hosts, including those outside the
// membership.
type directory struct {
	self      consensus.Member
	joined    bool
	bootstrap []consensus.Member
	contacts  map[string]contact
	members   map[uint64]consensus.Member
	lastHello time.Duration
}

func newDirectory(self consensus.Member, joined bool, bootstrap []consensus.Member) *directory {
	return &directory{
		self: self, joined: joined, bootstrap: bootstrap,
		contacts: map[string]contact{}, members: map[uint64]consensus.Member{},
	}
}

// lookup finds a member's newest address.
func (d *directory) lookup(id uint64, m consensus.Membership) (consensus.Member, bool) {
	if known, ok := d.members[id]; ok {
		return known, true
	}
	return m.Member(id)
}

// targets lists the addresses to introduce this host to, one for each host.
func (d *directory) targets(m consensus.Membership) []consensus.Member {
	seen := map[string]bool{d.self.Host: true}
	var out []consensus.Member
	add := func(list []consensus.Member) {
		for _, x := range list {
			if known, ok := d.members[x.ID]; ok {
				x = known
			}
			if !seen[x.Host] && x.PeerAddress != "" {
				seen[x.Host] = true
				out = append(out, x)
			}
		}
	}
	for _, c := range d.contacts {
		add([]consensus.Member{c.member})
	}
	add(m.All())
	add(d.bootstrap)
	return out
}

// introduce sends this host's address around. The leader does so to keep the
// members' addresses known; a host without a leader or outside the membership
// does so to be found, and to be taken as a spare.
func (g *Group) introduce() {
	interval := 2 * g.opts.ElectionTimeout
	if g.now()-g.directory.lastHello < interval && g.directory.lastHello > 0 {
		return
	}
	n := g.node.Status()
	_, member := n.Membership.Member(g.directory.self.ID)
	if member && n.Leader != 0 && n.Role != consensus.Leader {
		return
	}
	g.directory.lastHello = g.now()
	for _, to := range g.directory.targets(n.Membership) {
		g.sendHello(to, 0, n.Role == consensus.Leader)
	}
}

// sendHello introduces this host. A reply carries the id it answers.
func (g *Group) sendHello(to consensus.Member, answered uint64, reply bool) {
	hello := &consensus.Hello{
		Member: g.directory.self, HasJoinedGroup: g.directory.joined, Reply: reply,
		Members: g.node.Status().Membership.All(),
	}
	g.opts.Transport.Send(to, []consensus.Message{{
		Kind: consensus.MessageHello, From: g.directory.self.ID, To: answered, Hello: hello,
	}})
}

func (g *Group) receiveHello(m consensus.Message) {
	h := m.Hello
	if h == nil || h.Member.ID == 0 || h.Member.ID == g.directory.self.ID {
		return
	}
	d := g.directory
	for _, x := range h.Members {
		if x.ID != d.self.ID && x.PeerAddress != "" {
			d.members[x.ID] = x
		}
	}
	d.members[h.Member.ID] = h.Member
	c := d.contacts[h.Member.Host]
	if c.member.ID != h.Member.ID {
		c = contact{}
	}
	c.member, c.formed = h.Member, h.HasJoinedGroup
	// An answer to an earlier identity of this host proves nothing.
	if h.Reply && m.To == d.self.ID {
		c.answered = g.now()
	}
	d.contacts[h.Member.Host] = c
	if !h.Reply {
		g.sendHello(h.Member, h.Member.ID, true)
	}
	membership := g.node.Status().Membership
	if _, member := membership.Member(h.Member.ID); !member && len(membership.Voters) > 0 {
		g.node.OfferSpare(g.now(), h.Member)
	}
}

// found starts a new group on the first bootstrap host once every other one
// has answered that it never belonged to a group. A host whose folder was
// emptied therefore cannot found a second group beside the first.
func (g *Group) found() error {
	d := g.directory
	if d.joined || g.opts.NoFounding || len(d.bootstrap) == 0 || d.bootstrap[0].Host != d.self.Host || g.now() < g.opts.ElectionTimeout {
		return nil
	}
	voters := []consensus.Member{d.self}
	for _, b := range d.bootstrap[1:] {
		c, ok := d.contacts[b.Host]
		fresh := c.answered > 0 && g.now()-c.answered < helloLifetimes*2*g.opts.ElectionTimeout
		if !ok || c.formed || !fresh {
			return nil
		}
		voters = append(voters, c.member)
	}
	first := state.New()
	first.Index = 1
	data, err := first.Snapshot()
	if err != nil {
		return err
	}
	snapshot := consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Voters: voters}, Data: data}
	hard := consensus.HardState{Term: 1, Commit: 1}
	if err := g.store.Found(snapshot, hard); err != nil {
		return err
	}
	d.joined = true
	g.logger.WithField("voters", len(voters)).Info("founded a group")
	return g.recover(consensus.StoredState{HardState: hard, Snapshot: snapshot})
}
