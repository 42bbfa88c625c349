package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

// startFlood registers a backend server that reads the given number of attempts before it
// answers any of them. Each connection then gets bytes that are no complete answer, which
// stay below the limit for one answer, and stays open until the host closes it.
func startFlood(cl *cluster, s membership.Server, attempts int, answer string) {
	var arrived sync.WaitGroup
	arrived.Add(attempts)
	startRawServer(cl, s, answer, func() {
		arrived.Done()
		arrived.Wait()
	})
}

// startRawServer registers a backend server that answers each attempt with the given bytes, in
// which $ID stands for the ID of the attempt, after arrived has returned.
func startRawServer(cl *cluster, s membership.Server, answer string, arrived func()) {
	l := cl.net.Listen(s.Address)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer, arrived)
		}
	}()
	go func() {
		<-cl.ctx.Done()
		_ = l.Close()
	}()
	cl.register(s)
}

func serveRaw(conn net.Conn, answer string, arrived func()) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get(backend.HeaderAttemptID)
	if id == "" {
		// Probes and cancellations show that the process runs.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Incarnation: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	arrived()
	_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "$ID", id))
	_, _ = io.Copy(io.Discard, conn)
}

// TestBytesWithoutEndAreBoundedInSum guards against a server that sends bytes without end,
// none of which reaches the limit for one answer, and which together take the memory of the
// host: in a head, in interim answers, in an event, in a refusal and in a body with a length,
// with chunks and with neither. As many answers as necessary must end, as unknown, since
// their requests may have run; the server must be counted against, and requests to another
// service served.
func TestBytesWithoutEndAreBoundedInSum(t *testing.T) {
	const (
		requests = 16
		// kept is the number of answers for which the account has room.
		kept = 4
		kib  = 1 << 10
		head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $ID\r\n"
	)
	servicePath, modelPath := "/v1/services/"+orderService+"/orders", "/v1/chat/completions"
	bytes := func(n int) string { return strings.Repeat("x", n) }
	for _, c := range []struct {
		name, path, answer string
		// size is the number of bytes of one answer.
		size int
	}{
		{"a head", servicePath, head + "X-A: " + bytes(48*kib), 48 * kib},
		{"interim answers", servicePath, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+bytes(8*kib)+"\r\n\r\n", 4), 32 * kib},
		{"an event", modelPath, head + "Content-Type: text/event-stream\r\n\r\ndata: " + bytes(900*kib), 900 * kib},
		{"a refusal", servicePath, "HTTP/1.1 503 Busy\r\nX-Attempt-Id: $ID\r\n\r\n" + bytes(900*kib), 900 * kib},
		{"a body with a length", servicePath, head + "Content-Length: 1000000\r\n\r\n" + bytes(900*kib), 900 * kib},
		{"a body with chunks", servicePath, head + "Transfer-Encoding: chunked\r\n\r\ne1000\r\n" + bytes(900*kib) + "\r\n", 900 * kib},
		{"a body with neither", servicePath, head + "\r\n" + bytes(900*kib), 900 * kib},
		{"a body instead of events", modelPath, head + "\r\n" + bytes(900*kib), 900 * kib},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				limit := int64(kept*c.size + c.size/2)
				options := clusterOptions{hosts: 1, engines: 1, memoryLimit: limit}
				faulty := membership.Server{Name: "faulty", Service: orderService, Kind: config.KindPlain, DataCentre: "waco", Address: "10.0.9.1:80", Incarnation: 1, Sequence: 1}
				key, soundPath, soundBody := routing.Key{Service: orderService}, modelPath, chatBody("sound", false, 3)
				if c.path == modelPath {
					options.engines, options.plainServers = 0, 1
					faulty.Service, faulty.Kind, faulty.MemoryMiB = "lace-assist", config.KindEngine, 1000
					key, soundPath, soundBody = routing.Key{Service: "lace-assist", Model: guideModel}, servicePath, "{}"
				}
				cl := newCluster(options)
				defer cl.close()
				startFlood(cl, faulty, requests, c.answer)
				time.Sleep(100 * time.Millisecond)
				h := cl.hosts[0]
				begin := h.entry.opts.Now()

				replies := make(chan reply, requests)
				for i := range requests {
					go func() {
						replies <- h.call(context.Background(), c.path, map[string]string{
							"X-Idempotent": "false", "Idempotency-Key": fmt.Sprintf("%d.%d", time.Now().UnixMilli(), i), "X-Deadline-Ms": "900",
						}, chatBody("flood", true, 3))
					}()
				}
				for range requests - kept {
					if r := <-replies; r.refusal == nil || r.refusal.Code != "outcome_unknown" || r.refusal.Execution != ExecutionUnknown {
						t.Errorf("ended answer: status %d, body %s; want outcome_unknown and unknown", r.status, r.body)
					}
				}
				if n := h.entry.opts.Memory.Held(); n > limit {
					t.Errorf("%d bytes held, limit %d", n, limit)
				}
				if r := h.call(context.Background(), soundPath, nil, soundBody); r.status != http.StatusOK {
					t.Errorf("sound service: status %d, body %s; want 200", r.status, r.body)
				}
				// The time of the query lies before the end of the breaker's pause.
				h.entry.mu.Lock()
				_, ok := h.entry.router.Pick(begin, routing.Query{Key: key})
				h.entry.mu.Unlock()
				if ok {
					t.Error("the faulty server would get another request, want its breaker to be open")
				}
				for range kept {
					if r := <-replies; r.refusal == nil || r.refusal.Execution != ExecutionUnknown {
						t.Errorf("answer without end: status %d, body %s; want a refusal as unknown", r.status, r.body)
					}
				}
				time.Sleep(time.Second)
				if n := h.entry.opts.Memory.Held(); n != 0 {
					t.Errorf("%d bytes held after the last request, want 0", n)
				}
			})
		})
	}
}

// TestRequestBodiesAreBoundedInSum guards against callers whose bodies together exceed the
// memory of the host.
func TestRequestBodiesAreBoundedInSum(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 1, memoryLimit: 1 << 20})
		defer cl.close()
		other := cl.hosts[0].entry.opts.Memory.HoldRequest()
		if err := other.Grow(1 << 19); err != nil {
			t.Fatal(err)
		}
		r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("sound", false, 3))
		if r.status != http.StatusServiceUnavailable || r.refusal == nil || r.refusal.Code != "host_overloaded" || r.refusal.Execution != ExecutionNotRun {
			t.Errorf("status %d, body %s; want 503, host_overloaded and not_run", r.status, r.body)
		}
		other.Release()
		if r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("sound", false, 3)); r.status != http.StatusOK {
			t.Errorf("status %d, body %s after the other body was released; want 200", r.status, r.body)
		}
		if n := cl.hosts[0].entry.opts.Memory.Held(); n != 0 {
			t.Errorf("%d bytes held after the last request, want 0", n)
		}
	})
}

// TestStreamOutlivesItsRetainedEvents guards against a stream that is cut because the memory
// of the host has no room for a copy of its events.
func TestStreamOutlivesItsRetainedEvents(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 1, memoryLimit: 16 << 10})
		defer cl.close()
		r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody("stream", true, 400))
		if text, complete := r.text(true); !complete || text != expectedText("stream", 400) || len(r.body) < 16<<10 {
			t.Errorf("incomplete or wrong stream of %d bytes", len(r.body))
		}
		if n := cl.hosts[0].entry.opts.Memory.Held(); n != 0 {
			t.Errorf("%d bytes held after the stream, want 0", n)
		}
	})
}

// TestOutcomesThatWaitAreBounded guards against outcomes that take the memory of the host
// while the log is unavailable, and against a record that promises too much instead.
func TestOutcomesThatWaitAreBounded(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, engines: 1, memoryLimit: 1 << 20})
		defer cl.close()
		e := cl.hosts[0].entry
		ans := &answer{memory: e.opts.Memory, retain: true, stream: true, complete: true, status: http.StatusOK}
		ans.retainEvent(make([]byte, 100<<10))
		other := e.opts.Memory.HoldRequest()
		if err := other.Grow(450 << 10); err != nil {
			t.Fatal(err)
		}
		e.recordOutcome(&request{idempotencyKey: "1.a", nonce: 1}, ans, nil)
		if n := e.opts.Memory.Held(); n != 550<<10 {
			t.Errorf("%d bytes held with an outcome above the limit, want %d", n, 550<<10)
		}
		other.Release()
		e.recordOutcome(&request{idempotencyKey: "1.b", nonce: 2}, ans, nil)
		if n := e.opts.Memory.Held(); n != 200<<10 {
			t.Errorf("%d bytes held with an outcome below the limit, want %d", n, 200<<10)
		}
		ans.release()
		time.Sleep(time.Minute)
		if n := e.opts.Memory.Held(); n != 0 {
			t.Errorf("%d bytes held after the record, want 0", n)
		}
	})
}
