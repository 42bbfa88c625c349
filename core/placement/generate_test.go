package placement_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/placement"
)

const day = 24 * time.Hour

// request is one generated request.
type request struct {
	at, deadline, serviceTime time.Duration
	target                    placement.Target
	urgency                   placement.Urgency
	host                      int
	crashesServer             bool
	coldStart                 bool
}

// workload is a deployment with a generator of its requests.
type workload struct {
	name                   string
	services               [2]string
	dataCentres            []string
	config                 config.Configuration
	storeSlowAt, reclaimAt time.Duration
	requests               func(days int) []request
}

func newWorkload(name string, seed int64) workload {
	if name == "thies" {
		return thiesWorkload(seed)
	}
	return brazosValleyWorkload(seed)
}

// newConfiguration returns a configuration with models, adapters and the weights of
// the deployment.
func newConfiguration(rng *rand.Rand, name string, services [2]string, firstServiceModels, secondServiceModels int, coldStartWeight, idleHourWeight float64) config.Configuration {
	c := config.Configuration{Version: 1, Deployment: config.Deployment{
		Name: name, ColdStartWeight: coldStartWeight, IdleHourWeight: idleHourWeight, PresumedLostAfterSeconds: 120,
		StoreLoadsPerSecond: 3, StoreConcurrency: 4, AdapterConcurrency: 32,
	}}
	sizes := []int64{8, 14, 14, 16, 27, 32, 40, 65}
	for i := range firstServiceModels + secondServiceModels {
		m := config.Model{Name: fmt.Sprintf("model-%02d", i), Service: services[0], Version: "1", MaxReplicas: 1 + rng.Intn(3), QueueLimit: 64}
		if i >= firstServiceModels {
			m.Service = services[1]
		}
		m.MemoryMiB = sizes[rng.Intn(len(sizes))] * 1024
		m.KVMiB = max(8*1024, m.MemoryMiB/4)
		c.Models = append(c.Models, m)
	}
	c.Models[firstServiceModels].PinnedReplicas = 1
	for i := range 55 {
		c.Adapters = append(c.Adapters, config.Adapter{
			Name: fmt.Sprintf("adapter-%02d", i), Model: c.Models[i%12].Name, Version: "1", MemoryMiB: 200 + rng.Int63n(600),
		})
	}
	return c
}

// userRequests generates the requests of one user: one at start and further ones
// until end, with think as the mean interval. urgency holds the share of each class.
func userRequests(rng *rand.Rand, t placement.Target, start, end, think time.Duration, urgency [3]float64) []request {
	var out []request
	for at := start; at < end; at += time.Duration(rng.ExpFloat64() * float64(think)) {
		r := request{at: at, target: t, host: rng.Intn(8), serviceTime: time.Duration((1 + 3*rng.ExpFloat64()) * float64(time.Second))}
		x := rng.Float64()
		for x > urgency[r.urgency] && r.urgency < placement.Patient {
			x -= urgency[r.urgency]
			r.urgency++
		}
		r.deadline = at + []time.Duration{time.Minute, 2 * time.Minute, 10 * time.Minute}[r.urgency]
		out = append(out, r)
	}
	return out
}

// sporadicRequests generates short sessions at random times of day d, between the
// hours from and to.
func sporadicRequests(rng *rand.Rand, model string, d time.Duration, sessions, from, to float64, urgency [3]float64) []request {
	var out []request
	for n := rng.ExpFloat64() * sessions; n > 0; n-- {
		at := d + time.Duration((from+rng.Float64()*(to-from))*float64(time.Hour))
		out = append(out, userRequests(rng, placement.Target{Model: model}, at, at+time.Duration(rng.ExpFloat64()*float64(8*time.Minute)), 90*time.Second, urgency)...)
	}
	return out
}

func sortAndAddCrash(rng *rand.Rand, days int, list []request) []request {
	slices.SortStableFunc(list, func(a, b request) int { return int(a.at - b.at) })
	// One request of the measured day crashes its server.
	last := slices.IndexFunc(list, func(r request) bool { return r.at > time.Duration(days-1)*day })
	list[last+(len(list)-last)/3+rng.Intn(100)].crashesServer = true
	return list
}

// brazosValleyWorkload simulates school classes that start by a timetable.
func brazosValleyWorkload(seed int64) workload {
	rng := rand.New(rand.NewSource(seed))
	w := workload{name: "brazos-valley", services: [2]string{"lace-assist", "supply-ledger"},
		dataCentres: []string{"waco", "temple", "bryan"}, storeSlowAt: 9 * time.Hour, reclaimAt: 10*time.Hour + 20*time.Minute}
	w.config = newConfiguration(rng, w.name, w.services, 24, 6, brazosColdWeight, brazosIdleWeight)
	urgency := [3]float64{0.6, 0.3, 0.1}
	type class struct {
		target placement.Target
		start  time.Duration
	}
	var classes []class
	for i := range 16 {
		for range 2 + rng.Intn(3) {
			t := placement.Target{Model: w.config.Models[i].Name}
			if a := rng.Intn(70); a < 55 && w.config.Adapters[a].Model == t.Model || i < 12 && rng.Float64() < 0.6 {
				t.Adapter = w.config.Adapters[i+12*rng.Intn(4)].Name
			}
			classes = append(classes, class{t, 8*time.Hour + time.Duration(rng.Intn(8))*55*time.Minute})
		}
	}
	w.requests = func(days int) []request {
		var out []request
		for d := time.Duration(0); d < time.Duration(days)*day; d += day {
			for _, c := range classes {
				if rng.Float64() > 0.92 {
					continue
				}
				start := d + c.start + time.Duration(rng.NormFloat64()*float64(90*time.Second))
				for range 22 + rng.Intn(12) {
					at := start + time.Duration(rng.ExpFloat64()*float64(25*time.Second))
					out = append(out, userRequests(rng, c.target, at, start+45*time.Minute, 4*time.Minute, urgency)...)
				}
			}
			for _, m := range w.config.Models[16:24] {
				out = append(out, sporadicRequests(rng, m.Name, d, 6, 7, 22, urgency)...)
			}
			for i, m := range w.config.Models[24:] {
				out = append(out, sporadicRequests(rng, m.Name, d, float64(4+12*(i%2)), 7, 18, urgency)...)
			}
		}
		return sortAndAddCrash(rng, days, out)
	}
	return w
}

// thiesWorkload simulates bakers who start before dawn, each at a usual time.
func thiesWorkload(seed int64) workload {
	rng := rand.New(rand.NewSource(seed))
	w := workload{name: "thies", services: [2]string{"scribe-desk", "order-book"},
		dataCentres: []string{"atelier-nord", "atelier-sud", "magasin"}, storeSlowAt: 4*time.Hour + 30*time.Minute, reclaimAt: 5*time.Hour + 45*time.Minute}
	w.config = newConfiguration(rng, w.name, w.services, 15, 5, thiesColdWeight, thiesIdleWeight)
	urgency := [3]float64{0.2, 0.3, 0.5}
	type baker struct {
		target placement.Target
		start  time.Duration
	}
	var bakers []baker
	for range 70 {
		i := rng.Intn(8)
		t := placement.Target{Model: w.config.Models[i].Name}
		if rng.Float64() < 0.7 {
			t.Adapter = w.config.Adapters[i+12*rng.Intn(4)].Name
		}
		bakers = append(bakers, baker{t, 4*time.Hour + 15*time.Minute + time.Duration(rng.NormFloat64()*float64(25*time.Minute))})
	}
	w.requests = func(days int) []request {
		var out []request
		for d := time.Duration(0); d < time.Duration(days)*day; d += day {
			for _, b := range bakers {
				if rng.Float64() > 0.9 {
					continue
				}
				start := max(d, d+b.start+time.Duration(rng.NormFloat64()*float64(8*time.Minute)))
				out = append(out, userRequests(rng, b.target, start, start+time.Duration(10+rng.Intn(25))*time.Minute, 3*time.Minute, urgency)...)
			}
			for _, m := range w.config.Models[8:15] {
				out = append(out, sporadicRequests(rng, m.Name, d, 4, 6, 21, urgency)...)
			}
			for i, m := range w.config.Models[15:] {
				out = append(out, sporadicRequests(rng, m.Name, d, float64(3+9*(i%2)), 4, 13, urgency)...)
			}
		}
		return sortAndAddCrash(rng, days, out)
	}
	return w
}
