package consensus

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawMessage draws a message with arbitrary fields, as a faulty or foreign sender may
// send it.
func drawMessage(t *rapid.T, ids []uint64) Message {
	number := rapid.OneOf(rapid.Uint64Range(0, 12), rapid.Uint64())
	id := rapid.OneOf(rapid.SampledFrom(ids), rapid.Uint64())
	m := Message{
		Kind: MessageKind(rapid.Uint8Range(0, 12).Draw(t, "kind")), From: id.Draw(t, "from"), To: id.Draw(t, "to"),
		Term: rapid.Uint64Range(0, 6).Draw(t, "term"), LogIndex: number.Draw(t, "log index"), LogTerm: rapid.Uint64Range(0, 6).Draw(t, "log term"),
		Commit: number.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"), Hint: number.Draw(t, "hint"),
		Transfer: rapid.Bool().Draw(t, "transfer"), SentAt: time.Duration(rapid.Int64().Draw(t, "sent at")),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		m.Entries = append(m.Entries, Entry{
			Index: number.Draw(t, "index"), Term: rapid.Uint64Range(0, 6).Draw(t, "term"),
			Kind: EntryKind(rapid.Uint8Range(0, 4).Draw(t, "kind")), Data: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "data"),
		})
	}
	if rapid.Bool().Draw(t, "snapshot") {
		m.Snapshot = &Snapshot{Index: number.Draw(t, "snapshot index"), Term: rapid.Uint64Range(0, 6).Draw(t, "snapshot term")}
	}
	return m
}

// TestMalformedMessages guards against a message of a faulty sender that ends the
// process of the member that receives it. The member may refuse the message or lose its
// leadership.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), 3, 3)
		s.startAll()
		s.propose(3)
		s.run(simElectionTimeout)
		var ids []uint64
		for _, m := range s.members {
			ids = append(ids, m.ID)
		}
		target := s.members[rapid.IntRange(0, 2).Draw(t, "target")]
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			_ = target.node.Step(target.now(), drawMessage(t, ids))
			target.node.Tick(target.now() + simElectionTimeout)
			target.node.Advance(target.node.Ready())
		}
	})
}
