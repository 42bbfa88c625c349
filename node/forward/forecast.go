package forward

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
)

// forecaster predicts when a server can take a request that no server can take now.
type forecaster struct {
	// engines holds the engine of each service by service name.
	engines map[string]*route.Engine
	// readyAt holds the earliest predicted end of the loads in progress of each model
	// and adapter.
	readyAt map[routing.Key]time.Duration
	// ready holds the models and adapters for which a server is ready.
	ready map[routing.Key]bool
	// cachedLoadTimes holds, for each model whose weights a server has in memory or on
	// disk, the shortest load time on such a server.
	cachedLoadTimes map[routing.Key]time.Duration
}

func newForecaster() *forecaster {
	return &forecaster{
		engines: map[string]*route.Engine{}, readyAt: map[routing.Key]time.Duration{},
		ready: map[routing.Key]bool{}, cachedLoadTimes: map[routing.Key]time.Duration{},
	}
}

// addServer adds the holdings and cached weights of an engine's server. A server
// that is leaving is ignored because it starts no loads.
func (f *forecaster) addServer(now time.Duration, s membership.ServerStatus, engine *route.Engine, holdings []residency.Holding) {
	f.engines[s.Service] = engine
	if s.Leaving {
		return
	}
	for _, h := range holdings {
		f.addHolding(now, s.Service, h)
	}
	for _, c := range s.Cached {
		m, ok := engine.Model(c.Model)
		if !ok {
			continue
		}
		loadTime := m.DiskLoad
		if c.Tier == membership.TierMemory {
			loadTime = m.MemoryLoad
		}
		key := routing.Key{Service: s.Service, Model: c.Model}
		if shortest, ok := f.cachedLoadTimes[key]; !ok || loadTime < shortest {
			f.cachedLoadTimes[key] = loadTime
		}
	}
}

// addPlainServer adds a server of a service without an engine.
func (f *forecaster) addPlainServer(s membership.ServerStatus) {
	if !s.Leaving {
		f.ready[routing.Key{Service: s.Service}] = true
	}
}

func (f *forecaster) addHolding(now time.Duration, service string, h residency.Holding) {
	key := routing.Key{Service: service, Model: h.Model, Adapter: h.Adapter}
	switch {
	case isReady(now, h):
		f.ready[key] = true
	case h.Phase == residency.Ready, h.Phase == residency.Loading:
		if at, known := f.readyAt[key]; !known || h.ReadyAt < at {
			f.readyAt[key] = h.ReadyAt
		}
	}
}

// forecast returns the forecast for requests with the given key. A load of the model
// in progress counts for an adapter that is not being loaded.
func (f *forecaster) forecast(key routing.Key) waitpolicy.Forecast {
	model := routing.Key{Service: key.Service, Model: key.Model}
	for _, k := range []routing.Key{key, model} {
		if at, ok := f.readyAt[k]; ok {
			return waitpolicy.Forecast{Known: true, ReadyAt: at}
		}
	}
	return waitpolicy.Forecast{FastestLoad: f.shortestLoadTime(model)}
}

// mayServe reports whether a server is ready for the key, loads it, or can load its model
// quickly.
func (f *forecaster) mayServe(key routing.Key) bool {
	model := routing.Key{Service: key.Service, Model: key.Model}
	_, loading := f.readyAt[model]
	_, cached := f.cachedLoadTimes[model]
	return f.ready[key] || f.ready[model] || loading || cached
}

// forecastFor returns the forecast for a request. It returns false if waiting is in vain: the
// stream has begun at a software version of whose servers none holds the model or its weights. A
// load from the weight store would end too late. f.mu must be held.
func (f *Forwarder) forecastFor(c *call) (waitpolicy.Forecast, bool) {
	if c.origin == nil {
		return f.forecaster.forecast(c.key), true
	}
	servers := f.versionForecasters[*c.origin]
	if servers == nil {
		return waitpolicy.Forecast{}, false
	}
	return servers.forecast(c.key), servers.mayServe(c.key)
}

// shortestLoadTime returns how long a load of the model takes that begins now. It
// is zero if a server is ready for the model, because loading an adapter takes
// negligible time, or if the service's engine is unknown.
func (f *forecaster) shortestLoadTime(model routing.Key) time.Duration {
	if f.ready[model] || f.engines[model.Service] == nil {
		return 0
	}
	if loadTime, ok := f.cachedLoadTimes[model]; ok {
		return loadTime
	}
	m, _ := f.engines[model.Service].Model(model.Model)
	return m.StoreLoad
}
