package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// idleTimeout is IdleTimeoutMs of the configuration.
const idleTimeout = 15 * time.Second

// idleClient sends one request on a new connection, as clients do, and keeps the connection
// open without using it again. It returns the connection, or nil if there was no answer.
func (c *cluster) idleClient(h *host, id string, n int) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", c.frontAddress(h), time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "GET /status/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", n, clientHost, id)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, nil
}

// idleClients lets clients keep their connections open after their last request.
func idleClients(rec *record, c *cluster, trouble bool) (bool, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 3*maxDescriptors {
		return false, fmt.Errorf("the clients need %d descriptors and have %d", 3*maxDescriptors, own.Cur)
	}
	for i := range 3 {
		c.newRunner(i, "supply-ledger", zones[i], sound(20*time.Millisecond))
	}
	if err := c.start(map[string]any{
		"Routes":   []any{route("r-status", "/status/", "safe", "supply-ledger", 3*time.Second, 300*time.Millisecond, 2)},
		"Services": []any{plainService("supply-ledger")}, "Limits": limits,
	}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var idle []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	// lastServed is when a host last answered on a new connection, and failed the number of
	// clients that have tried in vain since.
	type state struct {
		lastServed time.Time
		failed     int
		longest    time.Duration
		tried      int
	}
	states := map[string]*state{}
	for _, h := range c.entries() {
		states[h.name] = &state{lastServed: time.Now()}
	}
	// The connections to the readiness address are opened before the others.
	ready := map[string]*http.Client{}
	for _, h := range c.entries() {
		ready[h.name] = &http.Client{Timeout: time.Second}
		if !c.saysReady(ready[h.name], h) {
			return false, fmt.Errorf("%s is not ready", h.name)
		}
	}
	var opened, kept atomic.Int64
	saidReady := map[string]int{}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		every(time.Second, 89*time.Second, func(int) {
			listed := c.listed()
			for _, h := range c.entries() {
				ok := c.saysReady(ready[h.name], h)
				mu.Lock()
				s := states[h.name]
				if s.failed >= 7 && time.Since(s.lastServed) > contactWindow && ok && listed[c.frontAddress(h)] {
					saidReady[h.name]++
				}
				mu.Unlock()
				rec.line("platform: %s says that it is ready: %t; the directory names it: %t", h.name, ok, listed[c.frontAddress(h)])
			}
		})
	}()
	every(time.Second/rateOfAllClients, 90*time.Second, func(n int) {
		h := c.entry(n)
		begun := time.Now()
		id := fmt.Sprintf("%016x", rand.Uint64())
		conn, err := c.idleClient(h, id, n)
		opened.Add(1)
		mu.Lock()
		defer mu.Unlock()
		s := states[h.name]
		if err != nil {
			rec.line("client %d: %s GET /status/%d to %s: no answer: %v", n, id, n, h.name, err)
			s.failed++
			if stretch := begun.Sub(s.lastServed); s.failed >= 7 && stretch > s.longest {
				s.longest, s.tried = stretch, s.failed
			}
			return
		}
		rec.line("client %d: %s GET /status/%d to %s: answered on a new connection", n, id, n, h.name)
		s.lastServed, s.failed = time.Now(), 0
		if !trouble {
			_ = conn.Close()
			return
		}
		kept.Add(1)
		idle = append(idle, conn)
	})
	<-checked
	broken := false
	for _, h := range c.entries() {
		s := states[h.name]
		rec.note("%s: longest time without an answer on a new connection: %.1f s, while %d clients tried; after more than %d s of it the host said %d times that it is ready, and the directory named it",
			h.name, s.longest.Seconds(), s.tried, int(contactWindow.Seconds()), saidReady[h.name])
		broken = broken || s.longest > contactWindow && saidReady[h.name] > 0
	}
	closed, sample := 0, idle[:min(len(idle), 500)]
	for _, conn := range sample {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err == io.EOF {
			closed++
		}
	}
	rec.note("%d clients connected; %d connections were left idle; of the %d oldest ones the hosts had closed %d at the end; IdleTimeoutMs is %d", opened.Load(), kept.Load(), len(sample), closed, idleTimeout.Milliseconds())
	return broken, nil
}

// rateOfAllClients is the number of requests a second of all clients, as on the sheet.
const rateOfAllClients = 105

// saysReady reports whether a host says that it is ready, on a kept connection.
func (c *cluster) saysReady(client *http.Client, h *host) bool {
	resp, err := client.Get("http://" + c.readyAddress(h) + "/v1/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listed returns the addresses that a directory names to clients.
func (c *cluster) listed() map[string]bool {
	out := map[string]bool{}
	resp, err := operator.Get("http://" + c.directoryAddress(c.controls()[0]) + "/v1/resolve?Name=" + clientHost + "&Region=central-tx&Zone=waco")
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	var document struct{ Addresses []string }
	if json.NewDecoder(resp.Body).Decode(&document) == nil {
		for _, address := range document.Addresses {
			out[address] = true
		}
	}
	return out
}
