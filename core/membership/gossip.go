package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// fanout is the number of hosts that an update or a heartbeat is sent to in
	// one round.
	fanout = 3
	// maxTargets is the number of hosts of its data centre to which one host forwards
	// an update. When all of them do so, a given host is missed with probability e^-15;
	// the comparison of digests then finds the difference.
	maxTargets = 15
	// issuerRemoteTargets is the number of hosts in each other data centre to which
	// the host that issues an update sends it. These hosts forward it within their data
	// centre. The second host covers the failure of the first.
	issuerRemoteTargets = 2
	// remoteHeartbeatTargets is the number of the fanout hosts to which a heartbeat for
	// all hosts is sent that are in other data centres. With one of three, a heartbeat
	// reaches every data centre within a few rounds.
	remoteHeartbeatTargets = 1
	// relaysPerCentre is the expected number of hosts in each data centre that also
	// send an update which they received to one host of each other data centre. They
	// cover broken links of the issuer.
	relaysPerCentre = 4
	// resendAfter is the time after which an update is sent again to a host that
	// has not acknowledged it, up to maxSends times in total.
	resendAfter = 200 * time.Millisecond
	maxSends    = 5
	// digestInterval is the time between comparisons of digests with a random host.
	digestInterval = time.Second
	// joinInterval is the time between comparisons until Synced reports true.
	joinInterval = 200 * time.Millisecond
	// joinPeers is the number of hosts with which a starting host compares its
	// table. An update that has propagated for a second is on all of them; with
	// up to 17 hosts, the starting host compares with all others.
	joinPeers = 16
	// seedTimeout is how long a starting host waits for a response from a seed.
	seedTimeout = 3 * time.Second
	// joinTimeout limits the wait for hosts that are reachable from other hosts
	// but do not respond to this one, as when a single link is down.
	joinTimeout = 10 * time.Second
	// flushInterval is how long heartbeats are collected into one message for
	// each receiver.
	flushInterval = 200 * time.Millisecond
	// maxMissedHeartbeats is the number of missed heartbeats after which a host
	// counts as silent.
	maxMissedHeartbeats = 5
	// hostHeartbeatsPerSecond limits the heartbeats that all hosts together issue
	// per second, so that their traffic does not grow further once there are
	// more hosts than this.
	hostHeartbeatsPerSecond = 64
	// defaultRemoteEvery and serversPerRemoteEvery limit the heartbeats of a server
	// that leave its data centre: one in defaultRemoteEvery, or with N servers one
	// in N/serversPerRemoteEvery if that is fewer heartbeats. With 1,400 servers it
	// is one in 28.
	defaultRemoteEvery    = 4
	serversPerRemoteEvery = 50
	// maxRecords is the maximum number of records in one message.
	maxRecords = 64
)

// update is a new state that is still being forwarded. Every host forwards it within
// its data centre, but few hosts forward it to other data centres, because bytes
// between data centres are scarce.
type update struct {
	// remoteTargets is the number of hosts in each other data centre to which this host
	// forwards the state.
	remoteTargets int
	// acknowledgedBy holds the peer addresses of the hosts that acknowledged the
	// state.
	acknowledgedBy map[string]bool
	// sent records how often and when last the state was sent to each peer address.
	sent map[string]sendAttempts
}

type sendAttempts struct {
	count int
	last  time.Duration
}

// startUpdate starts to forward the current state of k.
func (t *Table) startUpdate(k Key) {
	delete(t.pendingHeartbeats, k)
	t.updates[k] = &update{remoteTargets: t.remoteTargets(), acknowledgedBy: map[string]bool{}, sent: map[string]sendAttempts{}}
	t.hasUnsentUpdates = true
	t.changes++
}

// remoteTargets returns the number of hosts in each other data centre to which this
// host forwards a state that is new to it.
func (t *Table) remoteTargets() int {
	if !t.merging {
		return issuerRemoteTargets
	}
	local := 0
	for _, h := range t.hosts {
		if h.DataCentre == t.opts.Self.DataCentre {
			local++
		}
	}
	if local <= relaysPerCentre || t.rand.Intn(local) < relaysPerCentre {
		return 1
	}
	return 0
}

// Changes returns the number of host and server states that were new to this
// table.
func (t *Table) Changes() uint64 { return t.changes }

// Step merges a message received at now. The next Ready returns responses and
// updates.
func (t *Table) Step(now time.Duration, m Message) {
	t.ensureStarted(now)
	t.merging = true
	t.mergeRecords(now, m)
	for _, heartbeat := range m.Heartbeats {
		t.mergeHeartbeat(now, heartbeat)
		t.markAcknowledged(heartbeat.ID, m.FromAddress)
	}
	t.merging = false
	if len(m.Digest) == bucketCount {
		t.compareDigest(m)
	}
	if m.Difference != nil {
		t.compareVersions(now, m)
	}
	if len(m.RequestedKeys) > 0 {
		t.sendRecords(m.FromAddress, m.RequestedKeys)
	}
}

// mergeRecords merges the records of a message. For a state that this table now
// holds, it sends a heartbeat as acknowledgement; for an older state, its own newer
// record.
func (t *Table) mergeRecords(now time.Duration, m Message) {
	var received []Version
	var toSend []Key
	for _, r := range m.Hosts {
		t.mergeHost(now, r)
		received = append(received, r.version())
	}
	for _, r := range m.Servers {
		normalise(&r.Server)
		t.mergeServer(now, r)
		received = append(received, r.version())
		if t.mayCorrect(now, r) {
			toSend = append(toSend, r.version().Key)
		}
	}
	var heartbeats []Heartbeat
	for _, v := range received {
		local, _ := t.version(v.Key)
		if local.after(v) {
			toSend = append(toSend, v.Key)
		}
		if local == v {
			heartbeats = append(heartbeats, Heartbeat{ID: v.hash()})
			t.markAcknowledged(v.hash(), m.FromAddress)
		}
	}
	if len(heartbeats) > 0 {
		t.send(Message{To: m.FromAddress, Heartbeats: heartbeats})
	}
	t.sendRecords(m.FromAddress, toSend)
}

// mayCorrect reports whether the sender of a record is to receive the one of this table, because
// the service of the former is not offered. Its version may be the higher one, so that comparisons
// alone don't end the difference. Two hosts that differ in the services would correct each other
// without an end, hence the interval.
func (t *Table) mayCorrect(now time.Duration, r ServerRecord) bool {
	e := t.servers[r.Name]
	if t.compareServices(e.Server, r.Server) <= 0 || now-e.correctedAt < digestInterval {
		return false
	}
	e.correctedAt = now
	return true
}

// markAcknowledged records that the host at address holds the state with this hash.
func (t *Table) markAcknowledged(id uint64, address string) {
	k, ok := t.byID[id]
	if !ok {
		return
	}
	if u, ok := t.updates[k]; ok {
		u.acknowledgedBy[address] = true
	}
}

// compareDigest responds to a digest with the versions in the buckets that
// differ. A response without buckets means that both tables are equal.
func (t *Table) compareDigest(m Message) {
	d := &Difference{Incarnation: m.Incarnation}
	for i, h := range m.Digest {
		if h != t.buckets[i] {
			d.Buckets = append(d.Buckets, uint32(i))
		}
	}
	if len(d.Buckets) > 0 {
		for _, k := range t.sortedKeys() {
			if slices.Contains(d.Buckets, k.bucket()) {
				v, _ := t.version(k)
				d.Versions = append(d.Versions, v)
			}
		}
	}
	t.send(Message{To: m.FromAddress, Difference: d, Heartbeats: t.ownHeartbeat()})
}

// compareVersions sends the records that are newer in this table than at the
// sender and requests those that are newer at the sender. If there are none to
// request, and the digest was sent by this process, it marks the sender as synced.
func (t *Table) compareVersions(now time.Duration, m Message) {
	remote := map[Key]Version{}
	var toRequest, toSend []Key
	for _, v := range m.Difference.Versions {
		remote[v.Key] = v
		local, ok := t.version(v.Key)
		if !ok || v.after(local) {
			toRequest = append(toRequest, v.Key)
			if v.Key.Kind == KindServer {
				t.requested[v.Key.Name] = true
			}
		}
	}
	t.comparedAt = now
	for _, k := range t.sortedKeys() {
		if !slices.Contains(m.Difference.Buckets, k.bucket()) {
			continue
		}
		local, _ := t.version(k)
		if v, ok := remote[k]; !ok || local.after(v) {
			toSend = append(toSend, k)
		}
	}
	t.sendRecords(m.FromAddress, toSend)
	if len(toRequest) > 0 {
		t.send(Message{To: m.FromAddress, RequestedKeys: toRequest})
		return
	}
	if m.Difference.Incarnation != t.opts.Self.Incarnation && !t.opts.disabled.processCheck {
		return
	}
	t.seedSynced = t.seedSynced || slices.Contains(t.opts.Seeds, m.FromAddress)
	if h, ok := t.hosts[m.From]; ok {
		h.synced = true
	}
}

// Tick advances time: it forwards updates and heartbeats, marks silent servers
// and starts comparisons of digests. It must be called about every 100 ms.
func (t *Table) Tick(now time.Duration) {
	t.ensureStarted(now)
	if now-t.lastTick > frozenAfter && !t.opts.disabled.freezeDetection {
		t.resumedAt = now
	}
	t.lastTick = now
	t.markSilent(now)
	if now >= t.nextHeartbeat {
		t.nextHeartbeat = now + t.heartbeatInterval()
		self := t.self()
		self.Sequence++
		self.lastSeen = now
		t.pendingHeartbeats[Key{KindHost, self.Name}] = true
		t.removeExpired(now)
	}
	if now >= t.nextFlush {
		t.nextFlush = now + flushInterval
		t.sendHeartbeats(now)
	}
	t.sendAdapters(now)
	t.sendUpdates(now, false)
	if now >= t.nextDigest {
		t.nextDigest = now + digestInterval
		if !t.Synced(now) {
			t.nextDigest = now + joinInterval
		}
		t.sendDigests(now)
	}
}

// ensureStarted sets the start time and the timers at the first call that receives
// the time.
func (t *Table) ensureStarted(now time.Duration) {
	if t.started {
		return
	}
	t.started, t.startedAt, t.lastTick, t.resumedAt = true, now, now, now
	// A random phase prevents hosts that start together from issuing their
	// heartbeats at the same time. The first comparison of digests does not wait.
	t.nextHeartbeat = now + time.Duration(t.rand.Int63n(int64(digestInterval)))
	t.nextDigest = now
}

// Ready returns the messages to send and clears them. The first round of an
// update does not wait for the next tick.
func (t *Table) Ready(now time.Duration) []Message {
	if t.hasUnsentUpdates {
		t.sendUpdates(now, true)
	}
	out := t.outbox
	t.outbox = nil
	return out
}

// Synced reports whether a starting host has compared its table with every
// host that is not silent, or with joinPeers of them. A host without seeds, or
// whose seeds do not respond within seedTimeout, may have no host to compare with
// and then counts as synced. After joinTimeout the result is always true.
func (t *Table) Synced(now time.Duration) bool {
	if !t.started {
		return false
	}
	if waited := now - t.startedAt; waited > joinTimeout {
		return true
	} else if !t.seedSynced && len(t.otherSeeds()) > 0 && waited <= seedTimeout {
		return false
	}
	done, remaining := t.joinProgress(now)
	return done >= joinPeers || len(remaining) == 0
}

// joinProgress returns the number of hosts with which this one has compared its
// table, and the addresses of the others that are not silent.
func (t *Table) joinProgress(now time.Duration) (done int, remaining []string) {
	for _, h := range t.hosts {
		switch {
		case h.Name == t.opts.Self.Name:
		case h.synced:
			done++
		case !t.hostSilent(now, h):
			remaining = append(remaining, h.PeerAddress)
		}
	}
	slices.Sort(remaining)
	return done, remaining
}

// otherSeeds returns the seeds without this host's own address.
func (t *Table) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(t.opts.Seeds), func(a string) bool { return a == t.opts.Self.PeerAddress })
}

// heartbeatInterval returns one second for up to 64 hosts. Beyond, it grows in
// proportion to their number.
func (t *Table) heartbeatInterval() time.Duration {
	return max(time.Second, time.Duration(len(t.hosts))*time.Second/hostHeartbeatsPerSecond)
}

// markSilent marks as silent the servers of this data centre that have not
// announced themselves for SilentAfter, not counting the time before resumedAt.
func (t *Table) markSilent(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		e := t.servers[name]
		if e.Silent || !t.observesDirectly(e) || now-max(e.lastSeen, t.resumedAt) <= SilentAfter {
			continue
		}
		r := e.ServerRecord
		r.Silent = true
		t.putServer(r, e.lastSeen)
	}
}

// removeExpired removes the hosts and the silent servers that this host last saw
// more than recordRetention ago.
func (t *Table) removeExpired(now time.Duration) {
	for name, h := range t.hosts {
		if name != t.opts.Self.Name && now-h.lastSeen > recordRetention {
			t.unindex(h.version())
			delete(t.hosts, name)
			t.cancelPending(Key{KindHost, name})
		}
	}
	for name, s := range t.servers {
		if s.Silent && now-s.lastSeen > recordRetention {
			t.unindex(s.version())
			delete(t.servers, name)
			t.cancelPending(Key{KindServer, name})
		}
	}
}

// cancelPending drops the pending update and heartbeat of k.
func (t *Table) cancelPending(k Key) {
	delete(t.updates, k)
	delete(t.pendingHeartbeats, k)
}
