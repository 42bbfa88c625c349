// Package state is the state machine that the replicated log applies:
// configuration, backend server registry, placements with their order intents,
// claims on non-idempotent requests, and quarantined requests. Apply is
// deterministic and performs no I/O.
package state

import (
	"encoding/json"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Command is one log entry's payload. Exactly one field besides UnixMS is set;
// a command with none is a no-op.
type Command struct {
	// UnixMS is the proposer's wall clock in milliseconds. The state keeps the
	// highest value seen, so its clock never goes back.
	UnixMS    int64      `json:"unix_ms,omitempty"`
	Configure *Configure `json:"configure,omitempty"`
	Register  *Register  `json:"register,omitempty"`
	Lose      *Lose      `json:"lose,omitempty"`
	Load      *Load      `json:"load,omitempty"`
	Unload    *Unload    `json:"unload,omitempty"`
	Settle    *Settle    `json:"settle,omitempty"`
	Attempt   *Attempt   `json:"attempt,omitempty"`
	Resolve   *Resolve   `json:"resolve,omitempty"`
	Adopt     *Adopt     `json:"adopt,omitempty"`
	Claim     *Claim     `json:"claim,omitempty"`
	Outcome   *Outcome   `json:"outcome,omitempty"`
	Suspect   *Suspect   `json:"suspect,omitempty"`
	Trial     *Trial     `json:"trial,omitempty"`
	Acquit    *Acquit    `json:"acquit,omitempty"`
	Learn     *Learn     `json:"learn,omitempty"`
	Publish   *Publish   `json:"publish,omitempty"`
	Lead      *Lead      `json:"lead,omitempty"`
}

// Configure changes the configuration if Expected is the current version.
type Configure struct {
	ChangeID string `json:"change_id"`
	Expected uint64 `json:"expected"`
	// Next is the whole next configuration, unless Patch is set.
	Next config.Configuration `json:"next,omitzero"`
	// Patch turns the configuration with the version Expected into the next.
	Patch *config.Patch `json:"patch,omitempty"`
	// Digest identifies the whole next configuration. Zero stands for that of
	// Next.
	Digest uint64 `json:"digest,omitempty"`
}

// NewConfigure returns the command for a change, as a patch if the proposer
// holds the expected version. The digest is the same either way, so that a
// resend through another host is recognised.
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

// Register records a backend server incarnation. A newer incarnation proves
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

// Lose records that a server incarnation has ended or is presumed lost.
type Lose struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
}

// Sender names the control host process that may send an order.
type Sender struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Load opens an intent to load a model, or an adapter when Adapter is set.
type Load struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Sender      Sender `json:"sender"`
}

// Unload opens an intent to unload what Load placed.
type Unload struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Sender      Sender `json:"sender"`
}

// Settle closes an intent from a server's report that already covers the
// intent's fencing number. Loaded is what the server reported.
type Settle struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Fence       uint64 `json:"fence"`
	Loaded      bool   `json:"loaded"`
	// Sequence is the announcement sequence of the report.
	Sequence uint64 `json:"sequence"`
}

// Attempt permits one more copy of an open intent's order, before it is sent.
type Attempt struct {
	Server  string `json:"server"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Fence   uint64 `json:"fence"`
	Sender  Sender `json:"sender"`
}

// Resolve records that copies of an order are no longer in flight: the copy
// with the given Index or, if Index is zero, every copy that the sender's
// process or an older process of its host could have sent to the server.
type Resolve struct {
	Server  string `json:"server"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Index   uint64 `json:"index,omitempty"`
	Sender  Sender `json:"sender"`
	// Sequence is the announcement sequence by which the server process with
	// the given Incarnation, or an earlier one, had executed the copy, if it
	// ever did. Only a later report reflects it.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Sequence    uint64 `json:"sequence,omitempty"`
}

// Adopt records a model that a server reports without a placement, such as
// after it was presumed lost and came back.
type Adopt struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version"`
}

// Claim reserves the only execution of a non-idempotent request.
type Claim struct {
	Key       string `json:"key"`
	Caller    string `json:"caller"`
	CreatedMS int64  `json:"created_ms"`
	// Fingerprint is the hash of the request; a key reused for another request
	// is refused.
	Fingerprint string `json:"fingerprint"`
	Holder      Sender `json:"holder"`
	// ExpiresMS is when the holder has stopped working on the request, in Unix
	// milliseconds. After it a claim without an outcome is unknown, so that the
	// death of the holder does not leave it in progress. Zero never expires.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Nonce tells apart the claims that one holder makes on the same key.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Outcome records the result of a claimed request. An empty Body with
// Unknown set records that the execution's outcome cannot be known.
type Outcome struct {
	Key     string `json:"key"`
	Caller  string `json:"caller"`
	Holder  Sender `json:"holder"`
	Status  int    `json:"status,omitempty"`
	Type    string `json:"type,omitempty"`
	Body    []byte `json:"body,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	// NotRun releases the claim: the request was proven not to have run.
	NotRun bool `json:"not_run,omitempty"`
	// Nonce is that of the claim. Zero matches any claim if Unknown is set.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Suspect marks the requests that were in flight on a server that died. There
// may be none.
type Suspect struct {
	Server       string   `json:"server"`
	Incarnation  uint64   `json:"incarnation"`
	Fingerprints []string `json:"fingerprints"`
	// Sequence is the newest announcement that the proposer knew. A later one
	// shows that the process runs after all.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Trial reserves the lone rerun of a suspect on one server.
type Trial struct {
	Fingerprint string `json:"fingerprint"`
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	Holder      Sender `json:"holder"`
	Nonce       uint64 `json:"nonce,omitempty"`
	// ExpiresMS ends the trial of a holder that died, in Unix milliseconds. The
	// holder ends its attempt before. Zero never expires.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
	// Release ends the same trial without a verdict.
	Release bool `json:"release,omitempty"`
}

// Acquit clears a suspect after a clean run.
type Acquit struct {
	Fingerprint string `json:"fingerprint"`
}

// Lead records the process that begins to give orders as the leader. The result
// names the one before, so that a new leader knows whose orders may still be
// fresh.
type Lead struct {
	Sender Sender `json:"sender"`
}

// Learn keeps what the leader has learned of loads and arrivals for its
// successors. The state does not look into it.
type Learn struct {
	Data json.RawMessage `json:"data"`
}

// EncodeCommand returns the log form of c.
func EncodeCommand(c Command) ([]byte, error) { return json.Marshal(c) }

// DecodeCommand parses the log form. Empty data is a no-op command.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if len(data) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, &DecodeError{What: "command", Err: err}
	}
	return c, nil
}

// ForFollowers returns the command as entry hosts without the control role
// receive it: claims, outcomes and what the leader learned are left out, since
// only the consensus group uses them.
func (c Command) ForFollowers() Command {
	c.Claim, c.Outcome, c.Learn = nil, nil, nil
	return c
}
