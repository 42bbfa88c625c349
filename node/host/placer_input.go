package host

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// unexpiredDemand returns the demand of all hosts and discards expired reports.
// The caller holds the lock.
func (p *placer) unexpiredDemand(now time.Duration) []residency.Demand {
	var out []residency.Demand
	for _, host := range slices.Sorted(maps.Keys(p.reports)) {
		r := p.reports[host]
		if now-r.Now > demandExpiry {
			delete(p.reports, host)
			continue
		}
		for _, d := range r.Demand {
			out = append(out, residency.Demand{
				Host: host, Target: residency.Target{Model: d.Model, Adapter: d.Adapter},
				Waiting: d.Waiting, Running: d.Running, Arrivals: d.Arrivals, RunningOn: d.RunningOn,
				EarliestExpiry: d.EarliestDeadline, Bound: d.Bound,
			})
		}
	}
	return out
}

// residencyServers converts backend servers to the planner's input.
func residencyServers(all []membership.ServerStatus) []residency.Server {
	out := make([]residency.Server, 0, len(all))
	for _, s := range all {
		x := residency.Server{
			Name: s.Name, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Incarnation: s.Incarnation,
			Sequence: s.Sequence, Leaving: s.Leaving, Silent: s.Silent, SoftwareVersion: s.SoftwareVersion,
		}
		for _, m := range s.Models {
			if m.Adapter == "" {
				x.Models = append(x.Models, residency.HeldModel{Model: m.Model, Adapters: adaptersOf(s.Models, m.Model)})
			}
		}
		for _, c := range s.Cached {
			switch c.Tier {
			case membership.TierMemory:
				x.InMemory = append(x.InMemory, c.Model)
			case membership.TierDisk:
				x.OnDisk = append(x.OnDisk, c.Model)
			}
		}
		out = append(out, x)
	}
	return out
}

// limits returns the limits on requests that servers name, by server process.
func (p *placer) limits() map[ratelimit.Process]float64 {
	usage, _ := p.host.permitServer.Usage()
	out := map[ratelimit.Process]float64{}
	for _, u := range usage {
		out[u.Process] = u.PerSecond
	}
	return out
}

// withLimits sets the limits on requests of the servers that name one.
func withLimits(servers []residency.Server, limits map[ratelimit.Process]float64) []residency.Server {
	for i, s := range servers {
		p := ratelimit.Process{Server: s.Name, Incarnation: s.Incarnation}
		if perSecond, ok := limits[p]; ok {
			servers[i].Limited, servers[i].RequestsPerSecond = true, perSecond
		}
	}
	return servers
}

// adaptersOf returns the adapters that are reported for a model.
func adaptersOf(list []membership.ModelReport, model string) []string {
	var out []string
	for _, m := range list {
		if m.Model == model && m.Adapter != "" {
			out = append(out, m.Adapter)
		}
	}
	return out
}

// offersService reports whether the published route table contains a service. Until one is
// published, nothing is known, and each service counts as offered.
func (h *RoutedHost) offersService(service string) (ok bool) {
	h.replica.View(func(s *state.State) { ok = offered(s, service) })
	return ok
}

func offered(s *state.State, service string) bool {
	if s.Published == nil {
		return true
	}
	_, ok := s.Published.Table.Service(service)
	return ok
}

// offeredServers returns the servers of the given services.
func offeredServers(servers []membership.ServerStatus, services []route.Service) []membership.ServerStatus {
	var out []membership.ServerStatus
	for _, s := range servers {
		if slices.ContainsFunc(services, func(svc route.Service) bool { return svc.Name == s.Service }) {
			out = append(out, s)
		}
	}
	return out
}

// publishedServices returns the services of the published route table, or nil if
// none has been published.
func publishedServices(s *state.State) []route.Service {
	if s.Published == nil {
		return nil
	}
	return s.Published.Table.Services
}
