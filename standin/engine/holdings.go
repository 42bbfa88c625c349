package engine

import (
	"maps"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// Target is a model, or one of its adapters.
type Target struct {
	Model, Adapter string
}

// Process is one process of an engine.
type Process struct {
	Server      string
	Incarnation uint64
}

// Holdings records what a set of engines holds in any phase, and the highest
// numbers so far. It outlives the processes of the engines and is safe for
// concurrent use. A nil Holdings records nothing.
type Holdings struct {
	mu       sync.Mutex
	sizes    map[Target]int64
	held     map[Process]map[Target]membership.ReportPhase
	replicas map[string]int
	memory   map[string]int64
	loads    int
}

// NewHoldings returns an empty record. The sizes in MiB are those of one whole
// replica or adapter.
func NewHoldings(sizes map[Target]int64) *Holdings {
	return &Holdings{
		sizes: sizes, held: map[Process]map[Target]membership.ReportPhase{},
		replicas: map[string]int{}, memory: map[string]int64{},
	}
}

func (h *Holdings) set(p Process, t Target, phase membership.ReportPhase) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[p] == nil {
		h.held[p] = map[Target]membership.ReportPhase{}
	}
	if phase == membership.ReportAbsent {
		delete(h.held[p], t)
		return
	}
	if phase == membership.ReportLoading {
		h.loads++
	}
	h.held[p][t] = phase
	h.measure(p.Server, t.Model)
}

// drop records the end of a process, which frees its memory.
func (h *Holdings) drop(p Process) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, p)
}

// measure updates the peaks of one server and one model.
func (h *Holdings) measure(server, model string) {
	replicas, memory := 0, int64(0)
	for p, targets := range h.held {
		if _, ok := targets[Target{Model: model}]; ok {
			replicas++
		}
		if p.Server != server {
			continue
		}
		for t := range targets {
			memory += h.sizes[t]
		}
	}
	h.replicas[model] = max(h.replicas[model], replicas)
	h.memory[server] = max(h.memory[server], memory)
}

// PeakReplicas returns the highest number of replicas by model, over all
// engines.
func (h *Holdings) PeakReplicas() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.replicas)
}

// PeakMemory returns the highest memory in MiB by engine.
func (h *Holdings) PeakMemory() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.memory)
}

// Loads is the number of loads of models and adapters that engines began.
func (h *Holdings) Loads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loads
}

// Loading is the number of loads in progress on a server, or on all servers if
// it is empty.
func (h *Holdings) Loading(server string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for p, targets := range h.held {
		for _, phase := range targets {
			if phase == membership.ReportLoading && (server == "" || server == p.Server) {
				n++
			}
		}
	}
	return n
}
