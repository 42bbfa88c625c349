package residency

import (
	"cmp"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// modelSize is the memory in MiB that a model and each of its adapters take.
type modelSize struct{ model, adapter float64 }

// atLeast returns the larger values of two sizes.
func (z modelSize) atLeast(other modelSize) modelSize {
	return modelSize{max(z.model, other.model), max(z.adapter, other.adapter)}
}

// recordSizes records the sizes of the models that the server holds or may still load. What is
// held was loaded under any of the configurations since, so that the largest size counts, also
// after the model has left the configuration.
func (s *server) recordSizes(models modelLookup) {
	for name := range s.models {
		s.recordSize(models, name)
	}
	for _, o := range s.ordersUnderWay() {
		s.recordSize(models, o.Model)
	}
	for name := range s.sizes {
		if _, configured := models.Model(name); !configured && !s.concerns(name) {
			delete(s.sizes, name)
		}
	}
}

func (s *server) recordSize(models modelLookup, name string) {
	if m, ok := models.Model(name); ok {
		s.sizes[name] = s.sizes[name].atLeast(modelSize{m.MemoryMiB, m.AdapterMiB})
	}
}

// ordersUnderWay returns the orders that the server may still execute.
func (s *server) ordersUnderWay() []*Order {
	return slices.DeleteFunc([]*Order{s.inFlight, s.unanswered}, func(o *Order) bool { return o == nil })
}

// concerns reports whether the server holds a model, or has an order for it under way.
func (s *server) concerns(model string) bool {
	return s.models[model] != nil || slices.ContainsFunc(s.ordersUnderWay(), func(o *Order) bool { return o.Model == model })
}

// usedMemory returns the memory in MiB that the server's models and adapters take, including what
// orders under way may load, and without the given models. If the size of one of them was never
// known to this leader, it may take all that is left of the capacity.
func (s *server) usedMemory(capacity float64, without ...string) float64 {
	total, sizesKnown := 0.0, true
	add := func(model string, models, adapters int) {
		size, ok := s.sizes[model]
		sizesKnown = sizesKnown && ok
		total += float64(models)*size.model + float64(adapters)*size.adapter
	}
	for name, h := range s.models {
		if !slices.Contains(without, name) {
			add(name, 1, len(h.adapters))
		}
	}
	for _, o := range s.ordersUnderWay() {
		switch {
		case !o.Load:
		case o.Adapter != "":
			add(o.Model, 0, 1)
		case s.models[o.Model] == nil:
			add(o.Model, 1, 0)
		}
	}
	if !sizesKnown {
		return max(total, capacity)
	}
	return total
}

// usedAdapterSlots returns the number of adapter slots in use, including those of adapter loads
// under way.
func (s *server) usedAdapterSlots() int {
	n := 0
	for _, h := range s.models {
		n += len(h.adapters)
	}
	for _, o := range s.ordersUnderWay() {
		if o.Load && o.Adapter != "" {
			n++
		}
	}
	return n
}

// withdrawnModel returns a loaded model of the server that its service no longer offers, or an
// empty string. Nothing is lost by unloading it.
func (s *server) withdrawnModel(models modelLookup) string {
	withdrawn := ""
	for name, h := range s.models {
		if _, ok := models.Model(name); !ok && h.phase == Ready && (withdrawn == "" || name < withdrawn) {
			withdrawn = name
		}
	}
	return withdrawn
}

// settlingModel returns the model of the server whose unload costs least, or an empty string.
func (p *Planner) settlingModel(svc route.Service, s *server) string {
	models := p.catalogs[svc.Name]
	if name := s.withdrawnModel(models); name != "" {
		return name
	}
	best, lowest := "", 0.0
	for name, h := range s.models {
		m, ok := models.Model(name)
		if !ok || h.phase != Ready {
			continue
		}
		cost := p.replicaValue(svc, m, p.replicas(name).ready-1)
		if best == "" || cmp.Or(cmp.Compare(cost, lowest), cmp.Compare(name, best)) < 0 {
			best, lowest = name, cost
		}
	}
	return best
}
