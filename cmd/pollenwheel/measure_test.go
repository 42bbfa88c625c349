package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/standin/engine"
)

// TestMeasureHosts prints the figures of docs/MEASUREMENTS.md, section Hosts.
// It runs only when POLLENWHEEL_MEASURE is set.
func TestMeasureHosts(t *testing.T) {
	if os.Getenv("POLLENWHEEL_MEASURE") == "" {
		t.Skip("POLLENWHEEL_MEASURE is not set")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := newDeployment(t, 8)
	for _, p := range d.processes {
		d.awaitReady(p)
	}
	d.startEngines(ctx, 12)
	d.apply(1, d.processes...)
	d.awaitVersion()
	d.measureIdle(60 * time.Second)
	d.measureChanges(200)
	d.measureLeaving()
}

// sample holds metrics of one process: CPU time in seconds, resident memory in
// bytes, and the bytes sent to and received from peers.
type sample struct{ cpu, resident, sent, received float64 }

func (d *deployment) sample(p *process) sample {
	d.t.Helper()
	resp, err := http.Get("http://" + p.settings.CallerAddress + "/metrics")
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return parseSample(resp.Body)
}

func parseSample(r io.Reader) (out sample) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch {
		case name == "process_cpu_seconds_total":
			out.cpu = v
		case name == "process_resident_memory_bytes":
			out.resident = v
		case strings.HasPrefix(name, "pollenwheel_peer_sent"):
			out.sent = v
		case strings.HasPrefix(name, "pollenwheel_peer_received"):
			out.received = v
		}
	}
	return out
}

// measureIdle prints the resources that each host uses over the span while no
// caller sends requests.
func (d *deployment) measureIdle(span time.Duration) {
	d.t.Helper()
	time.Sleep(10 * time.Second)
	before := make([]sample, len(d.processes))
	leader := d.awaitLeader()
	for i, p := range d.processes {
		before[i] = d.sample(p)
	}
	time.Sleep(span)
	for i, p := range d.processes {
		after := d.sample(p)
		role := "entry"
		if p.settings.Control {
			role = "control"
		}
		if p == leader {
			role = "leader"
		}
		fmt.Printf("idle %s %-7s cpu %.2f%% of a core, resident %.1f MiB, sent %.2f KB/s, received %.2f KB/s\n", p.settings.Host, role,
			100*(after.cpu-before[i].cpu)/span.Seconds(), after.resident/(1<<20),
			(after.sent-before[i].sent)/span.Seconds()/1000, (after.received-before[i].received)/span.Seconds()/1000)
	}
}

// measureChanges measures the time from the request for a change until every host
// has the new version.
func (d *deployment) measureChanges(n int) {
	d.t.Helper()
	var times []time.Duration
	for i := range n {
		start := time.Now()
		next := d.acceptedVersion.Load() + 1
		var wg sync.WaitGroup
		for _, p := range d.processes {
			wg.Go(func() {
				for {
					if r, err := d.readiness(p); err == nil && r.Version >= next {
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		d.apply(int(next), d.processes[i%len(d.processes)])
		wg.Wait()
		times = append(times, time.Since(start))
	}
	printQuantiles("change in force on all hosts", times)
}

// measureLeaving measures the time from the start of an engine's departure until every
// host reports it as leaving.
func (d *deployment) measureLeaving() {
	d.t.Helper()
	var times []time.Duration
	for _, e := range d.engines {
		start := time.Now()
		go func(e *engine.Engine) { _ = e.Leave(context.Background()) }(e)
		leavingCount := len(times) + 1
		var wg sync.WaitGroup
		for _, p := range d.processes {
			wg.Go(func() {
				var s struct {
					Servers struct{ Leaving int } `json:"servers"`
				}
				for {
					if err := d.get(p, "/v1/admin/status", &s); err == nil && s.Servers.Leaving >= leavingCount {
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		wg.Wait()
		times = append(times, time.Since(start))
	}
	printQuantiles("leaving known on all hosts", times)
}

func printQuantiles(label string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(q float64) time.Duration {
		return times[int(q*float64(len(times)-1))].Round(100 * time.Microsecond)
	}
	fmt.Printf("%s: n %d, median %s, 95%% %s, maximum %s\n", label, len(times), quantile(0.5), quantile(0.95), quantile(1))
}
