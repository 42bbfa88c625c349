package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
)

func (a *API) status(c echo.Context) error {
	out := StatusAnswer{Host: a.deps.Host, Control: a.deps.Control.ControlStatus(), Placements: map[state.Phase]int{}}
	for _, h := range a.deps.Members.Hosts() {
		out.Hosts.add(h.Silent, h.Leaving)
	}
	for _, s := range a.deps.Members.Servers() {
		out.Servers.add(s.Silent, s.Leaving)
	}
	a.deps.Replica.View(func(s *state.State) {
		out.Deployment, out.Version, out.AppliedIndex = s.Config.Deployment.Name, s.Config.Version, s.Index
		if s.Published != nil {
			out.Version = s.Published.Table.Version
		}
		for _, p := range s.Placements {
			out.Placements[p.Phase]++
		}
		for _, suspect := range s.Suspects {
			out.Suspects++
			if suspect.Quarantined {
				out.Quarantined++
			}
		}
	})
	return c.JSON(http.StatusOK, out)
}

// add counts one host or backend server.
func (c *ProcessCounts) add(silent, leaving bool) {
	c.Known++
	if silent {
		c.Silent++
	}
	if leaving {
		c.Leaving++
	}
}

func (a *API) models(c echo.Context) error {
	var out ModelsAnswer
	a.deps.Replica.View(func(s *state.State) { out.Models = modelStatuses(s) })
	return c.JSON(http.StatusOK, out)
}

// modelStatuses returns the configured models and those that are no longer
// configured but still loaded, in the order of their names.
func modelStatuses(s *state.State) []ModelStatus {
	byName := map[string]*ModelStatus{}
	for _, m := range s.Config.Models {
		byName[m.Name] = newModelStatus(m)
	}
	for _, adapter := range s.Config.Adapters {
		if m := byName[adapter.Model]; m != nil {
			m.Adapters++
		}
	}
	adapters := readyAdapters(s)
	for key, p := range s.Placements {
		m := byName[key.Model]
		if m == nil {
			m = &ModelStatus{Name: key.Model, Removed: true, Replicas: []ModelReplica{}}
			byName[key.Model] = m
		}
		if key.Adapter == "" {
			m.Replicas = append(m.Replicas, ModelReplica{
				Server: key.Server, Phase: p.Phase, Version: p.Version, Adapters: adapters[key],
			})
		}
	}
	out := make([]ModelStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		m := byName[name]
		slices.SortFunc(m.Replicas, func(a, b ModelReplica) int { return cmp.Compare(a.Server, b.Server) })
		out = append(out, *m)
	}
	return out
}

// newModelStatus returns the status of a configured model without replicas.
func newModelStatus(m config.Model) *ModelStatus {
	return &ModelStatus{
		Name: m.Name, Service: m.Service, Version: m.Version, Urgency: m.Urgency,
		MaxReplicas: m.MaxReplicas, PinnedReplicas: m.PinnedReplicas, Replicas: []ModelReplica{},
	}
}

// readyAdapters returns the sorted names of the ready adapters of each model
// placement.
func readyAdapters(s *state.State) map[state.PlacementKey][]string {
	out := map[state.PlacementKey][]string{}
	for key, p := range s.Placements {
		if key.Adapter != "" && p.Phase == state.PhaseReady {
			base := state.PlacementKey{Server: key.Server, Model: key.Model}
			out[base] = append(out[base], key.Adapter)
		}
	}
	for _, names := range out {
		slices.Sort(names)
	}
	return out
}
