package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// BenchmarkStep measures a step of the leader with nothing to do, at the
// present and at the target number of servers and placements.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ servers, each int }{{12, 4}, {1400, 5}} {
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			in := Input{State: state.New(), Leading: true}
			for i := range size.servers {
				srv := membership.Server{Name: fmt.Sprintf("server-%04d", i), Service: "s", Incarnation: 1, Sequence: 1}
				in.State.Servers[srv.Name] = state.Server{Register: *registerCommand(srv).Register}
				for k := range size.each {
					key := state.PlacementKey{Server: srv.Name, Model: fmt.Sprintf("model-%03d", (i+k)%240)}
					in.State.Placements[key] = state.Placement{Incarnation: 1, Phase: state.PhaseReady, Fence: 1}
					srv.Models = append(srv.Models, membership.ModelReport{Model: key.Model, Phase: membership.ReportReady, Order: 1})
				}
				in.Servers = append(in.Servers, membership.ServerStatus{Server: srv})
			}
			x := New(state.HostProcess{Host: "h", Incarnation: 1})
			for b.Loop() {
				in.Now += time.Second
				if out := x.Step(in); len(out.Commands)+len(out.Orders) > 0 {
					b.Fatalf("output %+v, want no commands and no orders", out)
				}
			}
		})
	}
}
