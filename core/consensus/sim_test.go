package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand"
	"slices"
	"time"
)

// Times of the simulated group. Members run between 0.9 and 1.1 times true time.
const (
	simStep     = 5 * time.Millisecond
	simElection = 100 * time.Millisecond
	// simRepair is a number of election timeouts.
	simRepair  = 5
	simMinRate = 0.9
	simMaxRate = 1.1
	// simSnapshot and simTrailing make catch-up need snapshots often.
	simSnapshot = 20
	simTrailing = 5
)

// simDisk is what a member has synced.
type simDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *simDisk) write(r Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= first })
		d.entries = append(d.entries, r.Entries...)
	}
}

type simMember struct {
	Member
	node    *Node
	disk    simDisk
	unsaved *Ready // written late when the sim sends before it syncs
	clock   float64
	rate    float64
	frozen  bool
	stopped bool
	emptied bool
	held    []Message // arrived while frozen
	applied uint64
	chain   uint64
}

type simMessage struct {
	at time.Duration
	m  Message
}

// sim is a group of members, their disks and the network between them.
type sim struct {
	rand      *rand.Rand
	now       time.Duration
	off       mechanismsOff
	sendFirst bool // sends before the sync
	reuseID   bool // an emptied member keeps its identity
	election  time.Duration
	noOffers  bool // no host offers itself as a spare
	lossy     bool
	members   []*simMember // index is the host
	gone      map[uint64]bool
	queue     []simMessage
	cut       map[[2]int]bool
	proposed  int
	restored  int // snapshots received
	changes   int // committed membership changes

	// Oracle state.
	leaders   map[uint64]uint64    // term to leader
	votes     map[[2]uint64]uint64 // voter and term to candidate
	committed map[uint64]string
	chains    map[uint64]uint64
	top       uint64
	voters    Membership // newest committed
}

func newSim(seed int64, hosts, voters int, off mechanismsOff) *sim {
	s := &sim{
		rand: rand.New(rand.NewSource(seed)), off: off, election: simElection, gone: map[uint64]bool{}, cut: map[[2]int]bool{},
		leaders: map[uint64]uint64{}, votes: map[[2]uint64]uint64{}, committed: map[uint64]string{}, chains: map[uint64]uint64{},
	}
	var first Membership
	for h := range hosts {
		m := &simMember{Member: Member{ID: s.newID(), Host: fmt.Sprint("h", h)}, rate: 1}
		s.members = append(s.members, m)
		if h < voters {
			first.Voters = append(first.Voters, m.Member)
		}
	}
	for h, m := range s.members {
		if h < voters {
			m.disk = simDisk{hard: HardState{Term: 1, Commit: 1}, snapshot: Snapshot{Index: 1, Term: 1, Membership: first, Data: make([]byte, 8)}}
		}
	}
	s.voters = first
	return s
}

// simError is what an oracle saw. It ends the run of a sim.
type simError struct{ error }

func (s *sim) failf(format string, args ...any) { panic(simError{fmt.Errorf(format, args...)}) }

func (s *sim) must(err error) {
	if err != nil {
		panic(simError{err})
	}
}

// observe runs f and returns the violation that ended it, if any.
func observe(f func()) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case simError:
			err = p.error
		default:
			panic(p)
		}
	}()
	f()
	return nil
}

func (s *sim) newID() uint64 { return s.rand.Uint64() | 1 }

func (s *sim) start(m *simMember) {
	node, err := New(Options{
		ID: m.ID, ElectionTimeout: s.election, HeartbeatInterval: s.election / 5, DriftMargin: s.election / 5,
		RepairAfter: simRepair * s.election, Rand: rand.New(rand.NewSource(s.rand.Int63())), off: s.off,
	}, Initial{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, m.now())
	m.node, m.held, m.frozen, m.stopped = node, nil, false, false
	m.applied = m.disk.snapshot.Index
	m.chain = chainOf(m.disk.snapshot)
	s.must(err)
}

func chainOf(s Snapshot) uint64 {
	if len(s.Data) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(s.Data)
}

func (m *simMember) now() time.Duration { return time.Duration(m.clock) }
func (m *simMember) running() bool      { return m.node != nil && !m.frozen }

func (s *sim) host(id uint64) int {
	return slices.IndexFunc(s.members, func(m *simMember) bool { return m.ID == id })
}

// kill ends the process. Unsynced writes are lost.
func (s *sim) kill(m *simMember) { m.node, m.unsaved = nil, nil }

// empty ends the process and clears its disk, if a quorum of intact voters
// remains; otherwise the loss of data would be legitimate.
func (s *sim) empty(m *simMember) {
	left := s.intact(s.voters)
	if s.voters.IsVoter(m.ID) {
		left--
	}
	if left < s.voters.Quorum() || s.unsettled() {
		return
	}
	s.kill(m)
	m.disk, m.emptied = simDisk{}, true
	if s.reuseID {
		return
	}
	s.gone[m.ID] = true
	m.ID = s.newID()
}

// intact counts the voters whose disks were not emptied.
func (s *sim) intact(m Membership) int {
	count := 0
	for _, v := range m.Voters {
		if !s.gone[v.ID] {
			count++
		}
	}
	return count
}

// unsettled reports whether some member holds a membership that is not committed.
func (s *sim) unsettled() bool {
	for _, m := range s.members {
		log, err := newEntryLog(m.disk.snapshot, m.disk.entries, m.disk.hard.Commit)
		if err != nil || log.membership().index > s.top {
			return true
		}
	}
	return s.voters.Repair != nil
}

// run advances true time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, m := range s.members {
			m.clock += float64(simStep) * m.rate
		}
		s.deliver()
		for _, m := range s.members {
			if !m.running() {
				continue
			}
			s.offer(m)
			m.node.Tick(m.now())
			s.drain(m)
		}
	}
}

// offer introduces a host without a leader to every host it reaches.
func (s *sim) offer(m *simMember) {
	st := m.node.Status()
	if _, member := st.Membership.Member(m.ID); member && st.Leader != 0 || s.noOffers {
		return
	}
	for h, to := range s.members {
		if to != m && to.running() && !s.cut[[2]int{s.host(m.ID), h}] {
			to.node.Offer(to.now(), m.Member)
		}
	}
}

func (s *sim) deliver() {
	due := []simMessage{}
	s.queue = slices.DeleteFunc(s.queue, func(q simMessage) bool {
		if q.at <= s.now {
			due = append(due, q)
		}
		return q.at <= s.now
	})
	s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, q := range due {
		h := s.host(q.m.To)
		if h < 0 || s.members[h].node == nil {
			continue
		}
		m := s.members[h]
		if m.frozen {
			m.held = append(m.held, q.m)
			continue
		}
		s.step(m, q.m)
	}
}

func (s *sim) step(m *simMember, msg Message) {
	s.must(m.node.Step(m.now(), msg))
	s.drain(m)
}

func (s *sim) thaw(m *simMember) {
	held := m.held
	m.frozen, m.held = false, nil
	for _, msg := range held {
		if m.node == nil {
			return
		}
		s.step(m, msg)
	}
}

func (s *sim) transmit(msgs []Message) {
	for _, msg := range msgs {
		s.checkVote(msg)
		from, to := s.host(msg.From), s.host(msg.To)
		copies := 1
		if s.lossy {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[s.rand.Intn(8)]
		}
		if to < 0 || s.cut[[2]int{from, to}] {
			continue
		}
		for range copies {
			delay := time.Duration(1+s.rand.Intn(10)) * time.Millisecond
			if s.lossy && s.rand.Intn(20) == 0 {
				delay = time.Duration(s.rand.Intn(4)) * simElection
			}
			s.queue = append(s.queue, simMessage{s.now + delay, msg})
		}
	}
}

// drain takes the effects of m's node in their order.
func (s *sim) drain(m *simMember) {
	for {
		s.checkNode(m)
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		s.transmit(r.Early)
		if s.lossy && r.Durable() && s.rand.Intn(2000) == 0 {
			s.kill(m) // between the early messages and the sync
			return
		}
		if s.sendFirst {
			if m.unsaved != nil {
				m.disk.write(*m.unsaved)
			}
			m.unsaved = &r
		} else {
			m.disk.write(r)
		}
		s.transmit(r.Messages)
		s.apply(m, r)
		m.node.Advance(r)
		s.compact(m)
	}
}

func (s *sim) apply(m *simMember, r Ready) {
	if r.Snapshot != nil {
		m.applied, m.chain = r.Snapshot.Index, chainOf(*r.Snapshot)
		s.restored++
	}
	for _, e := range r.Committed {
		if e.Index != m.applied+1 {
			s.failf("member %x applies %d after %d", m.ID, e.Index, m.applied)
		}
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
		if old, ok := s.committed[e.Index]; ok && old != text {
			s.failf("committed entry %d changed from %q to %q", e.Index, old, text)
		}
		s.committed[e.Index] = text
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, m.chain, e.Index, text)
		m.applied, m.chain = e.Index, sum.Sum64()
		if old, ok := s.chains[e.Index]; ok && old != m.chain {
			s.failf("applied state differs at index %d", e.Index)
		}
		s.chains[e.Index] = m.chain
		if e.Index > s.top {
			s.top = e.Index
			if e.Kind == EntryMembership {
				s.voters, _ = decodeMembership(e.Data)
				s.changes++
			}
		}
	}
}

func (s *sim) compact(m *simMember) {
	if m.applied < m.disk.snapshot.Index+simSnapshot || s.sendFirst {
		return
	}
	term, _ := m.node.TermAt(m.applied)
	snap := Snapshot{
		Index: m.applied, Term: term, Membership: m.node.MembershipAt(m.applied),
		Data: binary.BigEndian.AppendUint64(nil, m.chain),
	}
	dropped := m.node.Compact(snap, simTrailing)
	m.disk.snapshot = snap
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(e Entry) bool { return e.Index < dropped })
}

// checkVote guards against a second vote in a term under one identity.
func (s *sim) checkVote(msg Message) {
	candidate := msg.To
	switch {
	case msg.Kind == MessageVote:
		candidate = msg.From
	case msg.Kind != MessageVoteResponse || msg.Reject:
		return
	}
	key := [2]uint64{msg.From, msg.Term}
	if old, ok := s.votes[key]; ok && old != candidate {
		s.failf("member %x voted for %x and %x in term %d", msg.From, old, candidate, msg.Term)
	}
	s.votes[key] = candidate
}

// checkNode guards against two leaders in a term, a leader of a newer term
// without a committed entry, and two valid leases. A thawed member may become
// leader of an older term, in which it can commit nothing.
func (s *sim) checkNode(m *simMember) {
	if n := m.node; n.role == Leader {
		if old, ok := s.leaders[n.term]; ok && old != m.ID {
			s.failf("members %x and %x lead term %d", old, m.ID, n.term)
		} else if !ok && n.term > slices.Max(append(slices.Collect(maps.Keys(s.leaders)), 0)) && n.log.last() <= s.top {
			s.failf("leader of term %d lacks committed entry %d", n.term, s.top)
		}
		s.leaders[n.term] = m.ID
	}
	holders := 0
	for _, x := range s.members {
		if x.node != nil && x.node.LeaseValid(x.now()) {
			holders++
		}
	}
	if holders > 1 {
		s.failf("two members hold a valid lease")
	}
}

// leading returns the members that lead, newest term first.
func (s *sim) leading() []*simMember {
	var out []*simMember
	for _, m := range s.members {
		if m.running() && m.node.role == Leader {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *simMember) int { return int(b.node.term) - int(a.node.term) })
	return out
}

// propose appends count commands on every member that believes it leads.
func (s *sim) propose(count int) {
	for _, m := range s.leading() {
		for range count {
			s.proposed++
			_, _, _ = m.node.Propose([]byte(fmt.Sprint("c", s.proposed)))
		}
		s.drain(m)
	}
}

// heal ends every fault.
func (s *sim) heal() {
	clear(s.cut)
	s.lossy = false
	for _, m := range s.members {
		m.rate = 1
		if m.frozen {
			s.thaw(m)
		}
		if m.node == nil {
			s.start(m)
		}
	}
}
