package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/platform/platformtest"
)

const (
	rigSlowInterval     = 2500 * time.Millisecond
	rigProbeDeadline    = 900 * time.Millisecond
	rigProbeTimeout     = 1500 * time.Millisecond
	rigAnnounceInterval = 1200 * time.Millisecond
)

// rigProber asks one entry host which configuration is in force there.
type rigProber struct {
	cluster *rigCluster
	host    *rigHost
	rng     *rand.Rand
	client  *http.Client
}

func newRigProber(c *rigCluster, h *rigHost, seed uint64) *rigProber {
	return &rigProber{
		cluster: c, host: h, rng: rand.New(rand.NewPCG(seed, uint64(1000+h.index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run asks until ctx ends.
func (p *rigProber) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		p.ask(ctx, probeWhich, string(probeWhich), rigNothing)
		if acked := p.cluster.record.newestAcked(); acked != nil {
			switch n % 3 {
			case 0:
				p.ask(ctx, probeAdded, rigMarker(acked.index), acked.index)
			case 1:
				p.ask(ctx, probeRemoved, rigMarker(acked.index-rigMarkers), acked.index-rigMarkers)
			case 2:
				p.ask(ctx, probeNever, "never", rigNothing)
			}
		}
		sleepOrDone(ctx, *rigProbePause/2+time.Duration(p.rng.Int64N(int64(*rigProbePause))))
	}
}

// ask sends one request and records what its answer shows. marker is the index of the change
// that added the route.
func (p *rigProber) ask(ctx context.Context, probe rigProbe, prefix string, marker int) {
	s := rigSight{host: p.host.index, probe: probe, path: "/" + prefix + "/", incarnation: p.host.incarnation(), atLeast: rigNothing, atMost: rigAnything}
	s.at.from = p.cluster.now()
	status, answer := p.send(ctx, s.path, rigProbeTimeout)
	s.at.to, s.status = p.cluster.now(), status
	if ctx.Err() != nil || p.host.incarnation() != s.incarnation {
		return
	}
	newest := p.cluster.record.newestIndex()
	switch {
	case status == http.StatusOK && probe == probeNever:
		p.cluster.record.violate(rigOther, "%s serves %s at %.3f s, which no configuration has", p.host.name(), s.path, s.at.from.Seconds())
	case status == http.StatusOK:
		s.ran = time.Unix(0, answer.UnixNano).Sub(p.cluster.begin)
		if index, ok := rigIndex(answer.Service, answer.Priority, newest); ok {
			s.atLeast, s.atMost = index, index
		}
	case status == http.StatusNotFound && probe == probeWhich:
		p.cluster.record.violate(rigDenied, "%s answered 404 for %s at %.3f s", p.host.name(), s.path, s.at.from.Seconds())
	case status == http.StatusNotFound && marker >= 0 && newest < marker+rigMarkers:
		s.atMost = marker - 1
	}
	p.cluster.record.addSight(s)
	p.logSight(s)
}

func (p *rigProber) logSight(s rigSight) {
	fields := map[string]any{"at_host": p.host.name(), "path": s.path, "status": s.status, "sent": s.at.from.Seconds(), "took": (s.at.to - s.at.from).Seconds()}
	if s.atMost != rigAnything {
		fields["index"] = s.atMost
	}
	p.cluster.log("rig", "probe", fields)
}

// send sends a request. The status is 0 without a complete answer.
func (p *rigProber) send(ctx context.Context, path string, limit time.Duration) (int, platformtest.Answer) {
	var answer platformtest.Answer
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.cluster.address(p.host, rigFrontPort)+path+"x", http.NoBody)
	if err != nil {
		return 0, answer
	}
	req.Host = rigCallerHost
	req.Header.Set("Request-Id", fmt.Sprintf("%016x", p.rng.Uint64()))
	req.Header.Set("Deadline-Ms", fmt.Sprint(rigProbeDeadline.Milliseconds()))
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, answer
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && json.Unmarshal(body, &answer) != nil {
		return 0, answer
	}
	return resp.StatusCode, answer
}

// runSlow sends requests that outlast the time-out of their route until ctx ends.
func (p *rigProber) runSlow(ctx context.Context) {
	limit := rigSlowTimeout + rigSlowTimeoutStep + rigTimeoutSlack
	for ctx.Err() == nil {
		s := rigSight{host: p.host.index, at: rigInterval{from: p.cluster.now()}}
		status, _ := p.send(ctx, rigSlowPath, limit)
		s.at.to = p.cluster.now()
		if ctx.Err() == nil {
			p.cluster.record.addHeld(s, status == 0)
		}
		sleepOrDone(ctx, rigSlowInterval)
	}
}

// rigSlowPath is the route whose server never answers.
const rigSlowPath = "/slow/"

// addHeld records a request to a server that never answers.
func (r *rigRecord) addHeld(s rigSight, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, s)
	if unanswered {
		r.unanswered = append(r.unanswered, s)
	}
}

// startServers starts a backend server for each service whose requests tell the change in
// force.
func (c *rigCluster) startServers(ctx context.Context) {
	for i := range rigServices {
		s, err := platformtest.Start(ctx, platformtest.Options{
			Name: fmt.Sprintf("i-%04x", 0x7a00+i), Service: rigServiceName(i), Zone: testDataCentres[i%len(testDataCentres)],
			Address: fmt.Sprintf("%s:%d", c.ip(rigFirstServerIP+i), c.port+rigServerPort), ControlHosts: func() []string { return c.controlAddresses(i) },
			Interval: rigAnnounceInterval, Hold: func(path string) bool { return strings.HasPrefix(path, rigSlowPath) },
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { _ = s.Close() })
	}
}
