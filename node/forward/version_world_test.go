package forward

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/origins"
	"github.com/pollenwheel/pollenwheel/standin/memnet"
)

// versionWorldOptions describe streams through several hosts while servers of several
// software versions serve. Times count from the first request.
type versionWorldOptions struct {
	seed           uint64
	hosts, servers int
	perSecond      int
	duration       time.Duration
	// From releaseAt on, releaseShare of the servers are replaced by servers of the next
	// software version, one each releaseGap.
	releaseAt, releaseGap time.Duration
	releaseShare          float64
	// drain is how long a server that is replaced serves after that; zero means defaultDrain.
	drain time.Duration
	// At each of hostKills, killShare of the hosts are killed. They start again after
	// hostRestart, without memory.
	hostKills   []time.Duration
	killShare   float64
	hostRestart time.Duration
	// At each of crashes, crashShare of the servers crash. They start again after
	// serverRestart.
	crashes    []time.Duration
	crashShare float64
	// At each of resets, the connections of callers to half of the hosts are reset.
	resets []time.Duration
}

const (
	versionWorldRetries  = 3
	versionWorldDeadline = 12 * time.Second
	serverRestart        = 2 * time.Second
	// defaultDrain is how long a server that is replaced serves after its successor started.
	defaultDrain = 2 * time.Second
	// reconnectPause is how long a caller waits after a connection that failed.
	reconnectPause = 300 * time.Millisecond
)

// versionWorld runs forwarders and fake servers with a software version in memory and in
// virtual time.
type versionWorld struct {
	opts  versionWorldOptions
	net   memnet.Network
	start time.Time
	log   *worldLog
	ctx   context.Context
	// origins is the leader's side of the origins of streams, and registry admits versions.
	origins  *origins.Server
	registry *origin.Registry

	mu      sync.Mutex
	over    bool
	hosts   []*versionHost
	servers []*versionServer
	changed chan struct{}
	streams []versionStream
}

// versionStream is what a caller got of one stream over all its requests. Each element of
// versions is the software version that wrote the event of that number.
type versionStream struct {
	at       time.Duration
	versions []string
	// resumed counts the requests with which the caller resumed the stream, and continued
	// is set if one of them brought an event. whole is set if the stream reached its end.
	resumed          int
	continued, whole bool
	// resumedAt is when the first of them was sent.
	resumedAt time.Duration
	statuses  []int
}

// mixed reports whether more than one software version wrote the stream.
func (s versionStream) mixed() bool { return len(slices.Compact(slices.Clone(s.versions))) > 1 }

type versionHost struct {
	forwarder *Forwarder
	address   string
	server    *http.Server
	stop      context.CancelFunc
	mu        sync.Mutex
	conns     map[net.Conn]bool
	down      bool
}

type versionServer struct {
	world  *versionWorld
	status membership.Server
	http   *http.Server
}

// runVersionWorld plays the load and returns the world after it. It must run in a synctest
// bubble.
func runVersionWorld(t *testing.T, o versionWorldOptions) *versionWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWorld{
		opts: o, start: time.Now(), ctx: ctx, changed: make(chan struct{}),
		log: &worldLog{leader: state.New(), barred: map[string]bool{}, available: func() bool { return true }}, registry: origin.NewRegistry(),
	}
	w.origins = origins.NewServer(origins.ServerOptions{
		Term: func() (uint64, bool) { return 1, true }, Leader: func() string { return "" }, Admitted: w.admitted, Now: w.now,
	})
	for i := range o.servers {
		w.startServer(fmt.Sprint("server-", i), fmt.Sprintf("10.0.0.%d:80", i+1), "v1", 1)
	}
	engine := &route.Engine{Slots: 96, MemoryMiB: 1000, Models: []route.Model{{Name: "m", MemoryMiB: 10, StoreLoad: 6 * time.Second}}}
	w.log.apply(state.Command{Publish: &state.Publish{Table: route.Table{
		Version: 1, Services: []route.Service{{Name: "models", Engine: engine}}, Limits: route.Limits{BodyBytes: 1000},
		Routes: []route.Route{{
			Name: "help", Host: "h", Prefix: "/help/", Kind: route.Streaming, Resumable: true, Timeout: versionWorldDeadline,
			WaitLimit: 2 * time.Second, MaxAttempts: 3, Targets: []route.Target{{Service: "models", Weight: 1}},
		}},
	}}})
	for i := range o.hosts {
		w.hosts = append(w.hosts, &versionHost{address: fmt.Sprintf("10.1.0.%d:80", i+1), conns: map[net.Conn]bool{}})
		w.startHost(i)
	}
	time.Sleep(time.Second)
	w.scheduleEvents()
	w.playLoad()
	cancel()
	w.mu.Lock()
	w.over = true
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	w.mu.Unlock()
	for _, h := range w.hosts {
		_ = h.server.Close()
	}
	time.Sleep(time.Minute)
	return w
}

func (w *versionWorld) now() time.Duration { return time.Since(w.start) }

// startHost starts a process of host i that knows nothing of earlier processes.
func (w *versionWorld) startHost(i int) {
	ctx, stop := context.WithCancel(w.ctx)
	h := w.hosts[i]
	f := New(w.hostOptions(ctx, i))
	server := &http.Server{Handler: f, ReadHeaderTimeout: time.Minute, ConnState: h.trackConnection}
	h.mu.Lock()
	h.forwarder, h.server, h.stop, h.down = f, server, stop, false
	h.mu.Unlock()
	go func() { _ = f.Run(ctx) }()
	l := w.net.Listen(h.address)
	go func() { _ = server.Serve(l) }()
}

func (w *versionWorld) hostOptions(ctx context.Context, i int) Options {
	return Options{
		Protocol: testProtocol{}, Replica: w.log.follow(ctx), Log: w.log, Holdings: NewHoldings(), Self: state.HostProcess{Host: fmt.Sprint(i)},
		Servers: w.statuses, ServersChanged: w.serversChanged, HostCount: func() int { return w.opts.hosts },
		Now: func() time.Duration { return w.now() + time.Second }, Ready: func() bool { return true }, Dial: w.net.Dial,
		RetryLimit: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}, DemandChanged: func() {}, AskOrigins: w.askOrigins,
	}
}

// askOrigins sends a report to the leader.
func (w *versionWorld) askOrigins(ctx context.Context, r origin.Report, timeout time.Duration) (origin.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !pause(ctx, worldLinkDelay) {
		return origin.Reply{}, ctx.Err()
	}
	reply, err := w.origins.Handle(ctx, r)
	if err == nil && !pause(ctx, worldLinkDelay) {
		return origin.Reply{}, ctx.Err()
	}
	return reply, err
}

// admitted returns the software versions that the leader's state admits.
func (w *versionWorld) admitted() origin.Admitted {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	return w.log.leader.SoftwareVersions
}

// admit admits the software versions of the announced servers, as the leader does.
func (w *versionWorld) admit() {
	var announced []origin.Origin
	for _, s := range w.statuses() {
		announced = append(announced, origin.Origin{Service: s.Service, Version: s.SoftwareVersion})
	}
	for _, c := range w.registry.Step(w.now(), w.admitted(), announced) {
		command := state.NewSetSoftwareVersion(c)
		time.AfterFunc(worldCommitTime, func() { w.log.apply(state.Command{SetSoftwareVersion: &command}) })
	}
}

func (h *versionHost) trackConnection(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case http.StateNew:
		h.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	}
}

// reset closes the connections of the callers of a host.
func (h *versionHost) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.Close()
	}
}

// kill ends the process of host i, which starts again later.
func (w *versionWorld) kill(i int) {
	h := w.hosts[i]
	h.mu.Lock()
	h.down = true
	h.mu.Unlock()
	_ = h.server.Close()
	h.stop()
	time.AfterFunc(w.opts.hostRestart, func() {
		if w.ctx.Err() == nil {
			w.startHost(i)
		}
	})
}

func (w *versionWorld) statuses() []membership.ServerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.ServerStatus
	for _, s := range w.servers {
		out = append(out, membership.ServerStatus{Server: s.status})
	}
	return out
}

func (w *versionWorld) serversChanged() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// changeServers applies change to the list of announced servers.
func (w *versionWorld) changeServers(change func([]*versionServer) []*versionServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	w.servers = change(w.servers)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *versionWorld) startServer(name, address, version string, incarnation uint64) {
	s := &versionServer{world: w, status: membership.Server{
		Name: name, Service: "models", Address: address, Incarnation: incarnation, Sequence: 1, SoftwareVersion: version,
		Models: []membership.ModelReport{{Model: "m", Phase: membership.ReportReady}},
	}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	l := w.net.Listen(address)
	go func() { _ = s.http.Serve(l) }()
	w.changeServers(func(list []*versionServer) []*versionServer {
		list = slices.DeleteFunc(list, func(old *versionServer) bool { return old.status.Name == name })
		return append(list, s)
	})
	w.admit()
}

// crash ends a server process. It starts again after serverRestart, with the same version.
func (w *versionWorld) crash(s *versionServer) {
	_ = s.http.Close()
	time.AfterFunc(serverRestart, func() {
		if w.ctx.Err() == nil {
			w.startServer(s.status.Name, s.status.Address, s.status.SoftwareVersion, s.status.Incarnation+1)
		}
	})
}

// replace starts a server of the next version, after which the old one leaves.
func (w *versionWorld) replace(i int) {
	list := w.statuses()
	old := list[slices.IndexFunc(list, func(s membership.ServerStatus) bool { return s.SoftwareVersion == "v1" && !s.Leaving })]
	w.startServer(fmt.Sprint("next-", i), fmt.Sprintf("10.0.1.%d:80", i+1), "v2", 1)
	w.changeServers(func(list []*versionServer) []*versionServer {
		for k, s := range list {
			if s.status.Name == old.Name {
				leaving := *s
				leaving.status.Leaving = true
				leaving.status.Sequence++
				list[k] = &leaving
			}
		}
		return list
	})
	time.AfterFunc(cmp.Or(w.opts.drain, defaultDrain), func() {
		w.changeServers(func(list []*versionServer) []*versionServer {
			return slices.DeleteFunc(list, func(s *versionServer) bool {
				if s.status.Name == old.Name {
					_ = s.http.Close()
				}
				return s.status.Name == old.Name
			})
		})
	})
}

// scheduleEvents arranges the release, the crashes, the kills and the resets.
func (w *versionWorld) scheduleEvents() {
	o := w.opts
	rng := rand.New(rand.NewPCG(o.seed, 7))
	for i := range int(o.releaseShare * float64(o.servers)) {
		time.AfterFunc(o.releaseAt+time.Duration(i)*o.releaseGap, func() { w.replace(i) })
	}
	for _, at := range o.hostKills {
		victims := rng.Perm(o.hosts)[:int(o.killShare*float64(o.hosts))]
		time.AfterFunc(at, func() {
			for _, i := range victims {
				w.kill(i)
			}
		})
	}
	for _, at := range o.crashes {
		order := rng.Perm(o.servers)
		time.AfterFunc(at, func() {
			w.mu.Lock()
			list := slices.Clone(w.servers)
			w.mu.Unlock()
			for _, i := range order[:int(o.crashShare*float64(o.servers))] {
				w.crash(list[i%len(list)])
			}
		})
	}
	for _, at := range o.resets {
		victims := rng.Perm(o.hosts)[:o.hosts/2]
		time.AfterFunc(at, func() {
			for _, i := range victims {
				w.hosts[i].reset()
			}
		})
	}
}

// ServeHTTP writes a stream whose events name the server's software version.
func (s *versionServer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("T-Id", r.Header.Get("T-Id"))
	out.Header().Set("T-Signed", "yes")
	out.Header().Set("Content-Type", "text/event-stream")
	if !pause(r.Context(), worldPrefill) {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("T-After"))
	for i := after + 1; i <= worldEvents; i++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, s.status.SoftwareVersion)
		_ = http.NewResponseController(out).Flush()
		if !pause(r.Context(), worldEventPause) {
			return
		}
	}
}

// playLoad sends the requests of callers.
func (w *versionWorld) playLoad() {
	transport := &http.Transport{DialContext: w.net.Dial, DisableKeepAlives: true}
	var group sync.WaitGroup
	interval := time.Second / time.Duration(w.opts.perSecond)
	for i := range int(w.opts.duration / interval) {
		time.Sleep(interval)
		rng := rand.New(rand.NewPCG(w.opts.seed, uint64(i)+100))
		group.Go(func() { w.call(transport, i, rng) })
	}
	group.Wait()
}

// call reads a stream, and resumes it where it breaks off, as a caller does.
func (w *versionWorld) call(transport *http.Transport, i int, rng *rand.Rand) {
	s := versionStream{at: w.now() - time.Second}
	deadline := time.Now().Add(versionWorldDeadline)
	begunBy := ""
	for try := range 1 + versionWorldRetries {
		id := fmt.Sprintf("request-%d-%d", i, try)
		req, err := http.NewRequest(http.MethodPost, "http://"+w.upHost(rng)+"/help/x", strings.NewReader(strconv.Itoa(i)))
		if err != nil {
			panic(err)
		}
		req.Host = "h"
		req.Header = http.Header{"T-Id": {id}, "T-Model": {"m"}, "T-Deadline": {strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)}}
		if n := len(s.versions); n > 0 {
			req.Header["T-After"], req.Header["T-Resumes"] = []string{strconv.Itoa(n)}, []string{begunBy}
			if s.resumed++; s.resumed == 1 {
				s.resumedAt = w.now() - time.Second
			}
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			s.statuses = append(s.statuses, 0)
			time.Sleep(reconnectPause)
			continue
		}
		before := len(s.versions)
		s.whole = s.read(resp.Body)
		_ = resp.Body.Close()
		s.statuses = append(s.statuses, resp.StatusCode)
		if before == 0 && len(s.versions) > 0 {
			begunBy = id
		}
		s.continued = s.continued || before > 0 && len(s.versions) > before
		if s.whole || time.Now().After(deadline) {
			break
		}
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(deadline)/3))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams = append(w.streams, s)
}

// upHost returns the address of a random host that runs, or of any host if none does.
func (w *versionWorld) upHost(rng *rand.Rand) string {
	order := rng.Perm(len(w.hosts))
	for _, i := range order {
		h := w.hosts[i]
		h.mu.Lock()
		down := h.down
		h.mu.Unlock()
		if !down {
			return h.address
		}
	}
	return w.hosts[order[0]].address
}

// read adds the events of an answer, and reports whether the stream is whole.
func (s *versionStream) read(body io.Reader) bool {
	lines := bufio.NewReader(body)
	id := 0
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return errors.Is(err, io.EOF) && len(s.versions) == worldEvents
		}
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && id == len(s.versions)+1 {
			s.versions = append(s.versions, strings.TrimSpace(text))
		}
	}
}

// versionCounts sums up the streams.
type versionCounts struct{ streams, begun, whole, mixed, resumed, continued int }

func (w *versionWorld) counts() versionCounts {
	out := versionCounts{streams: len(w.streams)}
	for _, s := range w.streams {
		if len(s.versions) > 0 {
			out.begun++
		}
		if s.whole {
			out.whole++
		}
		if s.mixed() {
			out.mixed++
		}
		if s.resumed > 0 {
			out.resumed++
		}
		if s.continued {
			out.continued++
		}
	}
	return out
}
