package membership

import (
	"maps"
	"slices"
	"time"
)

// sendHeartbeats forwards the heartbeats that arrived since the last call. The
// scope of a heartbeat is a data centre, or empty for all hosts. All heartbeats of
// one scope go to the same few hosts, because a message costs more than the
// heartbeats in it.
func (t *Table) sendHeartbeats(now time.Duration) {
	if len(t.pendingHeartbeats) == 0 {
		return
	}
	batch := map[string][]Heartbeat{}
	centres := t.liveCentres(now)
	targets := map[string][]string{"": t.globalHeartbeatTargets(now)}
	remoteEvery := t.remoteEvery()
	for _, k := range slices.SortedFunc(maps.Keys(t.pendingHeartbeats), Key.compare) {
		heartbeat := t.heartbeat(k)
		scope := ""
		if k.Kind == KindServer && heartbeat.Sequence%remoteEvery != 0 {
			if dc := t.servers[k.Name].DataCentre; centres[dc] > 0 {
				scope = dc
			}
		}
		if _, ok := targets[scope]; !ok {
			targets[scope] = t.pickRandom(t.peers(now, scope), fanout)
		}
		for _, address := range targets[scope] {
			batch[address] = append(batch[address], heartbeat)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(batch)) {
		t.send(Message{To: address, Heartbeats: t.stripRemoteLoads(address, batch[address])})
	}
	clear(t.pendingHeartbeats)
}

// globalHeartbeatTargets returns the addresses to which heartbeats for all hosts are
// sent: fanout hosts, of which remoteHeartbeatTargets are in other data centres if this
// data centre has enough hosts.
func (t *Table) globalHeartbeatTargets(now time.Duration) []string {
	local := t.peers(now, t.opts.Self.DataCentre)
	remote := slices.DeleteFunc(t.peers(now, ""), func(a string) bool { return slices.Contains(local, a) })
	localCount := max(fanout-remoteHeartbeatTargets, fanout-len(remote))
	out := t.pickRandom(local, localCount)
	return append(out, t.pickRandom(remote, fanout-len(out))...)
}

// heartbeat returns the heartbeat for the current state of k.
func (t *Table) heartbeat(k Key) Heartbeat {
	v, _ := t.version(k)
	if k.Kind == KindHost {
		return Heartbeat{ID: v.heartbeatID(), Sequence: t.hosts[k.Name].Sequence}
	}
	s := t.servers[k.Name]
	return Heartbeat{ID: v.heartbeatID(), Sequence: s.Sequence, Load: s.Load}
}

// stripRemoteLoads clears the loads of servers that are not in the receiver's data
// centre, because loads must not leave their data centre.
func (t *Table) stripRemoteLoads(address string, heartbeats []Heartbeat) []Heartbeat {
	dc := t.dataCentreOf(address)
	for i, heartbeat := range heartbeats {
		if k := t.byID[heartbeat.ID]; k.Kind == KindServer && t.servers[k.Name].DataCentre != dc {
			heartbeats[i].Load = Load{}
		}
	}
	return heartbeats
}

// dataCentreOf returns the data centre of the host with a peer address, or an
// empty string if no such host is known.
func (t *Table) dataCentreOf(address string) string {
	for _, h := range t.hosts {
		if h.PeerAddress == address {
			return h.DataCentre
		}
	}
	return ""
}

// sendUpdates forwards each update to a few more hosts and resends it to those
// that did not acknowledge it. With unsentOnly it sends only updates that were not
// sent to any host yet.
func (t *Table) sendUpdates(now time.Duration, unsentOnly bool) {
	t.hasUnsentUpdates = false
	if len(t.updates) == 0 || t.opts.disabled.push {
		return
	}
	centres := t.peersByCentre(now)
	batch := map[string][]Key{}
	for _, k := range slices.SortedFunc(maps.Keys(t.updates), Key.compare) {
		u := t.updates[k]
		if unsentOnly && len(u.sent) > 0 {
			continue
		}
		targets, done := t.updateTargets(now, u, centres)
		for _, address := range targets {
			u.sent[address] = sendAttempts{u.sent[address].count + 1, now}
			batch[address] = append(batch[address], k)
		}
		if done {
			delete(t.updates, k)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(batch)) {
		t.sendRecords(address, batch[address])
	}
}

// centrePeers are the addresses of the other hosts of one data centre that are not
// silent.
type centrePeers struct {
	local     bool
	addresses []string
}

// peersByCentre returns the other hosts that are not silent by data centre, in the
// order of the names of the data centres.
func (t *Table) peersByCentre(now time.Duration) []centrePeers {
	byCentre := map[string][]string{}
	for name, h := range t.hosts {
		if name != t.opts.Self.Name && !t.hostSilent(now, h) {
			byCentre[h.DataCentre] = append(byCentre[h.DataCentre], h.PeerAddress)
		}
	}
	var out []centrePeers
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		slices.Sort(byCentre[dc])
		out = append(out, centrePeers{dc == t.opts.Self.DataCentre, byCentre[dc]})
	}
	return out
}

// updateTargets returns the addresses to send an update to now. done is set if
// nothing remains to be sent or resent for the update.
func (t *Table) updateTargets(now time.Duration, u *update, centres []centrePeers) (addresses []string, done bool) {
	done = true
	for _, c := range centres {
		limit, perRound := maxTargets, fanout
		if !c.local {
			limit, perRound = u.remoteTargets, u.remoteTargets
		}
		targets, centreDone := t.centreTargets(now, u, c.addresses, limit, perRound)
		addresses = append(addresses, targets...)
		done = done && centreDone
	}
	return addresses, done
}

// centreTargets returns the addresses among peers to send an update to now. It is sent
// to at most limit of them, and to perRound in one round. done is set if nothing
// remains to be sent or resent to them.
func (t *Table) centreTargets(now time.Duration, u *update, peers []string, limit, perRound int) (addresses []string, done bool) {
	var unsent []string
	sentCount, waiting := 0, false
	for _, a := range peers {
		s, sent := u.sent[a]
		if sent {
			sentCount++
		}
		switch {
		case u.acknowledgedBy[a] || s.count >= maxSends:
		case !sent:
			unsent = append(unsent, a)
		case t.opts.disabled.resend:
		case now-s.last >= resendAfter:
			addresses = append(addresses, a)
		default:
			waiting = true
		}
	}
	firstSends := t.pickRandom(unsent, min(perRound, max(0, limit-sentCount)))
	return append(addresses, firstSends...), len(addresses) == 0 && len(firstSends) == 0 && !waiting
}

// sendDigests starts a comparison with one host that is not silent and with one
// silent host or unknown seed, so that partitioned groups find each other again.
// A starting host compares with several hosts, and with the seeds.
func (t *Table) sendDigests(now time.Duration) {
	if t.opts.disabled.digest {
		return
	}
	live := t.peers(now, "")
	silent := slices.DeleteFunc(t.allAddresses(), func(a string) bool { return slices.Contains(live, a) })
	if t.Synced(now) {
		live, silent = t.pickRandom(live, 1), t.pickRandom(silent, 1)
	} else {
		_, remaining := t.joinProgress(now)
		live, silent = t.pickRandom(remaining, joinPeers), t.pickRandom(silent, joinPeers)
	}
	for _, address := range append(live, silent...) {
		t.send(Message{To: address, Digest: slices.Clone(t.buckets[:]), Heartbeats: t.ownHeartbeat()})
	}
}

// ownHeartbeat returns this host's heartbeat to send with a digest or difference,
// so that two hosts with equal tables detect each other again after a partition.
func (t *Table) ownHeartbeat() []Heartbeat {
	if t.opts.disabled.ownHeartbeat {
		return nil
	}
	return []Heartbeat{t.heartbeat(Key{KindHost, t.opts.Self.Name})}
}

// allAddresses returns the sorted addresses of the seeds and all other known hosts.
func (t *Table) allAddresses() []string {
	out := t.otherSeeds()
	for _, h := range t.hosts {
		if h.Name != t.opts.Self.Name {
			out = append(out, h.PeerAddress)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// peers returns the sorted addresses of the other hosts that are not silent,
// limited to a data centre if one is given.
func (t *Table) peers(now time.Duration, dataCentre string) []string {
	var out []string
	for name, h := range t.hosts {
		if name == t.opts.Self.Name || t.hostSilent(now, h) || dataCentre != "" && h.DataCentre != dataCentre {
			continue
		}
		out = append(out, h.PeerAddress)
	}
	slices.Sort(out)
	return out
}

// pickRandom returns up to n random elements of list.
func (t *Table) pickRandom(list []string, n int) []string {
	if len(list) <= n {
		return list
	}
	out := make([]string, 0, n)
	for len(out) < n {
		if a := list[t.rand.Intn(len(list))]; !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// sortedKeys returns all keys in a fixed order, so that a run can be repeated.
func (t *Table) sortedKeys() []Key {
	out := make([]Key, 0, len(t.hosts)+len(t.servers))
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		out = append(out, Key{KindHost, name})
	}
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, Key{KindServer, name})
	}
	return out
}

// sendRecords sends the current records of keys in messages of at most
// maxRecords records.
func (t *Table) sendRecords(address string, keys []Key) {
	dc := t.dataCentreOf(address)
	for part := range slices.Chunk(keys, maxRecords) {
		m := Message{To: address}
		for _, k := range part {
			if h, ok := t.hosts[k.Name]; ok && k.Kind == KindHost {
				m.Hosts = append(m.Hosts, h.HostRecord)
			}
			if s, ok := t.servers[k.Name]; ok && k.Kind == KindServer {
				r := s.ServerRecord
				if r.DataCentre != dc {
					r.Load = Load{}
				}
				m.Servers = append(m.Servers, r)
			}
		}
		t.send(m)
	}
}

// send queues m for Ready and sets its sender.
func (t *Table) send(m Message) {
	if m.To == "" || m.To == t.opts.Self.PeerAddress {
		return
	}
	m.From, m.FromAddress, m.Incarnation = t.opts.Self.Name, t.opts.Self.PeerAddress, t.opts.Self.Incarnation
	t.outbox = append(t.outbox, m)
}

// remoteEvery is n if one in n heartbeats of a backend server leaves its data centre.
func (t *Table) remoteEvery() uint64 {
	return max(t.opts.RemoteHeartbeatEvery, uint64(len(t.servers)/serversPerRemoteEvery))
}
