package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxContacts is the number of hosts whose hello messages a Directory remembers, which is far
// above the number of control hosts. The one that was heard from the longest ago is forgotten
// first.
const maxContacts = 64

// Directory holds what a control host knows of the addresses of the others, members or not, from
// the hello messages that they exchange. A host that waits to become a member learns the members
// from the replies of any host, and introduces itself to all of them: only the leader acts on
// offers, and no seed needs to lead or to be a member itself. A Directory performs no I/O and is
// not safe for concurrent use.
type Directory struct {
	self     Member
	seeds    []Member
	contacts map[string]Contact // by host
	// ignoreTold leaves out what other hosts tell of the members. Only the test that shows the
	// fault of that sets it.
	ignoreTold bool
}

// Contact is another control host, as described by its last hello message.
type Contact struct {
	Member Member
	// Joined is set if the host belongs or has belonged to a group.
	Joined bool
	// RepliedAt is when the host last replied to a hello message of this host, or zero.
	RepliedAt time.Duration
	heardAt   time.Duration
	// told are the members that the host knows.
	told []Member
}

// NewDirectory returns the directory of a host that first contacts the seeds. Only their hosts and
// addresses count.
func NewDirectory(self Member, seeds []Member) *Directory {
	return &Directory{self: self, seeds: seeds, contacts: map[string]Contact{}}
}

// SetSeeds replaces the seeds.
func (d *Directory) SetSeeds(seeds []Member) { d.seeds = seeds }

// Contact returns what is known of a host from its hello messages.
func (d *Directory) Contact(host string) (Contact, bool) {
	c, ok := d.contacts[host]
	return c, ok
}

// Hello returns the message by which this host introduces itself. A host that is no member passes
// on what it has been told of the members.
func (d *Directory) Hello(joined, reply bool, m Membership) *Hello {
	h := &Hello{Member: d.self, HasJoinedGroup: joined, Reply: reply, Members: m.All()}
	if len(h.Members) == 0 {
		h.Members = d.toldMembers()
	}
	return h
}

// Receive records a hello message that was sent to the member ID to. It reports whether a host
// became known by it that this host can introduce itself to.
func (d *Directory) Receive(now time.Duration, to uint64, h Hello, m Membership) (learned bool) {
	before := len(d.Targets(m))
	c := d.contacts[h.Member.Host]
	if c.Member.ID != h.Member.ID {
		c = Contact{}
	}
	c.Member, c.Joined, c.heardAt, c.told = h.Member, h.HasJoinedGroup, now, h.Members
	// A reply to an earlier member ID of this host does not count, since it says nothing about
	// the present state of its sender.
	if h.Reply && to == d.self.ID {
		c.RepliedAt = now
	}
	d.contacts[h.Member.Host] = c
	d.forgetOldest()
	return len(d.Targets(m)) > before
}

// forgetOldest keeps at most maxContacts contacts.
func (d *Directory) forgetOldest() {
	if len(d.contacts) <= maxContacts {
		return
	}
	oldest := d.newestFirst()[maxContacts:]
	for _, c := range oldest {
		delete(d.contacts, c.Member.Host)
	}
}

// newestFirst returns the contacts, those heard from last first.
func (d *Directory) newestFirst() []Contact {
	return slices.SortedFunc(maps.Values(d.contacts), func(a, b Contact) int {
		return cmp.Or(cmp.Compare(b.heardAt, a.heardAt), cmp.Compare(a.Member.Host, b.Member.Host))
	})
}

// toldMembers returns the members that other hosts tell of, those told last first.
func (d *Directory) toldMembers() []Member {
	var out []Member
	if d.ignoreTold {
		return nil
	}
	known := map[uint64]bool{}
	for _, c := range d.newestFirst() {
		for _, m := range c.told {
			if !known[m.ID] && len(out) < maxContacts {
				known[m.ID] = true
				out = append(out, m)
			}
		}
	}
	return out
}

// Targets returns the hosts that this one introduces itself to, one entry for each host: those
// that it has heard from, the members that it knows or that others have told it of, and the seeds.
func (d *Directory) Targets(m Membership) []Member {
	seen := map[string]bool{d.self.Host: true}
	var out []Member
	add := func(list []Member) {
		for _, x := range list {
			if !seen[x.Host] && x.PeerAddress != "" {
				seen[x.Host] = true
				out = append(out, x)
			}
		}
	}
	for _, c := range d.newestFirst() {
		add([]Member{c.Member})
	}
	add(m.All())
	add(d.toldMembers())
	add(d.seeds)
	return out
}

// Lookup returns the member with an ID and its newest known address: that which it has told
// itself, that in the membership, or that which others have told.
func (d *Directory) Lookup(id uint64, m Membership) (Member, bool) {
	for _, c := range d.contacts {
		if c.Member.ID == id && c.Member.PeerAddress != "" {
			return c.Member, true
		}
	}
	if known, ok := m.Member(id); ok && known.PeerAddress != "" {
		return known, true
	}
	told := d.toldMembers()
	if i := indexOf(told, id); i >= 0 {
		return told[i], true
	}
	return m.Member(id)
}
