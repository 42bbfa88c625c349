package state

import (
	"bytes"

	"github.com/pollenwheel/pollenwheel/core/delta"
	"github.com/pollenwheel/pollenwheel/core/route"
)

// Publish replaces the route table if its version is higher than that of the current
// one. A lower or equal version changes nothing, but is not rejected, so that a
// resend through any host gets the same result.
type Publish struct {
	Table route.Table `json:"table,omitzero"`
	// Source is the document that the operator sent. It is stored unchanged, so
	// that operators can read it back. It is empty on hosts without the control role: it holds
	// the keys of accounts, which such a host has no use for.
	Source []byte `json:"source,omitempty"`
	// Patch yields the table and the source from the current ones. If it is set, the
	// fields above are not.
	Patch *PublicationPatch `json:"patch,omitempty"`
}

// PublicationPatch is the difference between two publications.
type PublicationPatch struct {
	// Base is the version of the publication that the patch changes. A log holds one
	// publication for each version, so the version identifies its content.
	Base  uint64      `json:"base"`
	Table route.Patch `json:"table"`
	// Source is the difference between the pieces of the documents.
	Source delta.List[[]byte] `json:"source"`
}

// NewPublish returns the command that publishes a table. It holds a patch to current, or
// all of the table if there is no current one or the patch is not smaller.
func NewPublish(current *Publish, table route.Table, source []byte) Publish {
	whole := Publish{Table: table, Source: source}
	if current == nil || len(current.Source) == 0 {
		return whole
	}
	p := Publish{Patch: &PublicationPatch{
		Base:   current.Table.Version,
		Table:  route.MakePatch(current.Table, table),
		Source: delta.Make(pieces(current.Source), pieces(source), pieceKey, bytes.Equal),
	}}
	if encoded, err := EncodeCommand(Command{Publish: &p}); err != nil || len(encoded) > len(source)/2 {
		return whole
	}
	return p
}

// pieces cuts a document behind each closing brace, so that each piece holds at most one
// object.
func pieces(document []byte) [][]byte { return bytes.SplitAfter(document, []byte("}")) }

func pieceKey(piece []byte) string { return string(piece) }

// Version returns the version of the table that p publishes, or zero without one.
func (p *Publish) Version() uint64 {
	if p == nil {
		return 0
	}
	if p.Patch != nil {
		return p.Patch.Table.Version
	}
	return p.Table.Version
}

// resolve returns the publication that p describes, without a patch.
func (p Publish) resolve(current *Publish) (*Publish, error) {
	if p.Patch == nil {
		return &p, nil
	}
	if current == nil || current.Version() != p.Patch.Base {
		return nil, &BaseError{Base: p.Patch.Base, Current: current.Version()}
	}
	table, err := p.Patch.Table.Apply(current.Table)
	if err != nil {
		return nil, err
	}
	if len(current.Source) == 0 {
		return &Publish{Table: table}, nil
	}
	source, err := p.Patch.Source.Apply(pieces(current.Source))
	if err != nil {
		return nil, err
	}
	return &Publish{Table: table, Source: bytes.Join(source, nil)}, nil
}

// withoutSource returns a copy of p, which may be nil, without the document or its changes.
func (p *Publish) withoutSource() *Publish {
	if p == nil {
		return nil
	}
	out := *p
	out.Source = nil
	if p.Patch != nil {
		patch := *p.Patch
		patch.Source = nil
		out.Patch = &patch
	}
	return &out
}

func (s *State) publish(p Publish) Result {
	if s.Published != nil && p.Version() <= s.Published.Table.Version {
		return Result{Version: s.Published.Table.Version}
	}
	next, err := p.resolve(s.Published)
	if err != nil {
		r := reject(CodeVersionConflict, "version %d: %v", p.Version(), err)
		r.Version = s.Published.Version()
		return r
	}
	s.Published = next
	return Result{Version: next.Table.Version}
}
