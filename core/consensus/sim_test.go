package consensus

import (
	"encoding/binary"
	"errors"
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

func (s *sim) newID() uint64 { return s.rand.Uint64() | 1 }

func (s *sim) start(m *simMember) error {
	node, err := New(Options{
		ID: m.ID, ElectionTimeout: s.election, HeartbeatInterval: s.election / 5, DriftMargin: s.election / 5,
		RepairAfter: simRepair * s.election, Rand: rand.New(rand.NewSource(s.rand.Int63())), off: s.off,
	}, Initial{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, m.now())
	m.node, m.held, m.frozen, m.stopped = node, nil, false, false
	m.applied = m.disk.snapshot.Index
	m.chain = chainOf(m.disk.snapshot)
	return err
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
	intact := 0
	for _, v := range s.voters.Voters {
		if v.ID != m.ID && !s.gone[v.ID] {
			intact++
		}
	}
	if intact < s.voters.Quorum() || s.unsettled() {
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

// run advances true time by d and returns the first violation.
func (s *sim) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, m := range s.members {
			m.clock += float64(simStep) * m.rate
		}
		if err := s.deliver(); err != nil {
			return err
		}
		for _, m := range s.members {
			if !m.running() {
				continue
			}
			s.offer(m)
			m.node.Tick(m.now())
			if err := s.drain(m); err != nil {
				return err
			}
		}
	}
	return nil
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

func (s *sim) deliver() error {
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
		if err := s.step(m, q.m); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) step(m *simMember, msg Message) error {
	if err := m.node.Step(m.now(), msg); err != nil {
		return err
	}
	return s.drain(m)
}

func (s *sim) thaw(m *simMember) error {
	held := m.held
	m.frozen, m.held = false, nil
	for _, msg := range held {
		if m.node == nil {
			return nil
		}
		if err := s.step(m, msg); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) transmit(msgs []Message) error {
	for _, msg := range msgs {
		if err := s.checkVote(msg); err != nil {
			return err
		}
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
	return nil
}

// drain takes the effects of m's node in their order.
func (s *sim) drain(m *simMember) error {
	for {
		if err := s.checkNode(m); err != nil {
			return err
		}
		r := m.node.Ready()
		if r.Empty() {
			return nil
		}
		if err := s.transmit(r.Early); err != nil {
			return err
		}
		if s.lossy && r.Durable() && s.rand.Intn(2000) == 0 {
			s.kill(m) // between the early messages and the sync
			return nil
		}
		if s.sendFirst {
			if m.unsaved != nil {
				m.disk.write(*m.unsaved)
			}
			m.unsaved = &r
		} else {
			m.disk.write(r)
		}
		if err := s.transmit(r.Messages); err != nil {
			return err
		}
		if err := s.apply(m, r); err != nil {
			return err
		}
		m.node.Advance(r)
		s.compact(m)
	}
}

func (s *sim) apply(m *simMember, r Ready) error {
	if r.Snapshot != nil {
		m.applied, m.chain = r.Snapshot.Index, chainOf(*r.Snapshot)
		s.restored++
	}
	for _, e := range r.Committed {
		if e.Index != m.applied+1 {
			return fmt.Errorf("member %x applies %d after %d", m.ID, e.Index, m.applied)
		}
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
		if old, ok := s.committed[e.Index]; ok && old != text {
			return fmt.Errorf("committed entry %d changed from %q to %q", e.Index, old, text)
		}
		s.committed[e.Index] = text
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, m.chain, e.Index, text)
		m.applied, m.chain = e.Index, sum.Sum64()
		if old, ok := s.chains[e.Index]; ok && old != m.chain {
			return fmt.Errorf("applied state differs at index %d", e.Index)
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
	return nil
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

var errTwoLeases = errors.New("two members hold a valid lease")

// checkVote guards against a second vote in a term under one identity.
func (s *sim) checkVote(msg Message) error {
	candidate := msg.To
	switch {
	case msg.Kind == MessageVote:
		candidate = msg.From
	case msg.Kind != MessageVoteResponse || msg.Reject:
		return nil
	}
	key := [2]uint64{msg.From, msg.Term}
	if old, ok := s.votes[key]; ok && old != candidate {
		return fmt.Errorf("member %x voted for %x and %x in term %d", msg.From, old, candidate, msg.Term)
	}
	s.votes[key] = candidate
	return nil
}

// checkNode guards against two leaders in a term, a leader of a newer term
// without a committed entry, and two valid leases. A thawed member may become
// leader of an older term, in which it can commit nothing.
func (s *sim) checkNode(m *simMember) error {
	if n := m.node; n.role == Leader {
		if old, ok := s.leaders[n.term]; ok && old != m.ID {
			return fmt.Errorf("members %x and %x lead term %d", old, m.ID, n.term)
		} else if !ok && n.term > slices.Max(append(slices.Collect(maps.Keys(s.leaders)), 0)) && n.log.last() <= s.top {
			return fmt.Errorf("leader of term %d lacks committed entry %d", n.term, s.top)
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
		return errTwoLeases
	}
	return nil
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
func (s *sim) propose(count int) error {
	for _, m := range s.leading() {
		for range count {
			s.proposed++
			_, _, _ = m.node.Propose([]byte(fmt.Sprint("c", s.proposed)))
		}
		if err := s.drain(m); err != nil {
			return err
		}
	}
	return nil
}

// heal ends every fault.
func (s *sim) heal() error {
	clear(s.cut)
	s.lossy = false
	for _, m := range s.members {
		m.rate = 1
		if m.frozen {
			if err := s.thaw(m); err != nil {
				return err
			}
		}
		if m.node == nil {
			if err := s.start(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle heals and requires that the group elects a leader, finishes its
// repairs, commits and agrees.
func (s *sim) settle() error {
	if err := s.heal(); err != nil {
		return err
	}
	for range 40 {
		if err := s.run(5 * simElection); err != nil {
			return err
		}
		if s.settled() {
			break
		}
	}
	before := s.top
	if err := errors.Join(s.propose(1), s.run(5*simElection)); err != nil {
		return err
	}
	if s.top == before || !s.settled() {
		return fmt.Errorf("group does not settle: committed %d, voters %v, %s", s.top, s.voters, s.describe())
	}
	return nil
}

func (s *sim) describe() string {
	out := ""
	for h, m := range s.members {
		st := m.node.Status()
		out += fmt.Sprintf("[h%d %x role %d term %d commit %d last %d leader %x members %v]", h, m.ID, st.Role, st.Term, st.Commit, st.Last, st.Leader, st.Membership)
	}
	return out
}

func (s *sim) settled() bool {
	for _, v := range s.voters.All() {
		h := s.host(v.ID)
		if h < 0 || s.members[h].applied != s.top {
			return false
		}
	}
	return s.voters.Repair == nil && len(s.leading()) == 1
}
