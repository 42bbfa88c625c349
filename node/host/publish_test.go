package host

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// numberedTable returns a table with many routes, one of which depends on the version, and
// its document.
func numberedTable(version uint64) (route.Table, []byte) {
	const routes = 300
	t := route.Table{Version: version, Services: []route.Service{{Name: "ledger"}}}
	document := fmt.Sprintf(`{"Version":%d,"Routes":[`, version)
	for i := range routes {
		r := route.Route{
			Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: route.Safe, Timeout: time.Second,
			Targets: []route.Target{{Service: "ledger", Weight: 1}},
		}
		if i == int(version)%routes {
			r.Timeout = time.Duration(version) * time.Second
		}
		t.Routes = append(t.Routes, r)
		document += fmt.Sprintf(`{"Name":%q,"Timeout":%q},`, r.Name, r.Timeout)
	}
	return t, []byte(document + "]}")
}

// TestRacingPublicationsStayWhole guards against a change that is refused because another
// one came first, and against a table or a document made of parts of two changes.
func TestRacingPublicationsStayWhole(t *testing.T) {
	const operators, changes = 3, 20
	backend, _, _ := slowBackend(t)
	control, callerHost, _ := startDeployment(t, backend.Listener.Addr().String(), 0)
	hosts := []*testHost{control, callerHost, control}
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			for i := range changes {
				version := uint64(10 + operator + operators*i)
				table, document := numberedTable(version)
				if err := hosts[operator].Publish(t.Context(), table, document); err != nil {
					t.Errorf("version %d: %v", version, err)
				}
			}
		})
	}
	wg.Wait()
	const newest = 10 + operators - 1 + operators*(changes-1)
	want, wantDocument := numberedTable(newest)
	got, err := control.Published(t.Context())
	if err != nil || string(got) != string(wantDocument) {
		t.Errorf("the control host returned a document of %d bytes (error %v), want that of version %d", len(got), err, newest)
	}
	for _, h := range hosts[:2] {
		await(t, "the newest table is applied", func() bool { return h.table().Version >= newest })
		h.replica.View(func(s *state.State) {
			if fmt.Sprint(s.Published.Table) != fmt.Sprint(want) {
				t.Errorf("host %s has another table than version %d", h.opts.Settings.Host, newest)
			}
		})
	}
}
