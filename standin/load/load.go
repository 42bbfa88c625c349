// Package load sends requests to one address and measures their latency.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Target is an address and the body of the requests to send to it.
type Target struct {
	Name    string
	Address string
	Body    string
	client  *http.Client
}

// NewTarget returns a target for chat completions at an address, with at most the
// given number of connections.
func NewTarget(name, address, body string, connections int) *Target {
	return &Target{Name: name, Address: address, Body: body, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, DisableCompression: true},
	}}
}

// Send sends one request and returns an error unless it receives a complete answer
// with status 200.
func (t *Target) Send(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+"/v1/chat/completions", strings.NewReader(t.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("load: status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// Report is the result of a run against one target.
type Report struct {
	Name      string
	Failed    int
	LastErr   error
	Elapsed   time.Duration
	latencies []time.Duration
	mu        sync.Mutex
}

// record adds the latency of one request, or its error.
func (r *Report) record(d time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.Failed++
		r.LastErr = err
		return
	}
	r.latencies = append(r.latencies, d)
}

// Quantile returns quantile q, from 0 to 1, of the latency of complete answers.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

// Completed returns the number of complete answers.
func (r *Report) Completed() int { return len(r.latencies) }

// Rate returns the number of complete answers a second.
func (r *Report) Rate() float64 { return float64(len(r.latencies)) / r.Elapsed.Seconds() }

// RunPaced sends perSecond requests a second to each target for the given duration,
// and returns a report for each target in order. It alternates between the targets, so
// that all are measured under the same conditions. Requests are sent when due, whether
// or not earlier ones are answered. Latency is measured from the time of sending,
// because the delay of the sender's timer is not part of the path to a target.
func RunPaced(ctx context.Context, perSecond float64, duration time.Duration, targets ...*Target) []*Report {
	reports := make([]*Report, len(targets))
	for i, t := range targets {
		reports[i] = &Report{Name: t.Name, Elapsed: duration}
	}
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / perSecond)
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * interval / time.Duration(len(targets)))
		if due.Sub(start) >= duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		t, r := targets[n%len(targets)], reports[n%len(targets)]
		wg.Go(func() {
			sent := time.Now()
			err := t.Send(ctx)
			r.record(time.Since(sent), err)
		})
	}
	wg.Wait()
	return reports
}

// RunClosedLoop sends requests over a fixed number of connections for the given
// duration. Each connection sends the next request as soon as the previous one is
// answered.
func RunClosedLoop(ctx context.Context, connections int, duration time.Duration, t *Target) *Report {
	r := &Report{Name: t.Name}
	start := time.Now()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			for time.Since(start) < duration && ctx.Err() == nil {
				sent := time.Now()
				err := t.Send(ctx)
				r.record(time.Since(sent), err)
			}
		})
	}
	wg.Wait()
	r.Elapsed = time.Since(start)
	return r
}
