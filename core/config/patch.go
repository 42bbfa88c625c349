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

// ListPatch replaces or adds the items in Put and removes those whose keys are
// in Remove.
type ListPatch[T any] struct {
	Put    []T      `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

func serviceKey(s Service) string     { return s.Name }
func modelKey(m Model) string         { return m.Name }
func adapterKey(a Adapter) string     { return a.Name }
func callerKey(c Caller) string       { return c.Name }
func objectiveKey(o Objective) string { return o.Service + "/" + string(o.Kind) }

// Sorted returns c with every list in the order of its keys. Patches are computed
// from and applied to sorted configurations.
func (c Configuration) Sorted() Configuration {
	c.Services = sortedByKey(c.Services, serviceKey)
	c.Models = sortedByKey(c.Models, modelKey)
	c.Adapters = sortedByKey(c.Adapters, adapterKey)
	c.Callers = sortedByKey(c.Callers, callerKey)
	c.Objectives = sortedByKey(c.Objectives, objectiveKey)
	return c
}

// sortedByKey returns a copy of list in the order of the items' keys, or nil if it is
// empty.
func sortedByKey[T any](list []T, key func(T) string) []T {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// MakePatch returns the patch that changes old into next, apart from the version.
// Both configurations must be sorted.
func MakePatch(old, next Configuration) Patch {
	p := Patch{
		Services:   makeListPatch(old.Services, next.Services, serviceKey),
		Models:     makeListPatch(old.Models, next.Models, modelKey),
		Adapters:   makeListPatch(old.Adapters, next.Adapters, adapterKey),
		Callers:    makeListPatch(old.Callers, next.Callers, callerKey),
		Objectives: makeListPatch(old.Objectives, next.Objectives, objectiveKey),
	}
	if old.Deployment != next.Deployment {
		p.Deployment = &next.Deployment
	}
	return p
}

// makeListPatch returns the patch that changes old into next. Both must be sorted by key.
func makeListPatch[T any](old, next []T, key func(T) string) ListPatch[T] {
	var p ListPatch[T]
	i := 0
	for _, item := range next {
		for i < len(old) && key(old[i]) < key(item) {
			p.Remove = append(p.Remove, key(old[i]))
			i++
		}
		same := i < len(old) && key(old[i]) == key(item)
		if !same || !reflect.DeepEqual(old[i], item) {
			p.Put = append(p.Put, item)
		}
		if same {
			i++
		}
	}
	for ; i < len(old); i++ {
		p.Remove = append(p.Remove, key(old[i]))
	}
	return p
}

// Apply returns old with the patch applied. The result shares unchanged lists with
// old.
func (p Patch) Apply(old Configuration) Configuration {
	if p.Deployment != nil {
		old.Deployment = *p.Deployment
	}
	old.Services = p.Services.apply(old.Services, serviceKey)
	old.Models = p.Models.apply(old.Models, modelKey)
	old.Adapters = p.Adapters.apply(old.Adapters, adapterKey)
	old.Callers = p.Callers.apply(old.Callers, callerKey)
	old.Objectives = p.Objectives.apply(old.Objectives, objectiveKey)
	return old
}

// apply returns old without the items that p removes or replaces, and with those that it
// puts, sorted by key.
func (p ListPatch[T]) apply(old []T, key func(T) string) []T {
	if len(p.Put) == 0 && len(p.Remove) == 0 {
		return old
	}
	omitted := make(map[string]bool, len(p.Put)+len(p.Remove))
	for _, k := range p.Remove {
		omitted[k] = true
	}
	for _, item := range p.Put {
		omitted[key(item)] = true
	}
	out := make([]T, 0, len(old)+len(p.Put))
	for _, item := range old {
		if !omitted[key(item)] {
			out = append(out, item)
		}
	}
	return sortedByKey(append(out, p.Put...), key)
}
