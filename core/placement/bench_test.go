package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// benchScale is the scale of one benchmark.
type benchScale struct {
	name                              string
	servers, models, adapters, loaded int
	active                            int // targets with running requests
}

var benchScales = []benchScale{
	{"today", 12, 30, 55, 40, 10},
	{"half", 700, 120, 31_500, 2_500, 1_250},
	{"target", 1400, 240, 63_000, 5_000, 2_500},
}

// newBenchInput returns an input with one replica of a model on each server and the
// loaded adapters spread over the servers.
func newBenchInput(scale benchScale) placement.Input {
	c := config.Configuration{}
	for i := range scale.models {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprintf("model-%05d", i), Service: "s", Version: "1", MemoryMiB: 65_536, KVMiB: 16_384, MaxReplicas: 12})
	}
	for i := range scale.adapters {
		c.Adapters = append(c.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Model: c.Models[i%(scale.models-1)].Name, Version: "1", MemoryMiB: 400})
	}
	in := placement.Input{Now: time.Hour, UnixMS: monday, State: state.New(), Sender: state.HostProcess{Host: "control-1"}}
	in.State.Apply(1, state.Command{Configure: &state.Configure{ChangeID: "first", Next: c}})
	for i := range scale.servers {
		srv := membership.Server{Name: fmt.Sprintf("server-%05d", i), Service: "s", DataCentre: fmt.Sprint(i % 15), Incarnation: 1, MemoryMiB: 655_360, Accelerators: 8, ChecksFencing: true}
		for j := range 4 {
			srv.Cached = append(srv.Cached, membership.Checkpoint{Model: c.Models[(i+j)%scale.models].Name, Version: "1", Tier: membership.TierDisk})
		}
		in.Servers = append(in.Servers, membership.ServerStatus{Server: srv})
		in.State.Apply(in.State.Index+1, state.Command{Register: &state.Register{Server: srv.Name, Service: "s", Incarnation: 1, MemoryMiB: srv.MemoryMiB, DataCentre: srv.DataCentre, ChecksFencing: true}})
		// The last model is not loaded anywhere.
		addReadyPlacement(in.State, srv.Name, c.Models[i%(scale.models-1)].Name, "")
	}
	for i := range scale.loaded {
		a := c.Adapters[i]
		addReadyPlacement(in.State, in.Servers[i%(scale.models-1)%scale.servers].Name, a.Model, a.Name)
		if i < scale.active {
			in.Demand = append(in.Demand, placement.Demand{Model: a.Model, Adapter: a.Name, Running: 1, Arrivals: 1})
		}
	}
	return in
}

// addReadyPlacement adds a ready placement without the checks of Apply, whose cost
// grows with the number of placements.
func addReadyPlacement(s *state.State, server, model, adapter string) {
	s.Index++
	s.Placements[state.PlacementKey{Server: server, Model: model, Adapter: adapter}] = state.Placement{
		Incarnation: 1, Version: "1", MemoryMiB: 400, Phase: state.PhaseReady, Fence: s.Index,
	}
}

func coldModel(scale benchScale) placement.Demand {
	return placement.Demand{Model: fmt.Sprintf("model-%05d", scale.models-1), Waiting: 8}
}

// BenchmarkPlan measures a plan without decisions, one with a load of a cold model,
// and one with 32 adapter loads.
func BenchmarkPlan(b *testing.B) {
	for _, scale := range benchScales {
		in := newBenchInput(scale)
		cases := map[string][]placement.Demand{"none": nil, "one-load": {coldModel(scale)}}
		for i := range min(32, scale.adapters-scale.loaded) {
			a := in.State.Config.Adapters[scale.loaded+i]
			cases["adapters"] = append(cases["adapters"], placement.Demand{Model: a.Model, Adapter: a.Name, Waiting: 1})
		}
		for _, name := range []string{"none", "one-load", "adapters"} {
			b.Run(scale.name+"/"+name, func(b *testing.B) {
				in, decisions := in, 0
				in.Demand = append(in.Demand[:len(in.Demand):len(in.Demand)], cases[name]...)
				p := placement.New()
				b.ReportAllocs()
				for range b.N {
					in.Now += 20 * time.Millisecond
					decisions += len(p.Plan(in))
				}
				b.ReportMetric(float64(decisions)/float64(b.N), "decisions/op")
			})
		}
	}
}

// BenchmarkState measures operations on the replicated state whose cost grows with
// its size.
func BenchmarkState(b *testing.B) {
	for _, scale := range benchScales {
		in := newBenchInput(scale)
		b.Run(scale.name+"/load-model", func(b *testing.B) {
			benchmarkLoad(b, in.State, state.Load{Server: in.Servers[0].Name, Incarnation: 1, Model: coldModel(scale).Model})
		})
		b.Run(scale.name+"/load-adapter", func(b *testing.B) {
			a := in.State.Config.Adapters[scale.loaded]
			addReadyPlacement(in.State, in.Servers[0].Name, a.Model, "")
			benchmarkLoad(b, in.State, state.Load{Server: in.Servers[0].Name, Incarnation: 1, Model: a.Model, Adapter: a.Name})
		})
		b.Run(scale.name+"/view-copy", func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				in.State.ForFollowers()
			}
		})
		b.Run(scale.name+"/snapshot", func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for range b.N {
				data, err := in.State.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				n = len(data)
			}
			b.ReportMetric(float64(n), "bytes")
		})
	}
}

func benchmarkLoad(b *testing.B, s *state.State, l state.Load) {
	b.ReportAllocs()
	for range b.N {
		if err := s.Apply(s.Index+1, state.Command{Load: &l}).Err(); err != nil {
			b.Fatal(err)
		}
		delete(s.Placements, state.PlacementKey{Server: l.Server, Model: l.Model, Adapter: l.Adapter})
	}
}

// BenchmarkBytesPerItem reports the bytes that one more item of each kind adds to a
// snapshot and to the heap, and the heap size of a planner.
func BenchmarkBytesPerItem(b *testing.B) {
	const n = 2000
	in := newBenchInput(benchScales[0])
	addItem := map[string]func(*state.State, int){
		"server": func(s *state.State, i int) {
			s.Apply(s.Index+1, state.Command{Register: &state.Register{Server: fmt.Sprintf("server-%05d", i+100), Service: "lace-assist", Kind: config.KindEngine, DataCentre: "waco", Address: "10.11.12.13:8080", Incarnation: 1 << 60, MemoryMiB: 655_360}})
		},
		"model": func(s *state.State, i int) {
			m := s.Config.Models[0]
			m.Name = fmt.Sprintf("model-%05d", i+1000)
			s.Config.Models = append(s.Config.Models, m)
		},
		"adapter": func(s *state.State, i int) {
			a := s.Config.Adapters[0]
			a.Name = fmt.Sprintf("adapter-%05d", i+1000)
			s.Config.Adapters = append(s.Config.Adapters, a)
		},
		"placement": func(s *state.State, i int) {
			addReadyPlacement(s, in.Servers[0].Name, "model-00001", fmt.Sprintf("adapter-%05d", i+1000))
		},
		"change": func(s *state.State, i int) {
			s.Changes = append(s.Changes, state.Change{ID: fmt.Sprintf("0123456789abcdef0123456789ab%04d", i), Version: uint64(i)})
		},
	}
	for _, kind := range []string{"server", "model", "adapter", "placement", "change"} {
		b.Run(kind, func(b *testing.B) {
			var bytes, heap float64
			for range b.N {
				s := newBenchInput(benchScales[0]).State
				before, _ := s.Snapshot()
				sizeBefore := len(before)
				heapBefore := heapBytes()
				for i := range n {
					addItem[kind](s, i)
				}
				heap = float64(heapBytes()-heapBefore) / n
				after, _ := s.Snapshot()
				bytes = float64(len(after)-sizeBefore) / n
			}
			b.ReportMetric(bytes, "snapshot-bytes")
			b.ReportMetric(heap, "heap-bytes")
		})
	}
	b.Run("planner", func(b *testing.B) {
		var heap float64
		for range b.N {
			in := newBenchInput(benchScales[2])
			heapBefore := heapBytes()
			p := placement.New()
			p.Plan(in)
			heap = float64(heapBytes() - heapBefore)
			runtime.KeepAlive(p)
		}
		b.ReportMetric(heap, "heap-bytes")
	})
}

func heapBytes() int64 {
	var m runtime.MemStats
	// Only the second collection frees the pooled buffers of the encoder.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
