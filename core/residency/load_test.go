package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// promptServer is a backend server that reads one prompt at a time. While it reads,
// its streams pause.
type promptServer struct {
	models map[string]bool
	// busyUntil is when the server has read the prompts that have arrived.
	busyUntil time.Duration
	// streams holds the end of each stream that runs. late counts the streams that
	// paused for too long.
	streams []*promptStream
	loading string
	readyAt time.Duration
}

type promptStream struct {
	ends time.Duration
	late bool
}

// promptLoad is the load of a test: requests for a few busy models, in proportion to
// weights, on servers that read prompts slowly.
type promptLoad struct {
	servers                          int
	weights                          []float64
	requestsPerSecond                float64
	promptTime, streamTime, maxPause time.Duration
}

// play plays the load for 40 s on a planner, with the busy models on one server each
// at the start, and returns the share of the streams of the last 25 s that paused for
// longer than allowed.
func (l promptLoad) play(seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	engine := route.Engine{Slots: 128, MemoryMiB: 300, AdapterSlots: 8, LoadsPerSecond: 5}
	servers := map[string]*promptServer{}
	held := map[string][]HeldModel{}
	for i := range l.servers {
		name := fmt.Sprintf("s%02d", i)
		servers[name] = &promptServer{models: map[string]bool{}}
		for k := range 3 {
			model := fmt.Sprintf("rare%d", 3*i+k)
			if k == 0 && i < len(l.weights) {
				model = fmt.Sprintf("busy%d", i)
			}
			engine.Models = append(engine.Models, route.Model{Name: model, MemoryMiB: 100, StoreLoad: 6 * time.Second, DiskLoad: 400 * time.Millisecond})
			servers[name].models[model] = true
			held[name] = append(held[name], HeldModel{Model: model})
		}
	}
	f := newFixture(&engine, held)
	for i := range f.in.Servers {
		for _, m := range engine.Models {
			f.in.Servers[i].OnDisk = append(f.in.Servers[i].OnDisk, m.Name)
		}
	}
	demand := make([]Demand, len(l.weights))
	for i := range demand {
		demand[i] = Demand{Host: "h", Target: Target{Model: fmt.Sprintf("busy%d", i)}}
	}
	late, total := 0, 0
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for name, s := range servers {
			if s.loading != "" && now >= s.readyAt {
				s.models[s.loading], s.loading = true, ""
				f.announce(name, s.models)
			}
			s.expire(now)
		}
		for range poisson(rng, l.requestsPerSecond*step.Seconds()) {
			i := weighted(rng, l.weights)
			demand[i].Arrivals++
			stream := l.send(rng, servers, demand[i].Model, now)
			if stream == nil || now < 15*time.Second {
				continue
			}
			total++
			if stream.late {
				late++
			}
		}
		if now%(50*time.Millisecond) != 0 {
			continue
		}
		for _, o := range f.step(50*time.Millisecond, demand...) {
			f.planner.RecordResult(f.in.Now, o, Accepted)
			s := servers[o.Server]
			if o.Load {
				s.loading, s.readyAt = o.Model, now+400*time.Millisecond
				continue
			}
			delete(s.models, o.Model)
			f.announce(o.Server, s.models)
		}
	}
	return float64(late) / float64(total)
}

// send sends a request to a random server that holds the model. A stream is late if
// the prompts that are read when it begins stall it, or if it stalls the streams that
// run.
func (l promptLoad) send(rng *rand.Rand, servers map[string]*promptServer, model string, now time.Duration) *promptStream {
	var holders []*promptServer
	for i := range len(servers) {
		if s := servers[fmt.Sprintf("s%02d", i)]; s.models[model] {
			holders = append(holders, s)
		}
	}
	if len(holders) == 0 {
		return nil
	}
	s := holders[rng.IntN(len(holders))]
	prompt := time.Duration(float64(l.promptTime) * (0.5 + rng.Float64()))
	s.busyUntil = max(s.busyUntil, now) + prompt
	stream := &promptStream{ends: now + l.streamTime}
	s.streams = append(s.streams, stream)
	if s.busyUntil-now > l.maxPause {
		for _, x := range s.streams {
			x.late = true
		}
	}
	return stream
}

func (s *promptServer) expire(now time.Duration) {
	kept := s.streams[:0]
	for _, x := range s.streams {
		if now < x.ends {
			kept = append(kept, x)
		}
	}
	s.streams = kept
}

// announce replaces the announcement of a server.
func (f *fixture) announce(server string, models map[string]bool) {
	for i := range f.in.Servers {
		if f.in.Servers[i].Name != server {
			continue
		}
		f.in.Servers[i].Sequence++
		f.in.Servers[i].Models = nil
		for _, m := range f.in.Services[0].Engine.Models {
			if models[m.Name] {
				f.in.Servers[i].Models = append(f.in.Servers[i].Models, HeldModel{Model: m.Name})
			}
		}
	}
	f.held[server] = f.in.Servers[indexOfServer(f.in.Servers, server)].Models
}

func indexOfServer(list []Server, name string) int {
	for i, s := range list {
		if s.Name == name {
			return i
		}
	}
	return -1
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

func weighted(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw := rng.Float64() * total
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// TestBusyModelsAreSpreadBeforeStreamsStall guards against busy models that stay on
// so few servers that prompts stall the streams there, while other servers are idle.
// How fast a server reads prompts is not announced, so the same planner must serve
// slow and fast ones. The bound is the target of the issue on decisions: fewer than 5%
// of the streams late where the fleet can serve all in time.
func TestBusyModelsAreSpreadBeforeStreamsStall(t *testing.T) {
	for _, c := range []struct {
		name string
		load promptLoad
	}{
		{"slow prompts", promptLoad{12, []float64{0.5, 0.3, 0.2}, 38, 60 * time.Millisecond, 4 * time.Second, 300 * time.Millisecond}},
		{"fast prompts", promptLoad{9, []float64{0.5, 0.3, 0.2}, 80, 19 * time.Millisecond, 2 * time.Second, 200 * time.Millisecond}},
		{"many servers", promptLoad{40, []float64{0.6, 0.2, 0.1, 0.1}, 110, 60 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				if late := c.load.play(seed); late >= 0.05 {
					t.Errorf("seed %d: %.1f%% of the streams are late, want fewer than 5%%", seed, 100*late)
				}
			}
		})
	}
}

// TestStoreConcurrencyIsLearned guards against a planner that loads more models at
// once than the weight store serves at full speed, or fewer.
func TestStoreConcurrencyIsLearned(t *testing.T) {
	const usual = 13 * time.Second
	for _, atOnce := range []int{1, 2, 4, 5, 10, 40} {
		t.Run(fmt.Sprint(atOnce, " at once"), func(t *testing.T) {
			c := newStoreConcurrency()
			for range 8 {
				for parallel := range c.limit {
					n := parallel + 1
					c.recordLoad(n, time.Duration(float64(usual)*max(1, float64(n)/float64(atOnce))), usual)
				}
			}
			if c.limit != atOnce {
				t.Errorf("limit %d, want %d", c.limit, atOnce)
			}
			if got, want := c.loadTime(usual, 2*atOnce), 2*usual; got != want {
				t.Errorf("a load that begins as one of %d is expected to take %v, want %v", 2*atOnce, got, want)
			}
		})
	}
}

// TestOneSlowServerDoesNotLimitTheStore guards against a store that is hardly used for
// the rest of a leader's term because one server loads slowly.
func TestOneSlowServerDoesNotLimitTheStore(t *testing.T) {
	const usual = 6 * time.Second
	c := newStoreConcurrency()
	c.recordLoad(1, 3*usual, usual)
	if c.limit != initialStoreLoads {
		t.Errorf("limit %d after a slow load without others, want %d", c.limit, initialStoreLoads)
	}
	c.recordLoad(4, 4*usual, usual)
	for range 4 * regrowthLoads {
		c.recordLoad(c.limit, usual, usual)
	}
	if c.limit < initialStoreLoads {
		t.Errorf("limit %d after %d loads on time, want at least %d", c.limit, 4*regrowthLoads, initialStoreLoads)
	}
}

// TestLoadThatEndsEarlyIsUsedAtOnce guards against a model that is ready but gets no
// requests until the predicted end of its load.
func TestLoadThatEndsEarlyIsUsedAtOnce(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Waiting: 1, EarliestExpiry: time.Minute}
	var orders []Order
	for range 3 {
		orders = append(orders, f.step(100*time.Millisecond, d)...)
	}
	if len(orders) != 1 || !orders[0].Load {
		t.Fatalf("orders %+v, want one load", orders)
	}
	f.planner.RecordResult(f.in.Now, orders[0], Accepted)
	f.announce("s", map[string]bool{"a": true})
	f.step(time.Second, d)
	for _, h := range f.planner.Holdings()[0].Holdings {
		if h.Phase != Ready || h.ReadyAt > f.in.Now {
			t.Errorf("holding %+v at %v, want it to be ready now", h, f.in.Now)
		}
	}
}
