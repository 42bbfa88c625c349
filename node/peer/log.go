package peer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

func commandToProto(c state.Command) (*peerpb.ProposeRequest, error) {
	data, err := state.EncodeCommand(c)
	if err != nil {
		return nil, &MessageError{Part: "command", Err: err}
	}
	return &peerpb.ProposeRequest{Command: data}, nil
}

// resultToProto returns the reply for a proposal that ended with r or err. Every
// error except *control.NotLeaderError is sent as an unknown outcome.
func resultToProto(r state.Result, err error) *peerpb.ProposeReply {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		return &peerpb.ProposeReply{NotLeader: true, Leader: notLeader.Leader}
	}
	var data []byte
	if err == nil {
		data, err = json.Marshal(r)
	}
	if err != nil {
		return &peerpb.ProposeReply{Unknown: err.Error()}
	}
	return &peerpb.ProposeReply{Result: data}
}

// resultFromProto returns the result or error in a reply. A result that cannot be
// decoded is an unknown outcome.
func resultFromProto(r *peerpb.ProposeReply) (state.Result, error) {
	var out state.Result
	switch {
	case r.NotLeader:
		return out, &control.NotLeaderError{Leader: r.Leader}
	case r.Unknown != "":
		return out, &control.OutcomeUnknownError{Reason: r.Unknown}
	}
	if err := json.Unmarshal(r.Result, &out); err != nil {
		return out, &control.OutcomeUnknownError{Reason: "cannot decode the answer to the proposal: " + err.Error()}
	}
	return out, nil
}

func updateToProto(u control.FollowUpdate) *peerpb.FollowUpdate {
	out := &peerpb.FollowUpdate{Snapshot: u.Snapshot}
	for _, e := range u.Entries {
		out.Entries = append(out.Entries, &peerpb.FollowEntry{Index: e.Index, Command: e.Command})
	}
	return out
}

func updateFromProto(u *peerpb.FollowUpdate) control.FollowUpdate {
	out := control.FollowUpdate{Snapshot: u.Snapshot}
	for _, e := range u.Entries {
		out.Entries = append(out.Entries, control.FollowEntry{Index: e.Index, Command: e.Command})
	}
	return out
}

func statusToProto(host string, s control.Status) *peerpb.StatusReply {
	out := &peerpb.StatusReply{
		Host: host, Leader: s.Leader, Term: s.Term, Applied: s.AppliedIndex, Last: s.LastIndex, LeaseValid: s.LeaseValid,
	}
	for _, m := range s.Members {
		if m.Voter {
			out.Voters = append(out.Voters, memberToProto(m.Member))
		} else {
			out.Learners = append(out.Learners, memberToProto(m.Member))
		}
	}
	return out
}

func statusFromProto(r *peerpb.StatusReply) control.Status {
	out := control.Status{Leader: r.Leader, Term: r.Term, AppliedIndex: r.Applied, LastIndex: r.Last, LeaseValid: r.LeaseValid}
	for _, m := range r.Voters {
		out.Members = append(out.Members, control.MemberStatus{Member: memberFromProto(m), Voter: true})
	}
	for _, m := range r.Learners {
		out.Members = append(out.Members, control.MemberStatus{Member: memberFromProto(m)})
	}
	return out
}

func memberToProto(m consensus.Member) *peerpb.Member {
	return &peerpb.Member{Id: m.ID, Host: m.Host, PeerAddress: m.PeerAddress}
}

func memberFromProto(m *peerpb.Member) consensus.Member {
	return consensus.Member{ID: m.GetId(), Host: m.GetHost(), PeerAddress: m.GetPeerAddress()}
}

func membersToProto(list []consensus.Member) []*peerpb.Member {
	var out []*peerpb.Member
	for _, m := range list {
		out = append(out, memberToProto(m))
	}
	return out
}

func membersFromProto(list []*peerpb.Member) []consensus.Member {
	var out []consensus.Member
	for _, m := range list {
		out = append(out, memberFromProto(m))
	}
	return out
}

func consensusToProto(m consensus.Message) *peerpb.ConsensusMessage {
	out := &peerpb.ConsensusMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Transfer: m.Transfer, SentAtNs: int64(m.SentAt),
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerpb.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if s := m.Snapshot; s != nil {
		membership := &peerpb.Membership{Voters: membersToProto(s.Membership.Voters), Learners: membersToProto(s.Membership.Learners)}
		if r := s.Membership.Repair; r != nil {
			membership.Repair = &peerpb.Repair{Lost: r.Lost, Spare: r.Spare}
		}
		out.Snapshot = &peerpb.LogSnapshot{Index: s.Index, Term: s.Term, Membership: membership, Data: s.Data}
	}
	if h := m.Hello; h != nil {
		out.Hello = &peerpb.Hello{Member: memberToProto(h.Member), Formed: h.HasJoinedGroup, Reply: h.Reply, Members: membersToProto(h.Members)}
	}
	return out
}

func consensusFromProto(m *peerpb.ConsensusMessage) consensus.Message {
	out := consensus.Message{
		Kind: consensus.MessageKind(m.Kind), From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Transfer: m.Transfer, SentAt: time.Duration(m.SentAtNs),
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, consensus.Entry{Index: e.Index, Term: e.Term, Kind: consensus.EntryKind(e.Kind), Data: e.Data})
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &consensus.Snapshot{Index: s.Index, Term: s.Term, Data: s.Data, Membership: consensus.Membership{
			Voters: membersFromProto(s.Membership.GetVoters()), Learners: membersFromProto(s.Membership.GetLearners()),
		}}
		if r := s.Membership.GetRepair(); r != nil {
			out.Snapshot.Membership.Repair = &consensus.Repair{Lost: r.Lost, Spare: r.Spare}
		}
	}
	if h := m.Hello; h != nil {
		out.Hello = &consensus.Hello{Member: memberFromProto(h.Member), HasJoinedGroup: h.Formed, Reply: h.Reply, Members: membersFromProto(h.Members)}
	}
	return out
}
