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

// Target is where and what to send.
type Target struct {
	Name    string
	Address string
	Body    string
	client  *http.Client
}

// NewTarget returns a target for chat completions at address.
func NewTarget(name, address, body string, connections int) *Target {
	return &Target{Name: name, Address: address, Body: body, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, DisableCompression: true},
	}}
}

// Send makes one request and reports an error unless the answer is whole.
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

// Report is the outcome of a run.
type Report struct {
	Name     string
	Failed   int
	LastErr  error
	Elapsed  time.Duration
	latency  []time.Duration
	recorder sync.Mutex
}

func (r *Report) add(d time.Duration, err error) {
	r.recorder.Lock()
	defer r.recorder.Unlock()
	if err != nil {
		r.Failed++
		r.LastErr = err
		return
	}
	r.latency = append(r.latency, d)
}

// Quantile returns a quantile of the latency of whole answers.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	slices.Sort(r.latency)
	return r.latency[min(int(q*float64(len(r.latency))), len(r.latency)-1)]
}

// Whole returns the number of whole answers.
func (r *Report) Whole() int { return len(r.latency) }

// Rate returns the whole answers a second.
func (r *Report) Rate() float64 { return float64(len(r.latency)) / r.Elapsed.Seconds() }

// Paced sends perSecond requests a second to each target, alternating between
// them so that all meet the same conditions. Requests are sent when due, whether
// or not earlier ones are answered. Latency counts from the send, because the
// delay of the sender's timer is no part of either path.
func Paced(ctx context.Context, perSecond float64, length time.Duration, targets ...*Target) []*Report {
	reports := make([]*Report, len(targets))
	for i, t := range targets {
		reports[i] = &Report{Name: t.Name, Elapsed: length}
	}
	var group sync.WaitGroup
	start := time.Now()
	gap := time.Duration(float64(time.Second) / perSecond)
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * gap / time.Duration(len(targets)))
		if due.Sub(start) >= length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		t, r := targets[n%len(targets)], reports[n%len(targets)]
		group.Go(func() {
			begun := time.Now()
			err := t.Send(ctx)
			r.add(time.Since(begun), err)
		})
	}
	group.Wait()
	return reports
}

// Closed sends over a fixed number of connections without pause.
func Closed(ctx context.Context, connections int, length time.Duration, t *Target) *Report {
	r := &Report{Name: t.Name}
	start := time.Now()
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			for time.Since(start) < length && ctx.Err() == nil {
				begun := time.Now()
				err := t.Send(ctx)
				r.add(time.Since(begun), err)
			}
		})
	}
	group.Wait()
	r.Elapsed = time.Since(start)
	return r
}
