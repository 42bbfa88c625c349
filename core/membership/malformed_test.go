package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawMalformed draws a message with arbitrary fields, as a faulty or foreign sender may
// send it.
func drawMalformed(t *rapid.T, names []string) Message {
	name := rapid.OneOf(rapid.SampledFrom(names), rapid.String())
	number := rapid.OneOf(rapid.Uint64Range(0, 5), rapid.Uint64())
	key := func() Key { return Key{Kind: Kind(rapid.Uint8Range(0, 4).Draw(t, "kind")), Name: name.Draw(t, "name")} }
	m := Message{
		To: name.Draw(t, "to"), From: name.Draw(t, "from"), FromAddress: name.Draw(t, "address"), Incarnation: number.Draw(t, "incarnation"),
		Digest: rapid.SliceOfN(rapid.Uint64(), 0, 2*bucketCount).Draw(t, "digest"),
	}
	for range rapid.IntRange(0, 2).Draw(t, "records") {
		m.Hosts = append(m.Hosts, HostRecord{Revision: number.Draw(t, "revision"), Host: Host{
			Name: name.Draw(t, "name"), DataCentre: name.Draw(t, "centre"), PeerAddress: name.Draw(t, "address"),
			Incarnation: number.Draw(t, "incarnation"), Sequence: number.Draw(t, "sequence"),
		}})
		m.Servers = append(m.Servers, ServerRecord{Revision: number.Draw(t, "revision"), Silent: rapid.Bool().Draw(t, "silent"), Server: Server{
			Name: name.Draw(t, "name"), DataCentre: name.Draw(t, "centre"), Incarnation: number.Draw(t, "incarnation"), Sequence: number.Draw(t, "sequence"),
		}})
		m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: number.Draw(t, "id"), Sequence: number.Draw(t, "sequence")})
		m.RequestedKeys = append(m.RequestedKeys, key())
	}
	if rapid.Bool().Draw(t, "difference") {
		m.Difference = &Difference{Incarnation: number.Draw(t, "incarnation"), Buckets: rapid.SliceOfN(rapid.Uint32(), 0, 4).Draw(t, "buckets")}
		m.Difference.Versions = append(m.Difference.Versions, Version{Key: key(), Incarnation: number.Draw(t, "incarnation"), Revision: number.Draw(t, "revision")})
	}
	return m
}

// TestMalformedMessages guards against a message of a faulty sender that ends the
// process of the host that receives it.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, servers := drawNetwork(t, 3), drawServers(t)
		net.run(2*time.Second, servers)
		var names []string
		for _, h := range net.hosts {
			names = append(names, h.host.Name, h.host.PeerAddress)
		}
		names = append(names, servers[0].Name, "")
		target := net.hosts[0].table
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			target.Step(net.now, drawMalformed(t, names))
			target.Tick(net.now + time.Second)
			target.Ready(net.now + time.Second)
		}
	})
}
