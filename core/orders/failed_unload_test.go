package orders

import (
	"testing"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// TestFailedUnloadIsClosed guards against an unload intent that is never closed
// after the unload failed, because the server rejects the repeated order after a
// newer one.
func TestFailedUnloadIsClosed(t *testing.T) {
	key := state.PlacementKey{Server: "engine", Model: "guide"}
	p := state.Placement{Phase: state.PhaseUnloading, Fence: 5}
	srv := membership.Server{NewestOrder: 9, Models: []membership.ModelReport{{Model: "guide", Phase: membership.ReportReady, Order: 5}}}
	for _, checks := range []bool{true, false} {
		known := state.Server{Register: state.Register{ChecksFencing: checks}}
		if loaded, ok := intentOutcome(known, srv, key, p); !loaded || !ok {
			t.Errorf("checks fencing %t: loaded %t, closed %t, want true for both", checks, loaded, ok)
		}
	}
}
