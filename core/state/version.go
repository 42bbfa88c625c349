package state

import (
	"maps"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/origin"
)

// SetSoftwareVersion admits a software version of a service, at whose servers callers'
// resumable streams may then begin, or retires it.
type SetSoftwareVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Retire  bool   `json:"retire,omitempty"`
}

// NewSetSoftwareVersion returns the command for a change of the registry.
func NewSetSoftwareVersion(c origin.Change) SetSoftwareVersion {
	return SetSoftwareVersion{Service: c.Service, Version: c.Version, Retire: c.Retire}
}

// setSoftwareVersion replaces the list of the service, which copies of the state share.
func (s *State) setSoftwareVersion(c SetSoftwareVersion) Result {
	list := slices.Clone(s.SoftwareVersions[c.Service])
	i, found := slices.BinarySearch(list, c.Version)
	switch {
	case c.Retire && found:
		list = slices.Delete(list, i, i+1)
	case !c.Retire && !found:
		list = slices.Insert(list, i, c.Version)
	default:
		return Result{}
	}
	next := maps.Clone(s.SoftwareVersions)
	if next == nil {
		next = origin.Admitted{}
	}
	if next[c.Service] = list; len(list) == 0 {
		delete(next, c.Service)
	}
	s.SoftwareVersions = next
	return Result{}
}
