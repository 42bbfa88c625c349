package peer

import (
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

func gossipToProto(m membership.Message) *peerpb.GossipMessage {
	out := &peerpb.GossipMessage{
		From: m.From, FromAddress: m.FromAddress, Incarnation: m.Incarnation, Digest: m.Digest, Beats: heartbeatsToProto(m.Heartbeats),
	}
	for _, h := range m.Hosts {
		out.Hosts = append(out.Hosts, hostToProto(h))
	}
	for _, s := range m.Servers {
		out.Servers = append(out.Servers, serverToProto(s))
	}
	if d := m.Difference; d != nil {
		out.Difference = &peerpb.Difference{Incarnation: d.Incarnation, Buckets: d.Buckets}
		for _, v := range d.Versions {
			out.Difference.Versions = append(out.Difference.Versions, &peerpb.Version{
				Kind: uint32(v.Key.Kind), Name: v.Key.Name, Incarnation: v.Incarnation, Revision: v.Revision, Silent: v.Silent,
			})
		}
	}
	for _, k := range m.RequestedKeys {
		out.Want = append(out.Want, &peerpb.Key{Kind: uint32(k.Kind), Name: k.Name})
	}
	return out
}

func gossipFromProto(m *peerpb.GossipMessage) membership.Message {
	out := membership.Message{
		From: m.From, FromAddress: m.FromAddress, Incarnation: m.Incarnation, Digest: m.Digest, Heartbeats: heartbeatsFromProto(m.Beats),
	}
	for _, h := range m.Hosts {
		out.Hosts = append(out.Hosts, hostFromProto(h))
	}
	for _, s := range m.Servers {
		out.Servers = append(out.Servers, serverFromProto(s))
	}
	if d := m.Difference; d != nil {
		out.Difference = &membership.Difference{Incarnation: d.Incarnation, Buckets: d.Buckets}
		for _, v := range d.Versions {
			out.Difference.Versions = append(out.Difference.Versions, membership.Version{
				Key: membership.Key{Kind: membership.Kind(v.Kind), Name: v.Name}, Incarnation: v.Incarnation, Revision: v.Revision, Silent: v.Silent,
			})
		}
	}
	for _, k := range m.Want {
		out.RequestedKeys = append(out.RequestedKeys, membership.Key{Kind: membership.Kind(k.Kind), Name: k.Name})
	}
	return out
}

// valuesPerLoad is the number of integers that encode one load in a heartbeat
// message: running requests, queued requests and used KV memory in MiB.
const valuesPerLoad = 3

// heartbeatsToProto returns nil for an empty list, and omits the loads if all are
// zero.
func heartbeatsToProto(list []membership.Heartbeat) *peerpb.Beats {
	if len(list) == 0 {
		return nil
	}
	out := &peerpb.Beats{}
	anyLoad := false
	for _, b := range list {
		out.Ids = append(out.Ids, b.ID)
		out.Sequences = append(out.Sequences, b.Sequence)
		out.Loads = append(out.Loads, int64(b.Load.Running), int64(b.Load.Queued), b.Load.KVUsedMiB)
		anyLoad = anyLoad || b.Load != (membership.Load{})
	}
	if !anyLoad {
		out.Loads = nil
	}
	return out
}

// heartbeatsFromProto returns nil for a message whose lists of IDs and sequence
// numbers differ in length, and ignores a list of loads of the wrong length.
func heartbeatsFromProto(m *peerpb.Beats) []membership.Heartbeat {
	if m == nil || len(m.Ids) != len(m.Sequences) {
		return nil
	}
	out := make([]membership.Heartbeat, len(m.Ids))
	for i := range out {
		out[i] = membership.Heartbeat{ID: m.Ids[i], Sequence: m.Sequences[i]}
		if len(m.Loads) == valuesPerLoad*len(m.Ids) {
			load := m.Loads[valuesPerLoad*i:]
			out[i].Load = membership.Load{Running: int(load[0]), Queued: int(load[1]), KVUsedMiB: load[2]}
		}
	}
	return out
}

func hostToProto(h membership.HostRecord) *peerpb.HostRecord {
	return &peerpb.HostRecord{
		Name: h.Name, DataCentre: h.DataCentre, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		Incarnation: h.Incarnation, Sequence: h.Sequence, Revision: h.Revision,
		Control: h.Control, Ready: h.Ready, Leaving: h.Leaving,
	}
}

func hostFromProto(h *peerpb.HostRecord) membership.HostRecord {
	return membership.HostRecord{Revision: h.Revision, Host: membership.Host{
		Name: h.Name, DataCentre: h.DataCentre, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		Incarnation: h.Incarnation, Sequence: h.Sequence,
		Control: h.Control, Ready: h.Ready, Leaving: h.Leaving,
	}}
}

func serverToProto(s membership.ServerRecord) *peerpb.ServerRecord {
	out := &peerpb.ServerRecord{
		Name: s.Name, Service: s.Service, Kind: string(s.Kind), DataCentre: s.DataCentre, Address: s.Address,
		Incarnation: s.Incarnation, Sequence: s.Sequence, Revision: s.Revision, Silent: s.Silent,
		Accelerators: int64(s.Accelerators), MemoryMib: s.MemoryMiB, Engine: s.Engine,
		ChecksFencing: s.ChecksFencing, NewestOrder: s.NewestOrder, Leaving: s.Leaving, SoftwareVersion: s.SoftwareVersion,
		ModelsSequence: s.ModelsSequence,
	}
	for _, r := range s.Models {
		out.Models = append(out.Models, &peerpb.ModelReport{
			Model: r.Model, Adapter: r.Adapter, Version: r.Version, Phase: string(r.Phase), Order: r.Order,
		})
	}
	for _, c := range s.Cached {
		out.Cached = append(out.Cached, &peerpb.Checkpoint{Model: c.Model, Version: c.Version, Tier: string(c.Tier)})
	}
	if s.Load != (membership.Load{}) {
		out.Load = &peerpb.Load{Running: int64(s.Load.Running), Queued: int64(s.Load.Queued), KvUsedMib: s.Load.KVUsedMiB}
	}
	return out
}

func serverFromProto(s *peerpb.ServerRecord) membership.ServerRecord {
	out := membership.ServerRecord{Revision: s.Revision, Silent: s.Silent, ModelsSequence: s.ModelsSequence, Server: membership.Server{
		Name: s.Name, Service: s.Service, Kind: config.ServiceKind(s.Kind), DataCentre: s.DataCentre, Address: s.Address,
		Incarnation: s.Incarnation, Sequence: s.Sequence, Accelerators: int(s.Accelerators), MemoryMiB: s.MemoryMib,
		Engine: s.Engine, ChecksFencing: s.ChecksFencing, NewestOrder: s.NewestOrder, Leaving: s.Leaving,
		SoftwareVersion: s.SoftwareVersion,
	}}
	for _, r := range s.Models {
		out.Models = append(out.Models, membership.ModelReport{
			Model: r.Model, Adapter: r.Adapter, Version: r.Version, Phase: membership.ReportPhase(r.Phase), Order: r.Order,
		})
	}
	for _, c := range s.Cached {
		out.Cached = append(out.Cached, membership.Checkpoint{Model: c.Model, Version: c.Version, Tier: membership.Tier(c.Tier)})
	}
	if l := s.Load; l != nil {
		out.Load = membership.Load{Running: int(l.Running), Queued: int(l.Queued), KVUsedMiB: l.KvUsedMib}
	}
	return out
}
