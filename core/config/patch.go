package config

import (
	"cmp"
	"reflect"
	"slices"
)

// Patch is the difference between two configurations. With patches, the size of a
// change in the log does not depend on the size of the configuration.
type Patch struct {
	Deployment *Deployment          `json:"deployment,omitempty"`
	Services   ListPatch[Service]   `json:"services,omitzero"`
	Models     ListPatch[Model]     `json:"models,omitzero"`
	Adapters   ListPatch[Adapter]   `json:"adapters,omitzero"`
	Callers    ListPatch[Caller]    `json:"callers,omitzero"`
	Objectives ListPatch[Objective] `json:"objectives,omitzero"`
}

// ListPatch replaces or adds the items in Put and removes those whose IDs are
// in Remove.
type ListPatch[T any] struct {
	Put    []T      `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

func serviceID(s Service) string     { return s.Name }
func modelID(m Model) string         { return m.Name }
func adapterID(a Adapter) string     { return a.Name }
func callerID(c Caller) string       { return c.Name }
func objectiveID(o Objective) string { return o.Service + "/" + string(o.Kind) }

// Sorted returns c with every list in the order of the items' IDs. Patches are computed
// from and applied to sorted configurations.
func (c Configuration) Sorted() Configuration {
	c.Services = sortedByID(c.Services, serviceID)
	c.Models = sortedByID(c.Models, modelID)
	c.Adapters = sortedByID(c.Adapters, adapterID)
	c.Callers = sortedByID(c.Callers, callerID)
	c.Objectives = sortedByID(c.Objectives, objectiveID)
	return c
}

// sortedByID returns a copy of list in the order of the items' IDs, or nil if it is
// empty.
func sortedByID[T any](list []T, id func(T) string) []T {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return out
}

// MakePatch returns the patch that changes old into next, apart from the version.
// Both configurations must be sorted.
func MakePatch(old, next Configuration) Patch {
	p := Patch{
		Services:   makeListPatch(old.Services, next.Services, serviceID),
		Models:     makeListPatch(old.Models, next.Models, modelID),
		Adapters:   makeListPatch(old.Adapters, next.Adapters, adapterID),
		Callers:    makeListPatch(old.Callers, next.Callers, callerID),
		Objectives: makeListPatch(old.Objectives, next.Objectives, objectiveID),
	}
	if old.Deployment != next.Deployment {
		p.Deployment = &next.Deployment
	}
	return p
}

// makeListPatch returns the patch that changes old into next. Both must be sorted by ID.
func makeListPatch[T any](old, next []T, id func(T) string) ListPatch[T] {
	var p ListPatch[T]
	i := 0
	for _, item := range next {
		for i < len(old) && id(old[i]) < id(item) {
			p.Remove = append(p.Remove, id(old[i]))
			i++
		}
		same := i < len(old) && id(old[i]) == id(item)
		if !same || !reflect.DeepEqual(old[i], item) {
			p.Put = append(p.Put, item)
		}
		if same {
			i++
		}
	}
	for ; i < len(old); i++ {
		p.Remove = append(p.Remove, id(old[i]))
	}
	return p
}

// Apply returns old with the patch applied. The result shares unchanged lists with
// old.
func (p Patch) Apply(old Configuration) Configuration {
	if p.Deployment != nil {
		old.Deployment = *p.Deployment
	}
	old.Services = p.Services.apply(old.Services, serviceID)
	old.Models = p.Models.apply(old.Models, modelID)
	old.Adapters = p.Adapters.apply(old.Adapters, adapterID)
	old.Callers = p.Callers.apply(old.Callers, callerID)
	old.Objectives = p.Objectives.apply(old.Objectives, objectiveID)
	return old
}

// apply returns old without the items that p removes or replaces, and with those that it
// puts, sorted by ID.
func (p ListPatch[T]) apply(old []T, id func(T) string) []T {
	if len(p.Put) == 0 && len(p.Remove) == 0 {
		return old
	}
	omitted := make(map[string]bool, len(p.Put)+len(p.Remove))
	for _, k := range p.Remove {
		omitted[k] = true
	}
	for _, item := range p.Put {
		omitted[id(item)] = true
	}
	out := make([]T, 0, len(old)+len(p.Put))
	for _, item := range old {
		if !omitted[id(item)] {
			out = append(out, item)
		}
	}
	return sortedByID(append(out, p.Put...), id)
}
