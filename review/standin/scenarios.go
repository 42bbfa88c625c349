package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const clientHost = "ficu95.example"

// start starts the runners, publishes the configuration and waits for the entry hosts.
func (c *cluster) start(document map[string]any) error {
	for _, x := range c.runners {
		if err := x.start(); err != nil {
			return err
		}
	}
	if err := c.publish(document); err != nil {
		return err
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	time.Sleep(contactWindow)
	return nil
}

// every calls f in a new goroutine at each interval until the duration has passed, and
// waits for all calls.
func every(interval, duration time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		wg.Go(func() { f(n) })
		<-tick.C
	}
	wg.Wait()
}

// tally counts the answers of a kind of request.
type tally struct{ asked, served atomic.Int64 }

func (t *tally) add(a answer) {
	t.asked.Add(1)
	if a.served() {
		t.served.Add(1)
	}
}

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(1, t.asked.Load())) }

func (t *tally) String() string { return fmt.Sprintf("%d of %d", t.served.Load(), t.asked.Load()) }

// stream is the handler of a sound engine: it refuses models that it doesn't hold, and
// answers with a few events.
func stream(x *runner, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	x.mu.Lock()
	held := x.held[r.Header.Get("Model")]
	x.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.c.rec.line("runner %s runs %s for %s", x.id, r.Header.Get("Request-Id"), r.Header.Get("Model"))
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range 8 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// model returns a model of an engine.
func model(name string, mb float64) map[string]any {
	return map[string]any{"Name": name, "WeightsMb": mb, "LoadS": 6.0, "Adapters": 0, "AdapterMb": 14.0, "WarmS": 0.27, "DiskS": 0.35}
}

// engineMemoryMB is the memory of an engine for models.
const engineMemoryMB = 58000.0

// engineService returns the service lace-assist with the given models.
func engineService(sizes map[string]float64, models ...string) map[string]any {
	var list []map[string]any
	for _, name := range models {
		list = append(list, model(name, sizes[name]))
	}
	return map[string]any{
		"Name": "lace-assist", "HealthPath": "/health", "MaxConns": 490, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{
			"Slots": 96, "KvCapacity": 156674, "TokenKvBytes": 131072, "LinkMbps": 550000.0, "Moves": true, "Backups": true, "Stride": 6, "Cap": 12,
			"HostMb": 61000.0, "DiskMb": 210000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": list,
			"WeightsMb": engineMemoryMB, "AdapterSlots": 8, "LoadsPerS": 3.2,
		},
	}
}

// dropModel takes an idle model out of the configuration while runners hold it, and then
// asks for another model.
func dropModel(rec *record, c *cluster, trouble bool) (bool, error) {
	sizes := map[string]float64{"daka510000": 16100, "rada7437b5": 34300, "ravo486f6a": 34300}
	config := func(models ...string) map[string]any {
		return map[string]any{
			"Routes":   []any{route("r-help", "/help/", "streaming", "lace-assist", 12*time.Second, 400*time.Millisecond, 2)},
			"Services": []any{engineService(sizes, models...)}, "Limits": limits,
		}
	}
	for i := range 3 {
		x := c.newRunner(i, "lace-assist", zones[i], stream)
		x.weightsMB, x.models = engineMemoryMB, sizes
	}
	for _, x := range c.runners {
		x.held["daka510000"], x.held["rada7437b5"] = true, true
	}
	if err := c.start(config("daka510000", "rada7437b5", "ravo486f6a")); err != nil {
		return false, err
	}
	ask := func(name string) answer {
		return c.send(c.entries()[0], request{method: http.MethodPost, host: clientHost, path: "/help/2f", body: "{}", model: name, deadline: 12 * time.Second})
	}
	if a := ask("daka510000"); !a.served() {
		return false, errors.New("the first request was not served")
	}
	if trouble {
		rec.note("operator: the idle model rada7437b5 is taken out of the configuration")
		if err := c.publish(config("daka510000", "ravo486f6a")); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply)
	for _, name := range []string{"daka510000", "ravo486f6a"} {
		var got tally
		every(300*time.Millisecond, 8*time.Second, func(int) { got.add(ask(name)) })
		rec.note("requests for %s: %s were served", name, &got)
	}
	broken := false
	for _, x := range c.runners {
		x.mu.Lock()
		broken = broken || x.overload > 0
		x.mu.Unlock()
	}
	return broken, nil
}

// endlessBody lets the runners of a service answer with a body that has no end until the
// caller closes.
func endlessBody(rec *record, c *cluster, trouble bool) (bool, error) {
	const (
		// rate is that of pricking-draft a second, of all clients.
		rate = 16
		// patience is how long these clients wait for the first event: four times the
		// objective of 2 s.
		patience = 8 * time.Second
		// chunk is written every pause: 2.1 MB a second on each connection. All connections
		// of one entry host stay below its link of 1,000 Mbit/s.
		chunk, pause = 21 << 10, 10 * time.Millisecond
		badFor       = 45 * time.Second
		// endsOfFault is how often processes of two machines end in a day that counts 0.
		endsOfFault, machinesOfFault = 3, 2
	)
	var bad atomic.Bool
	engine := func(x *runner, w http.ResponseWriter, r *http.Request) {
		if !bad.Load() {
			stream(x, w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		rec.line("runner %s answers %s without end", x.id, r.Header.Get("Request-Id"))
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n", r.Header.Get("Request-Id"))
		_ = buffer.Flush()
		data := bytes.Repeat([]byte("x"), chunk)
		for {
			if _, err := conn.Write(data); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
	sizes := map[string]float64{"daka510000": 16100}
	for i := range 9 {
		x := c.newRunner(i, "lace-assist", zones[i%3], engine)
		x.weightsMB, x.models = engineMemoryMB, sizes
		x.held["daka510000"] = true
	}
	for i := range 3 {
		c.newRunner(9+i, "supply-ledger", zones[i], sound(60*time.Millisecond))
	}
	if err := c.start(map[string]any{
		"Routes": []any{
			route("r-draft", "/draft/", "streaming", "lace-assist", 20*time.Second, 2*time.Second, 1),
			route("r-order", "/order/", "unsafe", "supply-ledger", 3*time.Second, 300*time.Millisecond, 1),
		},
		"Services": []any{engineService(sizes, "daka510000"), plainService("supply-ledger")}, "Limits": limits,
	}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kills, peaks := make([]atomic.Int64, len(c.entries())), make([]atomic.Int64, len(c.entries()))
	for i, h := range c.entries() {
		go c.limitMemory(ctx, h, func(float64) { kills[i].Add(1) }, func(mb float64) { peaks[i].Store(max(peaks[i].Load(), int64(mb))) })
	}
	draft := func(t *tally, n int) {
		t.add(c.send(c.entry(n), request{
			method: http.MethodPost, host: clientHost, path: fmt.Sprintf("/draft/%d", n), body: "{}", model: "daka510000", deadline: 20 * time.Second, patience: patience,
		}))
	}
	order := func(t *tally, n int) {
		t.add(c.send(c.entry(n), request{method: http.MethodPost, host: clientHost, path: fmt.Sprintf("/order/%d", n), body: "{}", deadline: 3 * time.Second}))
	}
	var before, during, orderBefore, orderDuring tally
	go every(100*time.Millisecond, 5*time.Second, func(n int) { order(&orderBefore, n) })
	every(time.Second/rate, 5*time.Second, func(n int) { draft(&before, n) })
	bad.Store(trouble)
	go every(100*time.Millisecond, badFor, func(n int) { order(&orderDuring, n) })
	every(time.Second/rate, badFor, func(n int) { draft(&during, n) })
	machines := 0
	for i, h := range c.entries() {
		rec.note("%s: at most %d MB of its %d MB; killed %d times", h.name, peaks[i].Load(), h.memoryMB, kills[i].Load())
		if kills[i].Load() >= endsOfFault {
			machines++
		}
	}
	rec.note("drafts: %s were served before, %s during; orders at the sound service: %s before, %s during", &before, &during, &orderBefore, &orderDuring)
	return machines >= machinesOfFault, nil
}

// otherWriter lets another writer send entries that name no runner to use.
func otherWriter(rec *record, c *cluster, trouble bool) (bool, error) {
	for i := range 3 {
		c.newRunner(i, "supply-ledger", zones[i], sound(60*time.Millisecond))
	}
	if err := c.start(map[string]any{
		"Routes":   []any{route("r-order", "/order/", "unsafe", "supply-ledger", 3*time.Second, 300*time.Millisecond, 1)},
		"Services": []any{plainService("supply-ledger")}, "Limits": limits,
	}); err != nil {
		return false, err
	}
	if trouble {
		for i, x := range c.runners {
			id := fmt.Sprintf("x-%04x", i)
			document := map[string]any{
				"Service": "nosuch", "Address": x.address, "Zone": x.zone, "Version": "v1", "Slots": 6, "State": "ready",
				"ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
			}
			rec.note("another writer: entry %s of the service nosuch, which no configuration names, at %s: acknowledged %t", id, x.address, c.sendHeartbeat(c.controls()[i], id, document))
		}
		time.Sleep(time.Second)
	}
	var got tally
	every(100*time.Millisecond, 40*time.Second, func(n int) {
		got.add(c.send(c.entry(n), request{method: http.MethodPost, host: clientHost, path: fmt.Sprintf("/order/%d", n), body: "{}", deadline: 3 * time.Second}))
	})
	rec.note("%s requests were served; all three runners ran and announced themselves every 1.2 s", &got)
	return got.served.Load() == 0, nil
}

// twoCrashes lets two runners crash, 10 s apart, each while it runs a poll for the state of
// the same order.
func twoCrashes(rec *record, c *cluster, trouble bool) (bool, error) {
	const down = 4500 * time.Millisecond
	polls := make(chan *runner, 64)
	ledger := func(x *runner, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			select {
			case polls <- x:
			default:
			}
		}
		sound(60*time.Millisecond)(x, w, r)
	}
	for i := range 3 {
		c.newRunner(i, "supply-ledger", zones[i], ledger)
	}
	if err := c.start(map[string]any{
		"Routes": []any{
			route("r-order", "/order/", "unsafe", "supply-ledger", 3*time.Second, 300*time.Millisecond, 1),
			route("r-status", "/status/", "safe", "supply-ledger", 3*time.Second, 300*time.Millisecond, 2),
		},
		"Services": []any{plainService("supply-ledger")}, "Limits": limits,
	}); err != nil {
		return false, err
	}
	var orders, status tally
	if trouble {
		go func() {
			for range 2 {
				time.Sleep(3 * time.Second)
				for len(polls) > 0 {
					<-polls
				}
				x := <-polls
				time.Sleep(30 * time.Millisecond)
				x.crash()
				time.Sleep(down)
				if err := x.start(); err != nil {
					rec.note("runner %s: %v", x.id, err)
				}
			}
		}()
	}
	go every(57*time.Millisecond, 80*time.Second, func(n int) {
		orders.add(c.send(c.entry(n), request{method: http.MethodPost, host: clientHost, path: fmt.Sprintf("/order/%d", n), body: "{}", deadline: 3 * time.Second}))
	})
	every(143*time.Millisecond, 80*time.Second, func(n int) {
		status.add(c.send(c.entry(n), request{method: http.MethodGet, host: clientHost, path: "/status/1042", deadline: 3 * time.Second}))
	})
	time.Sleep(4 * time.Second)
	rec.note("orders: %s were served; polls for the state of order 1042: %s", &orders, &status)
	return status.share() < orders.share()/4, nil
}
