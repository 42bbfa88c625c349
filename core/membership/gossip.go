package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// fanout is the number of hosts that a new state or a beat is sent to in
	// one round.
	fanout = 3
	// maxTargets is the number of hosts that one host passes a new state on to.
	// When all do, a given host is missed with probability e^-15; the digests
	// find what is missed.
	maxTargets = 15
	// resendAfter and maxSends bound the copies to a host that does not confirm.
	resendAfter = 200 * time.Millisecond
	maxSends    = 5
	// digestInterval is the time between two comparisons with a random host.
	digestInterval = time.Second
	// joinInterval is the same until the first comparison is complete.
	joinInterval = 200 * time.Millisecond
	// joinPeers is the number of hosts that a starting host compares with. A
	// state that was spread for a second is on all of them; with up to 17 hosts,
	// all are asked.
	joinPeers = 16
	// seedTimeout is how long a starting host waits for a seed to answer.
	seedTimeout = 3 * time.Second
	// joinTimeout bounds the wait for hosts that others hear from but that do
	// not answer, as when a single link is cut.
	joinTimeout = 10 * time.Second
	// flushInterval collects beats into one message for each receiver.
	flushInterval = 200 * time.Millisecond
	// beatsToSilence is the number of missed beats after which a host counts as
	// silent.
	beatsToSilence = 5
	// hostsPerSecond bounds the beats of hosts in a second, so that their
	// traffic does not grow with the number of hosts beyond it.
	hostsPerSecond = 64
	// wideBeats and serversPerBeat bound the beats of servers that leave their
	// data centre: one in 4, and one in 28 with 1,400 servers.
	wideBeats      = 4
	serversPerBeat = 50
	// maxRecords bounds the records of one message.
	maxRecords = 64
)

// rumor is a state that is still being passed on.
type rumor struct {
	// told holds the peer addresses that are known to have the state.
	told map[string]bool
	sent map[string]sends
}

type sends struct {
	count int
	last  time.Duration
}

// spread starts to pass on the current state of k.
func (t *Table) spread(k Key) {
	delete(t.beats, k)
	t.rumors[k] = &rumor{told: map[string]bool{}, sent: map[string]sends{}}
	t.fresh = true
	t.changes++
}

// Changes counts the states of hosts and servers that were new to this table.
func (t *Table) Changes() uint64 { return t.changes }

// Step merges a message received at now. Answers and new states are returned
// by the next Ready.
func (t *Table) Step(now time.Duration, m Message) {
	t.start(now)
	t.mergeRecords(now, m)
	for _, b := range m.Beats {
		t.mergeBeat(now, b)
		t.confirmed(b.ID, m.FromAddress)
	}
	if len(m.Digest) == bucketCount {
		t.compareDigest(m)
	}
	if m.Difference != nil {
		t.compareVersions(m)
	}
	if len(m.Want) > 0 {
		t.sendRecords(m.FromAddress, m.Want)
	}
}

// mergeRecords merges the records of a message. It confirms the states that
// this table now holds with a beat, and answers older ones with its own.
func (t *Table) mergeRecords(now time.Duration, m Message) {
	var received []Version
	for _, r := range m.Hosts {
		t.mergeHost(now, r)
		received = append(received, r.version())
	}
	for _, r := range m.Servers {
		normalise(&r.Server)
		t.mergeServer(now, r)
		received = append(received, r.version())
	}
	var give []Key
	var beats []Beat
	for _, v := range received {
		held, _ := t.version(v.Key)
		if held.after(v) {
			give = append(give, v.Key)
		}
		if held == v {
			beats = append(beats, Beat{ID: v.hash()})
			t.confirmed(v.hash(), m.FromAddress)
		}
	}
	if len(beats) > 0 {
		t.send(Message{To: m.FromAddress, Beats: beats})
	}
	t.sendRecords(m.FromAddress, give)
}

// confirmed notes that the host at address holds the state with this hash.
func (t *Table) confirmed(id uint64, address string) {
	k, ok := t.byID[id]
	if !ok {
		return
	}
	if r, ok := t.rumors[k]; ok {
		r.told[address] = true
	}
}

// compareDigest answers a digest with the versions in the buckets that differ.
// An answer without any tells the sender that both tables agree.
func (t *Table) compareDigest(m Message) {
	d := &Difference{Incarnation: m.Incarnation}
	for i, h := range m.Digest {
		if h != t.buckets[i] {
			d.Buckets = append(d.Buckets, uint32(i))
		}
	}
	if len(d.Buckets) > 0 {
		for _, k := range t.keys() {
			if slices.Contains(d.Buckets, k.bucket()) {
				v, _ := t.version(k)
				d.Versions = append(d.Versions, v)
			}
		}
	}
	t.send(Message{To: m.FromAddress, Difference: d, Beats: t.ownBeat()})
}

// compareVersions sends what this table knows better than the sender and asks
// for what the sender knows better.
func (t *Table) compareVersions(m Message) {
	theirs := map[Key]Version{}
	var want, give []Key
	for _, v := range m.Difference.Versions {
		theirs[v.Key] = v
		held, ok := t.version(v.Key)
		if !ok || v.after(held) {
			want = append(want, v.Key)
		}
	}
	for _, k := range t.keys() {
		if !slices.Contains(m.Difference.Buckets, k.bucket()) {
			continue
		}
		held, _ := t.version(k)
		if v, ok := theirs[k]; !ok || held.after(v) {
			give = append(give, k)
		}
	}
	t.sendRecords(m.FromAddress, give)
	if len(want) > 0 {
		t.send(Message{To: m.FromAddress, Want: want})
		return
	}
	if m.Difference.Incarnation != t.opts.Self.Incarnation && !t.opts.off.process {
		return
	}
	t.seedSynced = t.seedSynced || slices.Contains(t.opts.Seeds, m.FromAddress)
	if h, ok := t.hosts[m.From]; ok {
		h.synced = true
	}
}

// Tick advances time: it passes on new states and beats, marks silent servers
// and starts comparisons. It is called about every 100 ms.
func (t *Table) Tick(now time.Duration) {
	t.start(now)
	if now-t.lastTick > frozenAfter && !t.opts.off.resume {
		t.resumedAt = now
	}
	t.lastTick = now
	t.markSilent(now)
	if now >= t.nextBeat {
		t.nextBeat = now + t.beatInterval()
		self := t.self()
		self.Sequence++
		self.heard = now
		t.beats[Key{KindHost, self.Name}] = true
		t.forget(now)
	}
	if now >= t.nextFlush {
		t.nextFlush = now + flushInterval
		t.sendBeats(now)
	}
	t.sendRumors(now, false)
	if now >= t.nextDigest {
		t.nextDigest = now + digestInterval
		if !t.Synced(now) {
			t.nextDigest = now + joinInterval
		}
		t.sendDigests(now)
	}
}

func (t *Table) start(now time.Duration) {
	if t.started {
		return
	}
	t.started, t.startedAt, t.lastTick, t.resumedAt = true, now, now, now
	// A random phase keeps the hosts of a deployment from comparing in step.
	t.nextBeat = now + time.Duration(t.rand.Int63n(int64(digestInterval)))
	t.nextDigest = now
}

// Ready returns the messages to send and forgets them. The first round of a
// new state does not wait for the next tick.
func (t *Table) Ready(now time.Duration) []Message {
	if t.fresh {
		t.sendRumors(now, true)
	}
	out := t.out
	t.out = nil
	return out
}

// Synced reports whether a starting host has compared its table with every
// host that is heard from, or with 16 of them. A host without seeds, or whose seeds do not answer
// in time, has nobody to compare with.
func (t *Table) Synced(now time.Duration) bool {
	if !t.started {
		return false
	}
	if waited := now - t.startedAt; waited > joinTimeout {
		return true
	} else if !t.seedSynced && len(t.seeds()) > 0 && waited <= seedTimeout {
		return false
	}
	done, open := t.joined(now)
	return done >= joinPeers || len(open) == 0
}

// joined returns the number of hosts that this one compared with, and the
// addresses of the others that are heard from.
func (t *Table) joined(now time.Duration) (done int, open []string) {
	for _, h := range t.hosts {
		switch {
		case h.Name == t.opts.Self.Name:
		case h.synced:
			done++
		case !t.hostSilent(now, h):
			open = append(open, h.PeerAddress)
		}
	}
	slices.Sort(open)
	return done, open
}

func (t *Table) seeds() []string {
	return slices.DeleteFunc(slices.Clone(t.opts.Seeds), func(a string) bool { return a == t.opts.Self.PeerAddress })
}

// beatInterval is one second up to 64 hosts and grows with their number beyond.
func (t *Table) beatInterval() time.Duration {
	return max(time.Second, time.Duration(len(t.hosts))*time.Second/hostsPerSecond)
}

// markSilent records the servers of this data centre that are not heard from.
func (t *Table) markSilent(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		e := t.servers[name]
		if e.Silent || !t.observes(e) || now-max(e.heard, t.resumedAt) <= SilentAfter {
			continue
		}
		r := e.ServerRecord
		r.Silent = true
		t.putServer(r, e.heard)
	}
}

// forget drops the records that were silent for a day.
func (t *Table) forget(now time.Duration) {
	for name, h := range t.hosts {
		if name != t.opts.Self.Name && now-h.heard > forgetAfter {
			t.drop(h.version())
			delete(t.hosts, name)
			t.quieten(Key{KindHost, name})
		}
	}
	for name, s := range t.servers {
		if s.Silent && now-s.heard > forgetAfter {
			t.drop(s.version())
			delete(t.servers, name)
			t.quieten(Key{KindServer, name})
		}
	}
}

func (t *Table) quieten(k Key) {
	delete(t.rumors, k)
	delete(t.beats, k)
}
