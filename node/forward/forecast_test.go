package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
)

// Guards against callers that wait although no load can finish in time, and against
// refused callers that are missing from the demand, so that no load is started.
func TestCallerThatNoLoadServesInTimeGetsRetryAfter(t *testing.T) {
	url, forwarder, _ := startForwarder(t, nil)
	resp, _, err := post(t, url, "/model/x", "the body", "T-Model", "large")
	if err != nil || resp.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, error %v; want status 503", resp.status, err)
	}
	after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	if err != nil || after < 13 {
		t.Errorf("Retry-After is %v s (error %v), want at least the load time of 13 s", after, err)
	}
	demand := forwarder.Demand()
	if len(demand) != 1 || demand[0].Waiting != 1 || demand[0].Model != "large" {
		t.Errorf("demand %+v, want the refused caller as waiting for the model large", demand)
	}
}

func TestForecasts(t *testing.T) {
	engine := &route.Engine{Models: []route.Model{
		{Name: "m", StoreLoad: 13 * time.Second, DiskLoad: 600 * time.Millisecond, MemoryLoad: 300 * time.Millisecond},
	}}
	key := routing.Key{Service: "s", Model: "m"}
	withAdapter := routing.Key{Service: "s", Model: "m", Adapter: "a"}
	target := residency.Target{Model: "m"}
	type server struct {
		leaving  bool
		cached   []membership.Checkpoint
		holdings []residency.Holding
	}
	disk := server{cached: []membership.Checkpoint{{Model: "m", Tier: membership.TierDisk}}}
	memory := server{cached: []membership.Checkpoint{{Model: "m", Tier: membership.TierMemory}}}
	for _, c := range []struct {
		name    string
		servers []server
		key     routing.Key
		want    waitpolicy.Forecast
	}{
		{"no servers are known", nil, key, waitpolicy.Forecast{}},
		{"only the store has the weights", []server{{}}, key, waitpolicy.Forecast{FastestLoad: 13 * time.Second}},
		{"a disk has the weights", []server{{}, disk}, key, waitpolicy.Forecast{FastestLoad: 600 * time.Millisecond}},
		{"memory is faster than a disk", []server{memory, disk}, key, waitpolicy.Forecast{FastestLoad: 300 * time.Millisecond}},
		{
			"the server with the weights is leaving", []server{{}, {leaving: true, cached: disk.cached}}, key,
			waitpolicy.Forecast{FastestLoad: 13 * time.Second},
		},
		{
			"the model is ready, its adapter is not", []server{{holdings: []residency.Holding{{Target: target, Phase: residency.Ready}}}},
			withAdapter, waitpolicy.Forecast{},
		},
		{
			"the adapter is loaded in a moment", []server{{holdings: []residency.Holding{
				{Target: target, Phase: residency.Ready},
				{Target: residency.Target{Model: "m", Adapter: "a"}, Phase: residency.Ready, ReadyAt: 1025 * time.Millisecond},
			}}}, withAdapter, waitpolicy.Forecast{Known: true, ReadyAt: 1025 * time.Millisecond},
		},
		{
			"the earlier of two loads counts", []server{
				{holdings: []residency.Holding{{Target: target, Phase: residency.Loading, ReadyAt: 9 * time.Second}}},
				{holdings: []residency.Holding{{Target: target, Phase: residency.Loading, ReadyAt: 7 * time.Second}}},
			}, withAdapter, waitpolicy.Forecast{Known: true, ReadyAt: 7 * time.Second},
		},
		{
			"a model that is being unloaded does not count", []server{{holdings: []residency.Holding{{Target: target, Phase: residency.Unloading}}}},
			key, waitpolicy.Forecast{FastestLoad: 13 * time.Second},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newForecaster()
			for _, s := range c.servers {
				f.addServer(time.Second, membership.ServerStatus{Server: membership.Server{Service: "s", Leaving: s.leaving, Cached: s.cached}}, engine, s.holdings)
			}
			if got := f.forecast(c.key); got != c.want {
				t.Errorf("forecast %+v, want %+v", got, c.want)
			}
		})
	}
}
