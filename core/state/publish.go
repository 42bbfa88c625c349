package state

import "github.com/pollenwheel/pollenwheel/core/route"

// Publish replaces the route table if its version is higher than that of the current
// one. A lower or equal version changes nothing, but is not rejected, so that a
// resend through any host gets the same result.
type Publish struct {
	Table route.Table `json:"table"`
	// Source is the document that the operator sent. It is stored unchanged, so
	// that operators can read it back.
	Source []byte `json:"source"`
}

func (s *State) publish(p Publish) Result {
	if s.Published == nil || p.Table.Version > s.Published.Table.Version {
		s.Published = &p
	}
	return Result{Version: s.Published.Table.Version}
}
