// Package state implements the state machine to which the replicated log is applied:
// configuration, backend server registry, placements with their order intents,
// claims on non-idempotent requests, and quarantined requests. Apply is
// deterministic and performs no I/O.
package state

import (
	"encoding/json"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Command is the payload of a log entry. At most one field besides UnixMS is set;
// a command with none is a no-op.
type Command struct {
	// UnixMS is the proposer's wall clock in Unix milliseconds. The clock of the
	// state is the highest value applied, so it never goes back.
	UnixMS        int64          `json:"unix_ms,omitempty"`
	Configure     *Configure     `json:"configure,omitempty"`
	Register      *Register      `json:"register,omitempty"`
	MarkLost      *MarkLost      `json:"lose,omitempty"`
	Load          *Load          `json:"load,omitempty"`
	Unload        *Unload        `json:"unload,omitempty"`
	CloseIntent   *CloseIntent   `json:"settle,omitempty"`
	PermitCopy    *PermitCopy    `json:"attempt,omitempty"`
	ResolveCopies *ResolveCopies `json:"resolve,omitempty"`
	Adopt         *Adopt         `json:"adopt,omitempty"`
	Claim         *Claim         `json:"claim,omitempty"`
	Outcome       *Outcome       `json:"outcome,omitempty"`
	Suspect       *Suspect       `json:"suspect,omitempty"`
	Trial         *Trial         `json:"trial,omitempty"`
	ClearSuspect  *ClearSuspect  `json:"acquit,omitempty"`
	StoreLearned  *StoreLearned  `json:"learn,omitempty"`
	Publish       *Publish       `json:"publish,omitempty"`
	RecordLeader  *RecordLeader  `json:"lead,omitempty"`

	SetSoftwareVersion *SetSoftwareVersion `json:"software_version,omitempty"`
}

// Configure replaces the configuration if Expected is its current version.
type Configure struct {
	ChangeID string `json:"change_id"`
	Expected uint64 `json:"expected"`
	// Next is the complete next configuration, unless Patch is set.
	Next config.Configuration `json:"next,omitzero"`
	// Patch turns the configuration with the version Expected into the next.
	Patch *config.Patch `json:"patch,omitempty"`
	// Digest identifies the change. If it is zero, the digest is computed from
	// ChangeID, Expected and Next.
	Digest uint64 `json:"digest,omitempty"`
}

// NewConfigure returns the command for a change. It contains a patch if current has
// the expected version, else the complete next configuration. The digest is the
// same in both cases, so that a resend through another host is recognised.
func NewConfigure(changeID string, expected uint64, current, next config.Configuration) Configure {
	next = next.Sorted()
	next.Version = 0
	c := Configure{ChangeID: changeID, Expected: expected, Next: next}
	c.Digest = digestOf(c)
	if current.Version == expected {
		patch := config.MakePatch(current.Sorted(), next)
		c.Patch, c.Next = &patch, config.Configuration{}
	}
	return c
}

// Register records an incarnation of a backend server. A newer incarnation proves
// that the older process has ended.
type Register struct {
	Server        string             `json:"server"`
	Incarnation   uint64             `json:"incarnation"`
	Service       string             `json:"service"`
	Kind          config.ServiceKind `json:"kind"`
	DataCentre    string             `json:"data_centre"`
	Address       string             `json:"address"`
	MemoryMiB     int64              `json:"memory_mib"`
	ChecksFencing bool               `json:"checks_fencing"`
}

// MarkLost records that an incarnation of a server has ended or is presumed lost.
type MarkLost struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
}

// HostProcess identifies a host process: for an order, the control host process that may
// send it; for a claim or trial, the entry host process that holds it; for the leader,
// the control host process that leads.
type HostProcess struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Load opens an intent to load a model, or an adapter when Adapter is set.
type Load struct {
	Server      string      `json:"server"`
	Incarnation uint64      `json:"incarnation"`
	Model       string      `json:"model"`
	Adapter     string      `json:"adapter,omitempty"`
	Sender      HostProcess `json:"sender"`
}

// Unload opens an intent to unload a model, or an adapter when Adapter is set.
type Unload struct {
	Server      string      `json:"server"`
	Incarnation uint64      `json:"incarnation"`
	Model       string      `json:"model"`
	Adapter     string      `json:"adapter,omitempty"`
	Sender      HostProcess `json:"sender"`
}

// CloseIntent closes the intent with the fencing number Fence, based on a server's
// announcement that covers this number. Loaded is true if the server reported the
// model or adapter as loaded.
type CloseIntent struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Fence       uint64 `json:"fence"`
	Loaded      bool   `json:"loaded"`
	// Sequence is the sequence number of the announcement with the report.
	Sequence uint64 `json:"sequence"`
}

// PermitCopy permits the sender to send one more copy of the order of an open load
// intent. It is committed before the copy is sent.
type PermitCopy struct {
	Server  string      `json:"server"`
	Model   string      `json:"model"`
	Adapter string      `json:"adapter,omitempty"`
	Fence   uint64      `json:"fence"`
	Sender  HostProcess `json:"sender"`
}

// ResolveCopies records that copies of an order are no longer in flight: the copy
// with the given Index or, if Index is zero, every copy that the sender's
// process or an older process of its host could have sent to the server.
type ResolveCopies struct {
	Server  string      `json:"server"`
	Model   string      `json:"model,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Index   uint64      `json:"index,omitempty"`
	Sender  HostProcess `json:"sender"`
	// Sequence is an announcement sequence number of the server process with the
	// given Incarnation. If that process or an earlier one executed the copy at
	// all, it did so before this announcement. Only a later report is certain to
	// reflect the copy.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Sequence    uint64 `json:"sequence,omitempty"`
}

// Adopt records a model or adapter that a server reports although it has no
// placement, for example after the server was presumed lost and came back.
type Adopt struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version"`
}

// Claim reserves the only execution of a non-idempotent request for its holder.
type Claim struct {
	Key       string `json:"key"`
	Caller    string `json:"caller"`
	CreatedMS int64  `json:"created_ms"`
	// Fingerprint is the hash of the request. A key that is reused for another
	// request is rejected.
	Fingerprint string      `json:"fingerprint"`
	Holder      HostProcess `json:"holder"`
	// ExpiresMS is the time, in Unix milliseconds, by which the holder stops
	// executing the request. After it, the outcome of a claim without a recorded
	// one is unknown, so that the claim does not stay in progress if the holder
	// fails. Zero means that the claim never expires.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Nonce distinguishes the claims of one holder on the same key.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Outcome records the result of a claimed request. If Unknown is set, Body is empty
// and the outcome of the execution cannot be determined.
type Outcome struct {
	Key     string      `json:"key"`
	Caller  string      `json:"caller"`
	Holder  HostProcess `json:"holder"`
	Status  int         `json:"status,omitempty"`
	Type    string      `json:"type,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Unknown bool        `json:"unknown,omitempty"`
	// NotRun releases the claim, because the request was proven not to have been
	// executed.
	NotRun bool `json:"not_run,omitempty"`
	// Nonce is the nonce of the claim. If Unknown is set, zero matches any claim.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Suspect records that a server process has ended, and marks the requests that were
// in flight on it as suspects. Fingerprints may be empty.
type Suspect struct {
	Server       string   `json:"server"`
	Incarnation  uint64   `json:"incarnation"`
	Fingerprints []string `json:"fingerprints"`
	// Parts are the parts of the prompt of the only request in Fingerprints that may
	// have caused the end, in their order in the prompt.
	Parts []string `json:"parts,omitempty"`
	// Answered are its parts for which the proposer knows that an answer has begun
	// since the crash recorded before. They are recorded, but are no suspects.
	Answered []string `json:"answered,omitempty"`
	// Trial is the trial as which that request ran, if any.
	Trial *Trial `json:"trial,omitempty"`
	// Sequence is the sequence number of the newest announcement that the
	// proposer knew. A later announcement shows that the process still runs.
	// With zero, only the suspects are marked.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Trial permits one attempt at a suspect request, or at a request with suspect prompt
// parts, on a server that has no other trial. A server with the trial of a suspect
// request receives no other request until the trial ends.
type Trial struct {
	Fingerprint string `json:"fingerprint"`
	// Parts are the suspect parts of the request's prompt. A trial has either Parts or
	// is one of the request with the Fingerprint as a whole.
	Parts       []string    `json:"parts,omitempty"`
	Server      string      `json:"server"`
	Incarnation uint64      `json:"incarnation"`
	Holder      HostProcess `json:"holder"`
	Nonce       uint64      `json:"nonce,omitempty"`
	// ExpiresMS is the time, in Unix milliseconds, at which the trial ends even if
	// its holder has failed. A running holder ends its attempt before. Zero means
	// that the trial never expires.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Release ends the trial whose other fields are equal. The suspect is not
	// cleared, and no crash is recorded for it.
	Release bool `json:"release,omitempty"`
}

// Same reports whether t and other are the same trial.
func (t Trial) Same(other Trial) bool {
	return t.Fingerprint == other.Fingerprint && t.Server == other.Server && t.Incarnation == other.Incarnation &&
		t.Holder == other.Holder && t.Nonce == other.Nonce && t.ExpiresMS == other.ExpiresMS && slices.Equal(t.Parts, other.Parts)
}

// ClearSuspect clears a suspect request after a trial without a crash, or parts
// after a server has begun to write an answer to a request with them.
type ClearSuspect struct {
	Fingerprint string   `json:"fingerprint,omitempty"`
	Parts       []string `json:"parts,omitempty"`
	// SeenIndex is the log index up to which the proposer had applied the log when the
	// answer began: the answer is newer than the crashes recorded up to it.
	SeenIndex uint64 `json:"seen_index,omitempty"`
	// Lift clears the suspects by decision of an operator, also those in quarantine.
	Lift bool `json:"lift,omitempty"`
}

// RecordLeader records the process that becomes the leader and begins to send orders.
// The result names the previous leader, so that the new one knows whose orders may
// still be in flight.
type RecordLeader struct {
	Sender HostProcess `json:"sender"`
}

// StoreLearned stores what the leader has learned about loads and arrivals, for its
// successors. The state machine does not interpret Data.
type StoreLearned struct {
	Data json.RawMessage `json:"data"`
}

// MaxCommandBytes is the largest size of one command before it is compressed. Each host that
// applies a command decodes all of it.
const MaxCommandBytes = 16 << 20

// EncodeCommand returns the encoding of c for the log: JSON, compressed if it is large. It
// returns a *SizeError for a command that is larger than MaxCommandBytes.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxCommandBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return compress(data)
}

// DecodeCommand parses the encoding of a command in the log. Empty data is a no-op
// command. An error is of type *DecodeError.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if len(data) == 0 {
		return c, nil
	}
	data, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		return c, &DecodeError{What: "command", Err: err}
	}
	return c, nil
}

// SameForFollowers reports whether ForFollowers leaves nothing out.
func (c Command) SameForFollowers() bool {
	return c.Claim == nil && c.Outcome == nil && c.StoreLearned == nil && c.Publish == nil
}

// ForFollowers returns the command as it is sent to entry hosts without the control
// role. Claims, outcomes, the learned data of the leader and the documents of operators are
// omitted, because only the consensus group uses them.
func (c Command) ForFollowers() Command {
	c.Claim, c.Outcome, c.StoreLearned = nil, nil, nil
	c.Publish = c.Publish.withoutSource()
	return c
}
