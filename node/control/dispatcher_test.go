package control

import (
	"net"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/orders"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// TestQueueOfUnresponsiveServerIsBounded guards against a queue that grows with every
// repeated order while a backend server accepts connections but never answers.
func TestQueueOfUnresponsiveServerIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	r := replica.New(state.New())
	sources := DispatcherSources{IsLeading: func() bool { return true }}
	d := NewDispatcher(NewLocalLog(r), r, backend.NewClient(), sources, state.HostProcess{Host: "h"}, logrus.NewEntry(logrus.New()))
	key := state.PlacementKey{Server: "e", Model: "m"}
	for fence := range uint64(50) {
		d.enqueue(t.Context(), orders.Order{Key: key, Address: l.Addr().String(), Fence: fence})
		d.enqueue(t.Context(), orders.Order{Key: state.PlacementKey{Server: "e"}, Probe: true, Address: l.Addr().String()})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.queues["e"]); n != 2 {
		t.Fatalf("%d orders are queued, want one unload and one probe", n)
	}
}
