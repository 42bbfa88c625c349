package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// BenchmarkStep measures one planning step with demand for every model and no
// orders to send.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{9, 30}, {112, 209}} {
		b.Run(fmt.Sprintf("%d servers, %d models", size.servers, size.models), func(b *testing.B) {
			e := route.Engine{Slots: 96, MemoryMiB: 83000, AdapterSlots: 8, LoadsPerSecond: 3}
			in := Input{Now: time.Second, Fence: 1, Services: []route.Service{{Name: "llm", Engine: &e}}}
			held := map[string][]HeldModel{}
			for i := range size.models {
				name := fmt.Sprint("m", i)
				e.Models = append(e.Models, route.Model{Name: name, MemoryMiB: 16100, StoreLoad: 6 * time.Second})
				server := fmt.Sprint("s", i%size.servers)
				held[server] = append(held[server], HeldModel{Model: name})
				in.Demand = append(in.Demand, Demand{
					Host: "h", Target: Target{Model: name}, Running: 1, Arrivals: 1, RunningOn: map[string]int{server: 1},
				})
			}
			for i := range size.servers {
				name := fmt.Sprint("s", i)
				in.Servers = append(in.Servers, Server{Name: name, Service: "llm", Incarnation: 1, Sequence: 1, Models: held[name]})
			}
			p := New()
			for b.Loop() {
				in.Now += 60 * time.Millisecond
				for i := range in.Demand {
					in.Demand[i].Arrivals++
				}
				for _, q := range p.Step(in).Inquiries {
					p.RecordReport(in.Now, q, Report{Models: held[q.Server]}, true)
				}
			}
		})
	}
}
