package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/origin"
)

// Phase is the stage of a placement.
type Phase string

// Phases of a placement. Every phase occupies a replica slot and memory.
const (
	// PhaseLoading: a load intent is open.
	PhaseLoading Phase = "loading"
	// PhaseReady: the server has reported that the load is complete.
	PhaseReady Phase = "ready"
	// PhaseUnloading: an unload intent is open.
	PhaseUnloading Phase = "unloading"
	// PhaseHeld: the model or adapter is not loaded, but a copy of the load order
	// may still be executed by a server process that does not reject it by its
	// fencing number.
	PhaseHeld Phase = "held"
	// PhaseSurplus: the server reports the model or adapter as loaded, but no load
	// intent asked for it, or its unload order was rejected. It receives no
	// requests and is to be unloaded.
	PhaseSurplus Phase = "surplus"
)

// PlacementKey identifies a placement. Adapter is empty for the placement of a model.
type PlacementKey struct {
	Server, Model, Adapter string
}

// MarshalText makes the key usable as a JSON object key.
func (k PlacementKey) MarshalText() ([]byte, error) {
	return json.Marshal([3]string{k.Server, k.Model, k.Adapter})
}

// UnmarshalText is the inverse of MarshalText.
func (k *PlacementKey) UnmarshalText(b []byte) error {
	var a [3]string
	if err := json.Unmarshal(b, &a); err != nil {
		return err
	}
	k.Server, k.Model, k.Adapter = a[0], a[1], a[2]
	return nil
}

// Placement is a model or adapter on a server, or an open intent to load or unload
// it.
type Placement struct {
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
	MemoryMiB   int64  `json:"memory_mib"`
	Phase       Phase  `json:"phase"`
	// Fence is the fencing number of the newest intent: its log index.
	Fence uint64 `json:"fence"`
	// Copies are the copies of load orders that may still be sent or in flight.
	Copies []Copy `json:"copies,omitempty"`
	// MinSequence is the announcement sequence number that a report must exceed
	// to reflect every copy of an order that was executed.
	MinSequence uint64 `json:"min_sequence,omitempty"`
}

// Copy permits its sender to send a load order once. Index is the log index of the
// command that added it.
type Copy struct {
	HostProcess
	Index uint64 `json:"index"`
}

// Server is a registered backend server.
type Server struct {
	Register
	// Lost is set when the incarnation has ended or is presumed lost.
	Lost bool `json:"lost,omitempty"`
}

// Change records an accepted configuration change, so that a resend is recognised.
type Change struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Digest distinguishes a resend from another change with the same id.
	Digest uint64 `json:"digest"`
}

// ClaimRecord is a claim and, once known, its outcome.
type ClaimRecord struct {
	Claim
	Outcome *Outcome `json:"outcome,omitempty"`
}

// SuspectRecord holds the crashes and the trial of a suspect request or part.
type SuspectRecord struct {
	// Crashes lists the server incarnations that ended with the request, or a request
	// with the part, in flight, each as "server/incarnation".
	Crashes []string `json:"crashes"`
	// Trial is the current trial, if any. It may have expired.
	Trial *Trial `json:"trial,omitempty"`
	// Quarantined requests are rejected by every host.
	Quarantined bool `json:"quarantined,omitempty"`
	// LastIndex is the log index of the newest crash.
	LastIndex uint64 `json:"last_index,omitempty"`
	// Part holds what is recorded of parts and of whole requests. It is nil for a request
	// whose crashes an older program recorded.
	Part *PartRecord `json:"part,omitempty"`
}

// Result is the result of applying one command.
type Result struct {
	Index uint64 `json:"index"`
	// Version is the configuration version that the change of a Configure created, or
	// the current one after a version conflict. After a Publish it is the version of
	// the current route table.
	Version uint64 `json:"version,omitempty"`
	// Outcome is the recorded outcome after a Claim that is a resend.
	Outcome *Outcome `json:"outcome,omitempty"`
	// PreviousLeader is the process that was the leader before a RecordLeader.
	PreviousLeader *HostProcess `json:"before,omitempty"`
	Rejection      *Rejection   `json:"rejection,omitempty"`
}

// Err returns the rejection as an error, or nil.
func (r Result) Err() error {
	if r.Rejection == nil {
		return nil
	}
	return r.Rejection
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	Index      uint64                     `json:"index"`
	ClockMS    int64                      `json:"clock_ms"`
	Config     config.Configuration       `json:"config"`
	Changes    []Change                   `json:"changes,omitempty"`
	Servers    map[string]Server          `json:"servers"`
	Placements map[PlacementKey]Placement `json:"placements"`
	Claims     map[string]ClaimRecord     `json:"claims"`
	// Suspects contains suspect requests by fingerprint and parts by PartKey.
	Suspects map[string]SuspectRecord `json:"suspects"`
	// SuspectsIndex is the index of the command that last changed Suspects.
	SuspectsIndex uint64 `json:"suspects_index,omitempty"`
	// Ended contains the server processes that were found to have ended, by server
	// name.
	Ended map[string]EndedProcess `json:"ended,omitempty"`

	// Leader is the process that most recently became the leader.
	Leader HostProcess `json:"leader,omitzero"`

	// Published is the current route table, if any.
	Published *Publish `json:"published,omitempty"`

	// SoftwareVersions are the admitted software versions of servers. The map and its
	// lists are replaced and never modified, since copies of the state share them.
	SoftwareVersions origin.Admitted `json:"software_versions,omitempty"`

	// Learned is the data about loads and arrivals that a leader stored last.
	Learned json.RawMessage `json:"learned,omitempty"`

	// ExpiredMS is a time in Unix milliseconds. Claims on keys that were created
	// before it have been removed, so such keys are rejected even after the
	// retention is raised.
	ExpiredMS int64 `json:"expired_ms"`
}

// maxChangeRecords is the maximum number of accepted changes that are kept. A resend
// of an older change gets a version conflict, which is also safe.
const maxChangeRecords = 4096

// New returns an empty state.
func New() *State {
	return &State{
		Servers:    map[string]Server{},
		Placements: map[PlacementKey]Placement{},
		Claims:     map[string]ClaimRecord{},
		Suspects:   map[string]SuspectRecord{},
		Ended:      map[string]EndedProcess{},
	}
}

// Apply executes the command of the log entry at index. Indexes must increase; an
// entry at or below the current index is rejected and changes nothing.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.Index {
		return reject(CodeStale, "log entry %d is already applied", index)
	}
	s.Index = index
	s.ClockMS = max(s.ClockMS, c.UnixMS)
	s.expireClaims()
	r := s.dispatch(c)
	r.Index = index
	return r
}

func (s *State) dispatch(c Command) Result {
	switch {
	case c.Configure != nil:
		return s.configure(*c.Configure)
	case c.Register != nil:
		return s.register(*c.Register)
	case c.MarkLost != nil:
		return s.markLost(*c.MarkLost)
	case c.Load != nil:
		return s.load(*c.Load)
	case c.Unload != nil:
		return s.unload(*c.Unload)
	case c.CloseIntent != nil:
		return s.closeIntent(*c.CloseIntent)
	case c.PermitCopy != nil:
		return s.permitCopy(*c.PermitCopy)
	case c.ResolveCopies != nil:
		return s.resolveCopies(*c.ResolveCopies)
	case c.Adopt != nil:
		return s.adopt(*c.Adopt)
	case c.Claim != nil:
		return s.claim(*c.Claim)
	case c.Outcome != nil:
		return s.outcome(*c.Outcome)
	case c.Suspect != nil, c.Trial != nil, c.ClearSuspect != nil:
		s.SuspectsIndex = s.Index
		return s.dispatchSuspicion(c)
	case c.StoreLearned != nil:
		s.Learned = c.StoreLearned.Data
	case c.RecordLeader != nil:
		previous := s.Leader
		s.Leader = c.RecordLeader.Sender
		return Result{PreviousLeader: &previous}
	case c.Publish != nil:
		return s.publish(*c.Publish)
	case c.SetSoftwareVersion != nil:
		return s.setSoftwareVersion(*c.SetSoftwareVersion)
	}
	return Result{}
}

// Snapshot encodes the state, compressed if it is large.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// Restore decodes a snapshot. An error is of type *DecodeError.
func Restore(data []byte) (*State, error) {
	s := New()
	data, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(data, s)
	}
	if err != nil {
		return nil, &DecodeError{What: "snapshot", Err: err}
	}
	s.makeMaps()
	return s, nil
}

// makeMaps replaces the maps that a snapshot sets to null.
func (s *State) makeMaps() {
	empty := New()
	if s.Servers == nil {
		s.Servers = empty.Servers
	}
	if s.Placements == nil {
		s.Placements = empty.Placements
	}
	if s.Claims == nil {
		s.Claims = empty.Claims
	}
	if s.Suspects == nil {
		s.Suspects = empty.Suspects
	}
	if s.Ended == nil {
		s.Ended = empty.Ended
	}
}

// Hash returns a digest of the state, for comparison between members of the
// consensus group. Equal states have equal digests, because JSON objects are written with
// sorted keys.
func (s *State) Hash() string {
	data, err := json.Marshal(s)
	if err != nil {
		return "state cannot be encoded: " + err.Error()
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ForFollowers returns a copy of the state without claims and without the document of the
// published route table, for entry hosts that follow the log. Maps are cloned. The configuration
// and the route table are shared with s and never modified.
func (s *State) ForFollowers() *State {
	c := *s
	c.Published = s.Published.withoutSource()
	c.Claims = map[string]ClaimRecord{}
	c.Servers = maps.Clone(s.Servers)
	c.Placements = maps.Clone(s.Placements)
	c.Suspects = maps.Clone(s.Suspects)
	c.Ended = maps.Clone(s.Ended)
	return &c
}

// ForMembers returns a copy of the state for the snapshots of the consensus group. It leaves
// nothing out. What ForFollowers shares with s is shared here too.
func (s *State) ForMembers() *State {
	c := s.ForFollowers()
	c.Claims = maps.Clone(s.Claims)
	c.Published = s.Published
	return c
}

func (s *State) configure(c Configure) Result {
	if ch, ok := s.FindAccepted(c); ok {
		return Result{Version: ch.Version}
	}
	if slices.ContainsFunc(s.Changes, func(ch Change) bool { return ch.ID == c.ChangeID }) {
		return reject(CodeKeyReused, "change id %q was already used for another change", c.ChangeID)
	}
	if c.Expected != s.Config.Version {
		return s.versionConflict(c)
	}
	next := c.Next.Sorted()
	if c.Patch != nil {
		next = c.Patch.Apply(s.Config)
	}
	next.Version = s.Config.Version + 1
	s.Config = next
	s.Changes = append(s.Changes, Change{ID: c.ChangeID, Version: next.Version, Digest: digestOf(c)})
	if len(s.Changes) > maxChangeRecords {
		s.Changes = append([]Change(nil), s.Changes[len(s.Changes)-maxChangeRecords:]...)
	}
	return Result{Version: next.Version}
}

// FindAccepted returns the accepted change of which c is a resend, if any.
func (s *State) FindAccepted(c Configure) (Change, bool) {
	i := slices.IndexFunc(s.Changes, func(ch Change) bool { return ch.ID == c.ChangeID })
	if i < 0 || s.Changes[i].Digest != digestOf(c) {
		return Change{}, false
	}
	return s.Changes[i], true
}

// digestOf returns the digest of a change. If c contains none, it is computed from what
// is equal in a resend: the change id, the expected version and the next configuration.
func digestOf(c Configure) uint64 {
	if c.Digest != 0 {
		return c.Digest
	}
	c.Next = c.Next.Sorted()
	c.Next.Version = 0
	data, err := json.Marshal(Configure{ChangeID: c.ChangeID, Expected: c.Expected, Next: c.Next})
	if err != nil {
		return 0
	}
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:8])
}

// versionConflict rejects a change and names the change that took the version after
// the expected one, if it is still known.
func (s *State) versionConflict(c Configure) Result {
	r := reject(CodeVersionConflict, "expected version %d, current version is %d", c.Expected, s.Config.Version)
	for _, ch := range s.Changes {
		if ch.Version == c.Expected+1 {
			r.Rejection.Winner = ch.ID
		}
	}
	r.Version = s.Config.Version
	return r
}
