package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// handler runs one request of a client at a runner.
type handler func(x *runner, w http.ResponseWriter, r *http.Request)

// runner is a stand-in for a backend server: it announces itself, carries out orders and
// runs requests.
type runner struct {
	c       *cluster
	id      string
	service string
	zone    string
	address string
	handle  handler
	// weightsMB is the memory for models. It is zero for a plain service.
	weightsMB float64
	models    map[string]float64 // sizes of all models that exist

	mu       sync.Mutex
	held     map[string]bool
	orders   uint64
	sequence uint64
	born     int64
	fence    uint64
	alive    bool
	server   *http.Server
	conns    map[net.Conn]bool
	stopped  chan struct{}
	// overload is the memory that the first order beyond weightsMB would have taken.
	overload float64

	running atomic.Int64
}

func (c *cluster) newRunner(n int, service, zone string, h handler) *runner {
	x := &runner{
		c: c, id: fmt.Sprintf("i-%04x", 0x7a00+n), service: service, zone: zone, handle: h, held: map[string]bool{},
		address: net.JoinHostPort(c.ip(100+n), "8080"),
	}
	c.runners = append(c.runners, x)
	return x
}

// start starts a new process of the runner, which holds and knows nothing of before.
func (x *runner) start() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.born, x.orders, x.sequence, x.fence, x.alive = time.Now().UnixMilli(), 0, 0, 0, true
	x.conns, x.stopped = map[net.Conn]bool{}, make(chan struct{})
	x.server = &http.Server{Handler: x, ConnState: x.trackConnection}
	server, stopped := x.server, x.stopped
	go func() { _ = server.Serve(l) }()
	go x.announce(stopped)
	x.c.rec.line("runner %s of %s starts at %s, zone %s", x.id, x.service, x.address, x.zone)
	return nil
}

func (x *runner) trackConnection(conn net.Conn, state http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch state {
	case http.StateNew:
		x.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(x.conns, conn)
	}
}

// crash ends the process of the runner at once: its connections are reset and its port is
// closed.
func (x *runner) crash() {
	x.mu.Lock()
	if !x.alive {
		x.mu.Unlock()
		return
	}
	x.alive = false
	server := x.server
	close(x.stopped)
	for conn := range x.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	clear(x.held)
	x.mu.Unlock()
	_ = server.Close()
	x.c.rec.line("runner %s has crashed", x.id)
}

// heldModels lists the models that the runner holds, as it tells of them. The caller holds mu.
func (x *runner) heldModels() []map[string]any {
	out := []map[string]any{}
	for name := range x.held {
		out = append(out, map[string]any{"Name": name, "Version": 1, "Adapters": []string{}})
	}
	return out
}

// announce sends heartbeats to the control hosts until the process ends.
func (x *runner) announce(stopped chan struct{}) {
	for n := 0; ; n++ {
		x.mu.Lock()
		x.sequence++
		document := map[string]any{
			"Service": x.service, "Address": x.address, "Zone": x.zone, "Version": "v1", "Slots": 6, "State": "ready",
			"ColdLeftMs": 0, "Stage": "both", "Models": x.heldModels(), "Seq": x.sequence, "born": x.born,
		}
		x.mu.Unlock()
		for i := range controlHosts {
			if x.c.sendHeartbeat(x.c.controls()[(n+i)%controlHosts], x.id, document) {
				break
			}
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

var heartbeatClient = newHTTPClient(time.Second)

// sendHeartbeat sends an announcement to a control host and reports whether it was
// acknowledged.
func (c *cluster) sendHeartbeat(h *host, id string, document map[string]any) bool {
	body, err := json.Marshal(document)
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+c.controlAddress(h)+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != x.id {
		w.Header().Set("Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/report":
		x.answerReport(w)
		return
	case r.Method == http.MethodPost && r.URL.Path == "/v1/order":
		x.takeOrder(w, r)
		return
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", x.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	x.running.Add(1)
	defer x.running.Add(-1)
	x.handle(x, w, r)
}

func (x *runner) answerReport(w http.ResponseWriter) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "both", "Models": x.heldModels(), "Busy": false, "Seq": x.orders, "QueueDepth": 0, "ActiveRequests": x.running.Load(),
		"KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": x.born,
	})
}

// takeOrder carries out an order at once. A load of more than the memory holds is recorded,
// and the runner crashes.
func (x *runner) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Fence                             uint64
		Precondition                      *uint64
	}
	data, _ := io.ReadAll(r.Body)
	if json.Unmarshal(data, &order) != nil || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	x.c.rec.line("runner %s gets the order %s", x.id, bytes.TrimSpace(data))
	status := http.StatusAccepted
	overloaded := false
	switch {
	case order.Fence < x.fence:
		status = http.StatusPreconditionFailed
	case order.Precondition != nil && *order.Precondition != x.orders:
		status = http.StatusConflict
	case order.Operation == "load" && x.held[order.Model], order.Operation == "unload" && !x.held[order.Model]:
		status = http.StatusOK
	case order.Operation == "load":
		used := x.models[order.Model]
		for name := range x.held {
			used += x.models[name]
		}
		if overloaded = used > x.weightsMB; overloaded {
			x.overload = max(x.overload, used)
		}
		x.held[order.Model] = true
		x.orders++
	default:
		delete(x.held, order.Model)
		x.orders++
	}
	x.fence = max(x.fence, order.Fence)
	x.mu.Unlock()
	w.WriteHeader(status)
	if overloaded {
		x.c.rec.note("runner %s holds %.0f MB, is ordered to load %s and would need %.0f MB: it crashes", x.id, x.weightsMB, order.Model, x.overload)
		go x.crash()
	}
}

// sound is the handler of a sound server of a plain service, which works for a while.
func sound(work time.Duration) handler {
	return func(x *runner, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		x.c.rec.line("runner %s runs %s", x.id, r.Header.Get("Request-Id"))
		time.Sleep(work)
		answerSound(w, r, 800)
	}
}

// answerSound answers a request with a body of the given size.
func answerSound(w http.ResponseWriter, r *http.Request, size int) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}
