package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/standin/engine"
)

const (
	limitModels   = 14
	limitAdapters = 4
	limitEngines  = 6
	// engineMiB holds two models and one adapter.
	engineMiB  = 21_000
	modelMiB   = 10_000
	adapterMiB = 1_000
)

// limitsDeployment is a deployment whose engines record the models and adapters
// that they hold.
type limitsDeployment struct {
	*deployment
	// names are the names of all models and adapters.
	names    []string
	holdings *engine.Holdings
	// options holds the options of each engine, which a restart uses again.
	options []engine.Options
	links   []*lossyLink
}

// TestLimitsHoldWithProcesses guards against engines that together hold more
// replicas of a model than its replica limit, and against an engine whose memory
// is overcommitted. Meanwhile the leader is killed or frozen during loads, engines
// restart during a load, answers to orders are lost, loads and unloads fail, and
// half of the engines ignore fencing numbers.
func TestLimitsHoldWithProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLimitsDeployment(ctx, t)
	b := l.startBurstLoad(l.names, 1)
	l.killLeader(b)
	l.freezeLeader(b)
	l.restartEngine(ctx, 0)
	l.restartEngine(ctx, 3)
	l.awaitMoreLoads(6)
	b.stop()
	for _, link := range l.links {
		link.lossless.Store(true)
	}
	l.awaitAllServed(ctx)
	l.checkLimits()
	t.Logf("%d served, %d refused %v, %d interrupted by a killed host, %d loads, %d order answers lost",
		b.served.Load(), b.refused.Load(), b.refusalCodes, b.interrupted.Load(), l.holdings.LoadsStarted(), l.droppedAnswers())
}

// newLimitsDeployment starts hosts and engines, and applies the configuration.
func newLimitsDeployment(ctx context.Context, t *testing.T) *limitsDeployment {
	l := &limitsDeployment{deployment: newDeployment(t, 7)}
	sizes := map[engine.Target]int64{}
	l.models = nil
	for i := range limitModels {
		name := fmt.Sprintf("model-%d", i)
		l.models = append(l.models, name)
		sizes[engine.Target{Model: name}] = modelMiB
	}
	l.names = append(l.names, l.models...)
	for i := range limitAdapters {
		name := fmt.Sprintf("adapter-%d", i)
		l.names = append(l.names, name)
		sizes[engine.Target{Model: l.models[i], Adapter: name}] = adapterMiB
	}
	l.adjust = l.adjustConfiguration
	l.holdings = engine.NewHoldings(sizes)
	for _, p := range l.processes {
		l.awaitReady(p)
	}
	for i := range limitEngines {
		l.addEngine(ctx, i)
	}
	l.apply(1, l.processes...)
	l.awaitVersion()
	return l
}

// adjustConfiguration limits the models alternately to one and two replicas, and
// adds the adapters.
func (l *limitsDeployment) adjustConfiguration(c *config.Configuration) {
	c.Deployment.StoreLoadsPerSecond, c.Deployment.StoreConcurrency = 50, 50
	for i := range c.Models {
		c.Models[i].MaxReplicas = 1 + i%2
	}
	for i := range limitAdapters {
		c.Adapters = append(c.Adapters, config.Adapter{
			Name: fmt.Sprintf("adapter-%d", i), Model: l.models[i], Version: "1", MemoryMiB: adapterMiB,
		})
	}
}

// addEngine starts engine i. Every second engine ignores fencing numbers and
// incarnations, two are behind a lossy link, and two fail every fifth order.
func (l *limitsDeployment) addEngine(ctx context.Context, i int) {
	l.t.Helper()
	o := engine.Options{
		Name: fmt.Sprintf("engine-%d", i), Service: "lace-assist", DataCentre: testDataCentres[i%len(testDataCentres)],
		Listen: freeAddresses(l.t, 1)[0], MemoryMiB: engineMiB, ChecksFencing: i%2 == 0, ChecksIncarnation: i%2 == 0,
		LoadTime: 300 * time.Millisecond, TokenTime: 20 * time.Millisecond, Holdings: l.holdings,
	}
	for k := range l.processes {
		o.Hosts = append(o.Hosts, l.processes[(i+k)%len(l.processes)].settings.CallerAddress)
	}
	switch i {
	case 1, 2:
		link := newLossyLink(l.t, o.Listen)
		o.AdvertisedAddress = link.listener.Addr().String()
		l.links = append(l.links, link)
	case 4, 5:
		var orders atomic.Int64
		o.Faults.FailOrder = func(backend.Order) bool { return orders.Add(1)%5 == 0 }
	}
	l.options = append(l.options, o)
	l.engines = append(l.engines, l.startEngine(ctx, i))
}

// startEngine starts engine i. It tries until the engine can listen on its address.
func (l *limitsDeployment) startEngine(ctx context.Context, i int) *engine.Engine {
	l.t.Helper()
	var e *engine.Engine
	l.await("the engine starts", func() (ok bool) {
		var err error
		e, err = engine.Start(ctx, l.options[i])
		return err == nil
	})
	return e
}

// awaitMoreLoads waits until n more loads have begun.
func (l *limitsDeployment) awaitMoreLoads(n int) {
	l.t.Helper()
	before := l.holdings.LoadsStarted()
	l.await(fmt.Sprintf("%d more loads begin", n), func() bool { return l.holdings.LoadsStarted() >= before+n })
}

// awaitLoad waits until a load is in progress on a server, or on any server if server
// is empty.
func (l *limitsDeployment) awaitLoad(server string) {
	l.t.Helper()
	l.await("a load is in progress on "+server, func() bool { return l.holdings.LoadsInProgress(server) > 0 })
}

// killLeader kills the leader during a load. It starts the host again after requests
// have been served and loads have begun under another leader.
func (l *limitsDeployment) killLeader(b *burstLoad) {
	l.t.Helper()
	l.awaitMoreLoads(3)
	leader := l.awaitLeader()
	l.awaitLoad("")
	l.kill(leader)
	l.awaitNewLeader(leader)
	before := b.served.Load()
	l.await("requests are served", func() bool { return b.served.Load() > before+20 })
	l.awaitMoreLoads(2)
	l.start(leader)
	l.awaitReady(leader)
	leader.down.Store(false)
}

// freezeLeader stops the leader with SIGSTOP during a load. It continues the host with
// SIGCONT after requests have been served and loads have begun under another leader.
func (l *limitsDeployment) freezeLeader(b *burstLoad) {
	l.t.Helper()
	leader := l.awaitLeader()
	l.awaitLoad("")
	l.sendSignal(leader, syscall.SIGSTOP)
	l.awaitNewLeader(leader)
	before := b.served.Load()
	l.await("requests are served", func() bool { return b.served.Load() > before+20 })
	l.awaitMoreLoads(2)
	l.sendSignal(leader, syscall.SIGCONT)
	l.awaitReady(leader)
}

// awaitNewLeader waits until a control host other than old leads.
func (l *limitsDeployment) awaitNewLeader(old *process) {
	l.t.Helper()
	l.await("another host leads", func() bool {
		for _, p := range l.processes[:controlHosts] {
			var s admin.StatusAnswer
			if p != old && l.get(p, "/v1/admin/status", &s) == nil && s.Control.Leader == p.settings.Host {
				return true
			}
		}
		return false
	})
}

// restartEngine stops an engine during a load and starts it again, with a new
// incarnation, at the same address.
func (l *limitsDeployment) restartEngine(ctx context.Context, i int) {
	l.t.Helper()
	l.awaitLoad(l.options[i].Name)
	_ = l.engines[i].Close()
	l.engines[i] = l.startEngine(ctx, i)
}

// awaitAllServed requests every model and adapter until it is served.
func (l *limitsDeployment) awaitAllServed(ctx context.Context) {
	l.t.Helper()
	var wg sync.WaitGroup
	for i, name := range l.names {
		wg.Go(func() {
			var err error
			deadline := time.Now().Add(waitLimit)
			attempts := 0
			for k := i; time.Now().Before(deadline); k++ {
				attempts++
				err = l.sendPrompt(ctx, l.processes[k%len(l.processes)], name, "last "+name, burstTokens, 30*time.Second)
				if err == nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			l.t.Errorf("%s is still not served after %d attempts: %v", name, attempts, err)
		})
	}
	wg.Wait()
	if l.t.Failed() {
		var models json.RawMessage
		_ = l.get(l.processes[0], "/v1/admin/models", &models)
		l.t.Logf("replicas at the failure: %s", models)
	}
}

// checkLimits compares the peaks of replicas and memory with their limits.
func (l *limitsDeployment) checkLimits() {
	l.t.Helper()
	c := l.configuration(0)
	replicas := l.holdings.PeakReplicas()
	for _, m := range c.Models {
		if replicas[m.Name] > m.MaxReplicas {
			l.t.Errorf("%s had %d replicas, replica limit %d", m.Name, replicas[m.Name], m.MaxReplicas)
		}
	}
	memory := l.holdings.PeakMemory()
	for server, mib := range memory {
		if mib > engineMiB {
			l.t.Errorf("%s held %d of %d MiB", server, mib, engineMiB)
		}
	}
	l.t.Logf("peak replicas %v, peak memory %v", replicas, memory)
}

// droppedAnswers returns the number of answers to orders that the lossy links dropped.
func (l *limitsDeployment) droppedAnswers() int64 {
	n := int64(0)
	for _, link := range l.links {
		n += link.dropped.Load()
	}
	return n
}
