package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/standin/plain"
)

// TestAdaptersAndCallsWithProcesses guards against adapters that are not loaded
// or cannot be reached through every host, and against a second execution of a
// call that must not be repeated. The call is resent through other hosts, also
// after the entry host that received it first was killed.
func TestAdaptersAndCallsWithProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(t, 5)
	d.adjust = func(c *config.Configuration) {
		c.Services = append(c.Services, config.Service{Name: "supply-ledger", Kind: config.KindPlain})
		for i, m := range d.models {
			c.Adapters = append(c.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%d", i), Model: m, Version: "1", MemoryMiB: 500})
		}
	}
	for _, p := range d.processes {
		d.awaitReady(p)
	}
	d.startEngines(ctx, 3)
	journal := d.startPlainServers(ctx, 2)
	d.apply(1, d.processes...)
	d.awaitVersion()
	d.requestAdapters(ctx)
	d.resendThroughOthers(ctx, journal)
	d.sendThroughAll(ctx, journal)
	for i, p := range []*process{d.processes[4], d.awaitLeader()} {
		d.killEntryHost(ctx, journal, p, fmt.Sprintf("killed-%d", i))
	}
}

// requestAdapters requests each adapter through all hosts at once while it is
// cold, and again while it is warm.
func (d *deployment) requestAdapters(ctx context.Context) {
	d.t.Helper()
	for _, state := range []string{"cold", "warm"} {
		var wg sync.WaitGroup
		for i := range d.models {
			for _, p := range d.processes {
				wg.Go(func() {
					name := fmt.Sprintf("adapter-%d", i)
					if err := d.sendPrompt(ctx, p, name, state+" "+name+" "+p.settings.Host, 3, waitLimit); err != nil {
						d.t.Errorf("%s request for %s through %s: %v", state, name, p.settings.Host, err)
					}
				})
			}
		}
		wg.Wait()
	}
}

// callDuration is the time that a plain server takes for one call.
const callDuration = 300 * time.Millisecond

// startPlainServers starts plain servers that share a journal.
func (d *deployment) startPlainServers(ctx context.Context, n int) *plain.Journal {
	d.t.Helper()
	journal := &plain.Journal{}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		s := plain.Start(plain.Options{
			Name: fmt.Sprintf("ledger-%d", i), Service: "supply-ledger", DataCentre: testDataCentres[i], Incarnation: 1,
			Listener: listener, CallTime: callDuration, Journal: journal, Faults: d.plainFaults,
		})
		d.t.Cleanup(s.Close)
		go d.announce(ctx, s)
	}
	return journal
}

// announce sends a plain server's announcements to every host.
func (d *deployment) announce(ctx context.Context, s *plain.Server) {
	for ctx.Err() == nil {
		for _, p := range d.processes {
			body, _ := json.Marshal(s.NextAnnouncement())
			requestCtx, cancel := context.WithTimeout(ctx, time.Second)
			req, err := http.NewRequestWithContext(requestCtx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/backend/announce", bytes.NewReader(body))
			if err == nil {
				if resp, err := d.client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}
			cancel()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// sendCall sends a call that must not be executed twice. The body of the call is its
// idempotency key, so that countRuns finds the call in the journal.
func (d *deployment) sendCall(ctx context.Context, p *process, key string) (status int, replayed bool, body string, err error) {
	return sendCallOver(ctx, d.client, p, key, waitLimit)
}

// sendCallOver is sendCall with a client and a timeout.
func sendCallOver(ctx context.Context, client *http.Client, p *process, key string, timeout time.Duration) (status int, replayed bool, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/services/supply-ledger/entries", strings.NewReader(key))
	if err != nil {
		return 0, false, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Idempotent", "false")
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, false, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Replayed") == "true", string(data), err
}

func newIdempotencyKey(suffix string) string {
	return fmt.Sprintf("%d.%s", time.Now().UnixMilli(), suffix)
}

// countRuns returns the number of executions of a call that the journal holds.
func countRuns(journal *plain.Journal, key string) int {
	n := 0
	for _, c := range journal.Calls() {
		if c.Body == key {
			n++
		}
	}
	return n
}

func (d *deployment) checkRuns(journal *plain.Journal, key string, want int) {
	d.t.Helper()
	if n := countRuns(journal, key); n != want {
		d.t.Errorf("the call %s ran %d times, want %d", key, n, want)
	}
}

// resendThroughOthers sends a call and resends it through each other host, which
// must return the recorded answer.
func (d *deployment) resendThroughOthers(ctx context.Context, journal *plain.Journal) {
	d.t.Helper()
	key, firstBody := newIdempotencyKey("resent"), ""
	d.await("the call is answered", func() bool {
		status, _, body, err := d.sendCall(ctx, d.processes[0], key)
		firstBody = body
		return err == nil && status == http.StatusOK
	})
	for _, p := range d.processes[1:] {
		d.await("the recorded answer is returned through "+p.settings.Host, func() bool {
			status, replayed, body, err := d.sendCall(ctx, p, key)
			return err == nil && status == http.StatusOK && replayed && body == firstBody
		})
	}
	d.checkRuns(journal, key, 1)
}

// sendThroughAll sends the same call through all hosts at once. It must be
// executed only once.
func (d *deployment) sendThroughAll(ctx context.Context, journal *plain.Journal) {
	d.t.Helper()
	key := newIdempotencyKey("at-once")
	var wg sync.WaitGroup
	for _, p := range d.processes {
		wg.Go(func() {
			status, _, body, err := d.sendCall(ctx, p, key)
			if err != nil || status != http.StatusOK && checkTypedRefusal(status, body) != nil {
				d.t.Errorf("call through %s: status %d, %q, error %v", p.settings.Host, status, body, err)
			}
		})
	}
	wg.Wait()
	d.checkRuns(journal, key, 1)
}

// checkTypedRefusal returns nil for a typed refusal.
func checkTypedRefusal(status int, body string) error {
	err := parseRefusal(status, body)
	var typed *refusedError
	if errors.As(err, &typed) {
		return nil
	}
	return err
}

// killEntryHost kills the entry host that received a call while the call runs. It
// resends the call through the other hosts and then through the restarted host. The
// call must be executed only once.
func (d *deployment) killEntryHost(ctx context.Context, journal *plain.Journal, p *process, keySuffix string) {
	d.t.Helper()
	var key string
	var refused []string
	returned := make(chan struct{})
	close(returned)
	// During an election, the host refuses a call without running it. The call is then
	// made anew.
	d.await("the call runs", func() bool {
		if key != "" && countRuns(journal, key) > 0 {
			return true
		}
		select {
		case <-returned:
			refused = append(refused, key)
			key, returned = newIdempotencyKey(keySuffix), make(chan struct{})
			go func(key string, returned chan struct{}) {
				_, _, _, _ = d.sendCall(ctx, p, key)
				close(returned)
			}(key, returned)
		default:
		}
		return false
	})
	d.kill(p)
	<-returned
	for range 2 {
		for _, other := range d.processes {
			if other == p {
				continue
			}
			status, replayed, body, err := d.sendCall(ctx, other, key)
			if err != nil || status == http.StatusOK && !replayed || status != http.StatusOK && checkTypedRefusal(status, body) != nil {
				d.t.Errorf("resend through %s: status %d, %q, error %v", other.settings.Host, status, body, err)
			}
		}
	}
	d.start(p)
	d.awaitReady(p)
	if _, _, _, err := d.sendCall(ctx, p, key); err != nil {
		d.t.Errorf("resend through the restarted host: %v", err)
	}
	time.Sleep(2 * callDuration)
	d.checkRuns(journal, key, 1)
	for _, k := range refused {
		d.checkRuns(journal, k, 0)
	}
}
