package membership

import (
	"maps"
	"slices"
	"time"
)

// sendBeats passes on the confirmations that arrived since the last time. All of
// them go to the same few hosts, because small messages cost more than beats.
func (t *Table) sendBeats(now time.Duration) {
	if len(t.beats) == 0 {
		return
	}
	batch := map[string][]Beat{}
	centres := t.heardCentres(now)
	targets := map[string][]string{"": t.pick(t.peers(now, ""), fanout)}
	wideEvery := max(t.opts.WideBeats, uint64(len(t.servers)/serversPerBeat))
	for _, k := range slices.SortedFunc(maps.Keys(t.beats), Key.compare) {
		b := t.beat(k)
		scope := ""
		if k.Kind == KindServer && b.Sequence%wideEvery != 0 {
			if dc := t.servers[k.Name].DataCentre; centres[dc] > 0 {
				scope = dc
			}
		}
		if _, ok := targets[scope]; !ok {
			targets[scope] = t.pick(t.peers(now, scope), fanout)
		}
		for _, address := range targets[scope] {
			batch[address] = append(batch[address], b)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(batch)) {
		t.send(Message{To: address, Beats: t.localLoads(address, batch[address])})
	}
	clear(t.beats)
}

func (t *Table) beat(k Key) Beat {
	v, _ := t.version(k)
	if k.Kind == KindHost {
		return Beat{ID: v.beatID(), Sequence: t.hosts[k.Name].Sequence}
	}
	s := t.servers[k.Name]
	return Beat{ID: v.beatID(), Sequence: s.Sequence, Load: s.Load}
}

// localLoads removes the loads that must not leave their data centre.
func (t *Table) localLoads(address string, beats []Beat) []Beat {
	dc := t.centreOf(address)
	for i, b := range beats {
		if k := t.byID[b.ID]; k.Kind == KindServer && t.servers[k.Name].DataCentre != dc {
			beats[i].Load = Load{}
		}
	}
	return beats
}

func (t *Table) centreOf(address string) string {
	for _, h := range t.hosts {
		if h.PeerAddress == address {
			return h.DataCentre
		}
	}
	return ""
}

// sendRumors passes each new state on to a few more hosts and repeats it to
// those that did not confirm it; with firstOnly, only the states that were not
// sent yet.
func (t *Table) sendRumors(now time.Duration, firstOnly bool) {
	t.fresh = false
	peers := t.peers(now, "")
	if len(t.rumors) == 0 || len(peers) == 0 || t.opts.off.push {
		return
	}
	batch := map[string][]Key{}
	for _, k := range slices.SortedFunc(maps.Keys(t.rumors), Key.compare) {
		r := t.rumors[k]
		if firstOnly && len(r.sent) > 0 {
			continue
		}
		targets, done := t.targets(now, r, peers)
		for _, address := range targets {
			r.sent[address] = sends{r.sent[address].count + 1, now}
			batch[address] = append(batch[address], k)
		}
		if done {
			delete(t.rumors, k)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(batch)) {
		t.sendRecords(address, batch[address])
	}
}

// targets returns the hosts to send a rumor to now, and whether nothing
// remains to be done for it.
func (t *Table) targets(now time.Duration, r *rumor, peers []string) (out []string, done bool) {
	var untold []string
	waiting := false
	for _, a := range peers {
		s, sent := r.sent[a]
		switch {
		case r.told[a] || s.count >= maxSends:
		case !sent:
			untold = append(untold, a)
		case t.opts.off.resend:
		case now-s.last >= resendAfter:
			out = append(out, a)
		default:
			waiting = true
		}
	}
	more := t.pick(untold, min(fanout, max(0, maxTargets-len(r.sent))))
	return append(out, more...), len(out) == 0 && len(more) == 0 && !waiting
}

// sendDigests starts a comparison with one host that is heard from and with
// one address that is not, so that separated groups find each other again. A
// starting host compares with several, and with the seeds.
func (t *Table) sendDigests(now time.Duration) {
	if t.opts.off.digest {
		return
	}
	live := t.peers(now, "")
	lost := slices.DeleteFunc(t.allAddresses(), func(a string) bool { return slices.Contains(live, a) })
	if t.Synced(now) {
		live, lost = t.pick(live, 1), t.pick(lost, 1)
	} else {
		_, open := t.joined(now)
		live, lost = t.pick(open, joinPeers), t.pick(lost, joinPeers)
	}
	for _, address := range append(live, lost...) {
		t.send(Message{To: address, Digest: slices.Clone(t.buckets[:]), Beats: t.ownBeat()})
	}
}

// ownBeat accompanies a comparison, so that two separated hosts that hold equal
// tables hear each other again.
func (t *Table) ownBeat() []Beat {
	if t.opts.off.ownBeat {
		return nil
	}
	return []Beat{t.beat(Key{KindHost, t.opts.Self.Name})}
}

func (t *Table) allAddresses() []string {
	out := t.seeds()
	for _, h := range t.hosts {
		if h.Name != t.opts.Self.Name {
			out = append(out, h.PeerAddress)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// peers returns the addresses of the other hosts that are heard from, in order,
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

// pick returns up to n random elements of list.
func (t *Table) pick(list []string, n int) []string {
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

// keys returns all keys in a fixed order, so that a run can be repeated.
func (t *Table) keys() []Key {
	out := make([]Key, 0, len(t.hosts)+len(t.servers))
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		out = append(out, Key{KindHost, name})
	}
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, Key{KindServer, name})
	}
	return out
}

// sendRecords sends the current records of keys in messages of bounded size.
func (t *Table) sendRecords(address string, keys []Key) {
	dc := t.centreOf(address)
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

func (t *Table) send(m Message) {
	if m.To == "" || m.To == t.opts.Self.PeerAddress {
		return
	}
	m.From, m.FromAddress, m.Incarnation = t.opts.Self.Name, t.opts.Self.PeerAddress, t.opts.Self.Incarnation
	t.out = append(t.out, m)
}
