package orders

import (
	"testing"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// TestFailedUnloadIsSettled guards against an unload that fails on its server
// and is never settled, because the server refuses to execute it again after a
// newer order.
func TestFailedUnloadIsSettled(t *testing.T) {
	key := state.PlacementKey{Server: "engine", Model: "guide"}
	p := state.Placement{Phase: state.PhaseUnloading, Fence: 5}
	srv := membership.Server{NewestOrder: 9, Models: []membership.ModelReport{{Model: "guide", Phase: membership.ReportReady, Order: 5}}}
	for _, checks := range []bool{true, false} {
		known := state.Server{Register: state.Register{ChecksFencing: checks}}
		if loaded, ok := intentOutcome(known, srv, key, p); !loaded || !ok {
			t.Errorf("checks fencing %t: loaded %t, settled %t", checks, loaded, ok)
		}
	}
}
