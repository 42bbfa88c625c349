package engine

import (
	"maps"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// Target is a model, or one of its adapters. Adapter is empty for the model.
type Target struct {
	Model, Adapter string
}

// ProcessID identifies one process of an engine.
type ProcessID struct {
	Server      string
	Incarnation uint64
}

// Holdings records the models and adapters that a set of engines holds in any
// phase, and the peaks of replicas and memory. It outlives the processes of the
// engines and is safe for concurrent use. A nil Holdings records nothing.
type Holdings struct {
	mu           sync.Mutex
	sizes        map[Target]int64
	held         map[ProcessID]map[Target]membership.ReportPhase
	peakReplicas map[string]int
	peakMemory   map[string]int64
	loads        int
}

// NewHoldings returns an empty record. sizes holds the memory of one replica or
// adapter in MiB.
func NewHoldings(sizes map[Target]int64) *Holdings {
	return &Holdings{
		sizes: sizes, held: map[ProcessID]map[Target]membership.ReportPhase{},
		peakReplicas: map[string]int{}, peakMemory: map[string]int64{},
	}
}

// setPhase records the phase of a model or adapter on one process.
func (h *Holdings) setPhase(p ProcessID, t Target, phase membership.ReportPhase) {
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
	h.updatePeaks(p.Server, t.Model)
}

// removeProcess records the end of a process, which frees its memory.
func (h *Holdings) removeProcess(p ProcessID) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, p)
}

// updatePeaks updates the peaks of one server and one model. The caller holds h.mu.
func (h *Holdings) updatePeaks(server, model string) {
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
	h.peakReplicas[model] = max(h.peakReplicas[model], replicas)
	h.peakMemory[server] = max(h.peakMemory[server], memory)
}

// PeakReplicas returns the highest number of replicas at one time by model, over
// all engines.
func (h *Holdings) PeakReplicas() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.peakReplicas)
}

// PeakMemory returns the highest memory use in MiB by engine.
func (h *Holdings) PeakMemory() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.peakMemory)
}

// LoadsStarted returns the number of loads of models and adapters that engines began.
func (h *Holdings) LoadsStarted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loads
}

// LoadsInProgress returns the number of loads in progress on a server, or on all servers
// if server is empty.
func (h *Holdings) LoadsInProgress(server string) int {
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
