package peer

import (
	"testing"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// TestFailingHandlerEndsOnlyItsCall guards against one message whose handling fails
// unexpectedly and that ends the whole process.
func TestFailingHandlerEndsOnlyItsCall(t *testing.T) {
	log := newFakeLog("a")
	hosts, _, servers := serveMembers(t, log)
	servers["a"].handlers.Gossip = func(membership.Message) { panic("unexpected") }
	client := newTestClient(t)
	if err := client.Gossip(t.Context(), membership.Message{To: hosts["a"], From: "x"}); err == nil {
		t.Error("the call whose handler failed has no error")
	}
	if _, err := client.Status(t.Context(), hosts["a"]); err != nil {
		t.Errorf("the host does not answer after the failed call: %v", err)
	}
}
