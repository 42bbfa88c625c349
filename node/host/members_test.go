package host

import (
	"testing"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// TestLeavingAsToldByAnAnswer guards against a server that is believed to leave until an older
// announcement says otherwise, against a new process under its name that is taken for it, and
// against other hosts that do not learn of it.
func TestLeavingAsToldByAnAnswer(t *testing.T) {
	client := peer.NewClient(nil)
	defer client.Close()
	m := newMembers(settings.Settings{Host: "h"}, membership.Host{Name: "h", Incarnation: 1}, client, bootclock.New())
	server := membership.Server{Name: "s", Service: "models", Address: "127.0.0.1:1", Incarnation: 5, Sequence: 10}
	leaving := func() bool { return m.Servers()[0].Leaving }
	m.announce(server)
	m.recordLeaving(notice.Process{Server: "s", Incarnation: 4})
	if leaving() {
		t.Error("an answer of an earlier process makes the server leave")
	}
	changed := m.serversChanged()
	m.recordLeaving(notice.Process{Server: "s", Incarnation: 5})
	select {
	case <-changed:
	default:
		t.Error("the departure is no change of state, which other hosts would be sent")
	}
	server.Sequence = 11
	m.announce(server)
	if !leaving() {
		t.Error("an announcement of the process that leaves undoes its departure")
	}
	server.Incarnation, server.Sequence = 6, 1
	m.announce(server)
	if leaving() {
		t.Error("a new process under the name of one that leaves counts as leaving")
	}
}
