package state

import "github.com/pollenwheel/pollenwheel/core/route"

// Publish replaces the route table if its version is higher than the held
// one's. Any other publication changes nothing and is accepted all the same, so
// that a resend through any host gets the same answer.
type Publish struct {
	Table route.Table `json:"table"`
	// Source is the document that the operator sent, which is read back
	// unchanged.
	Source []byte `json:"source"`
}

func (s *State) publish(p Publish) Result {
	if s.Published == nil || p.Table.Version > s.Published.Table.Version {
		s.Published = &p
	}
	return Result{Version: s.Published.Table.Version}
}
