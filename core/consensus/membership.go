package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Member is one member of the group. ID is a random number stored in the
// member's data folder; a host whose data folder was emptied gets a new id.
type Member struct {
	ID          uint64 `json:"id"`
	Host        string `json:"host"`
	PeerAddress string `json:"peer_address"`
}

// Repair names the lost voter and the spare that replaces it, so that a new
// leader finishes the same repair.
type Repair struct {
	Lost  uint64 `json:"lost"`
	Spare uint64 `json:"spare"`
}

// Membership is the set of members. It takes effect on a member when it is
// appended to the log, and one change is committed before the next is appended.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
	Repair   *Repair  `json:"repair,omitempty"`
}

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// IsVoter reports whether id has a vote.
func (m Membership) IsVoter(id uint64) bool { return indexOf(m.Voters, id) >= 0 }

// IsLearner reports whether id receives the log without a vote.
func (m Membership) IsLearner(id uint64) bool { return indexOf(m.Learners, id) >= 0 }

// All returns voters and learners.
func (m Membership) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// Member returns the voter or learner with the id.
func (m Membership) Member(id uint64) (Member, bool) {
	for _, member := range m.All() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) clone() Membership {
	c := Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	if m.Repair != nil {
		r := *m.Repair
		c.Repair = &r
	}
	return c
}

func indexOf(members []Member, id uint64) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func without(members []Member, id uint64) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

// encodeMembership encodes m. Encoding cannot fail, because Membership consists
// of numbers and strings only.
func encodeMembership(m Membership) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("consensus: encode membership: %v", err))
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return m, &LogError{Reason: "decode membership entry: " + err.Error()}
	}
	return m, nil
}
