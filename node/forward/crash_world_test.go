package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
	"github.com/pollenwheel/pollenwheel/standin/memnet"
)

// harmfulPrefix is how the parts begin that crash each server that begins to write an
// answer to a request with one of them.
const harmfulPrefix = "harmful-"

// harmfulPartOf returns the harmful part of a request, or an empty text.
func harmfulPartOf(parts []string) string {
	for _, p := range parts {
		if strings.HasPrefix(p, harmfulPrefix) {
			return p
		}
	}
	return ""
}

// harmfulEvent is the arrival of a harmful request at a server, or its crash.
type harmfulEvent struct {
	at   time.Duration
	part string
}

// crashWorldOptions describe a load on several hosts before servers that crash.
type crashWorldOptions struct {
	seed           uint64
	hosts, servers int
	// perSecond is the number of requests a second, and harmfulShare the share of
	// those with a harmful part between harmfulFrom and harmfulUntil.
	perSecond                 int
	harmfulShare              float64
	harmfulFrom, harmfulUntil time.Duration
	duration                  time.Duration
	// harmfulParts is the number of different harmful parts; zero means one.
	harmfulParts int
	// logDownFrom and logDownUntil are when the log accepts nothing.
	logDownFrom, logDownUntil time.Duration
	// contentHarmful makes one request harmful as a whole, without a harmful part. Its
	// caller sends it again each time.
	contentHarmful bool
	// harmfulFirst puts the harmful part before the part that the request shares with
	// sound ones.
	harmfulFirst bool
	// harmfulRenewed puts a part after the harmful one that no request has held before. Sound
	// requests hold it too, from renewedAfter after the first harmful one on.
	harmfulRenewed bool
	// promptParts is the number of further parts that all requests share. They stand after the
	// others, also after the harmful one.
	promptParts int
	// harmfulModel and harmfulAdapter make every request for one model, or for one adapter
	// of the model that sound requests use, harmful. No two of them share a prompt part.
	harmfulModel, harmfulAdapter bool
	// crashEvery crashes servers without any cause in a request at this interval, and
	// crashTogether is the number of servers that it hits at once.
	crashEvery    time.Duration
	crashTogether int
}

// crashWorld runs forwarders and fake model servers in memory and in virtual time.
type crashWorld struct {
	opts  crashWorldOptions
	net   memnet.Network
	start time.Time
	log   *worldLog
	hosts []*Forwarder

	mu      sync.Mutex
	servers []*worldServer
	changed chan struct{}
	// over is set at the end, after which no server starts again.
	over bool
	// crashes are the times at which harmful requests crashed servers, and arrivals
	// those at which harmful requests reached servers.
	crashes, arrivals []harmfulEvent
	calls             []worldCall
}

// worldCall is one request of a caller.
type worldCall struct {
	at             time.Duration
	first          string
	model, adapter string
	harmful        bool
	// begunAtFirst is set if the first attempt brought an event; served if any
	// attempt brought the whole answer.
	begunAtFirst, served bool
	statuses             []int
}

type worldServer struct {
	world       *crashWorld
	status      membership.Server
	http        *http.Server
	crashedOnce sync.Once
}

const (
	worldPrefill     = 80 * time.Millisecond
	worldEventPause  = 50 * time.Millisecond
	worldEvents      = 20
	worldRestart     = 3 * time.Second
	worldCommitTime  = 10 * time.Millisecond
	worldFollowDelay = 5 * time.Millisecond
)

// worldLog is the replicated log: it applies commands to the leader's state and then to
// the replicas of the hosts.
type worldLog struct {
	mu        sync.Mutex
	index     uint64
	leader    *state.State
	followers []chan state.Command
	proposals int
	// barred are the prompt parts that were in quarantine at any time.
	barred map[string]bool
	// available reports whether the log accepts commands.
	available func() bool
}

func (l *worldLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	for first := true; first || !l.available(); first = false {
		if !pause(ctx, worldCommitTime) {
			return state.Result{}, ctx.Err()
		}
	}
	return l.apply(c), nil
}

func (l *worldLog) apply(c state.Command) state.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.proposals++
	result := l.leader.Apply(l.index, c)
	for key, rec := range l.leader.Suspects {
		if id, ok := strings.CutPrefix(key, state.PartKey("")); ok && rec.Quarantined {
			l.barred[id] = true
		}
	}
	for _, f := range l.followers {
		f <- c
	}
	return result
}

// follow returns a replica that has applied the log so far and applies it until ctx ends.
func (l *worldLog) follow(ctx context.Context) *replica.Replica {
	return l.followUnless(ctx, func() bool { return false })
}

// followUnless does the same, and applies nothing while cutOff returns true.
func (l *worldLog) followUnless(ctx context.Context, cutOff func() bool) *replica.Replica {
	feed := make(chan state.Command, 1<<16)
	l.mu.Lock()
	l.followers = append(l.followers, feed)
	first := l.index + 1
	r := replica.New(l.leader.ForFollowers())
	l.mu.Unlock()
	go func() {
		for index := first; ; index++ {
			select {
			case <-ctx.Done():
				return
			case c := <-feed:
				time.Sleep(worldFollowDelay)
				for cutOff() && pause(ctx, worldFollowDelay) {
				}
				r.Apply(index, c)
			}
		}
	}()
	return r
}

// runCrashWorld plays the load and returns the world after it. It must run in a
// synctest bubble.
func runCrashWorld(t *testing.T, o crashWorldOptions) *crashWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &crashWorld{opts: o, start: time.Now(), log: &worldLog{leader: state.New(), barred: map[string]bool{}}, changed: make(chan struct{})}
	w.log.available = func() bool {
		at := w.now() - time.Second
		return at < o.logDownFrom || at >= o.logDownUntil
	}
	for i := range o.servers {
		w.startServer(fmt.Sprintf("server-%d", i), fmt.Sprintf("10.0.0.%d:80", i+1), 1)
	}
	for i := range o.hosts {
		w.startHost(ctx, i)
	}
	engine := &route.Engine{Slots: 96, MemoryMiB: 1000, Models: []route.Model{
		{Name: "m", MemoryMiB: 10, StoreLoad: 6 * time.Second, Adapters: 1}, {Name: "broken", MemoryMiB: 10, StoreLoad: 6 * time.Second},
	}}
	w.log.apply(state.Command{Publish: &state.Publish{Table: route.Table{
		Version: 1, Services: []route.Service{{Name: "models", Engine: engine}}, Limits: route.Limits{BodyBytes: 1000},
		Routes: []route.Route{{
			Name: "help", Host: "h", Prefix: "/help/", Kind: route.Streaming, Resumable: true, Timeout: 12 * time.Second,
			WaitLimit: 2 * time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "models", Weight: 1}},
		}},
	}}})
	time.Sleep(time.Second)
	w.playLoad(ctx)
	cancel()
	w.mu.Lock()
	w.over = true
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	w.mu.Unlock()
	time.Sleep(time.Minute)
	return w
}

func (w *crashWorld) now() time.Duration { return time.Since(w.start) }

func (w *crashWorld) startHost(ctx context.Context, i int) {
	f := New(Options{
		Protocol: testProtocol{}, Replica: w.log.follow(ctx), Log: w.log, Holdings: NewHoldings(), Self: state.HostProcess{Host: fmt.Sprint(i)},
		Servers: w.statuses, ServersChanged: w.serversChanged, HostCount: func() int { return w.opts.hosts },
		Now: func() time.Duration { return w.now() + time.Second }, Ready: func() bool { return true }, Dial: w.net.Dial,
		RetryLimit: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}, DemandChanged: func() {},
	})
	w.hosts = append(w.hosts, f)
	go func() { _ = f.Run(ctx) }()
	server := &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	l := w.net.Listen(fmt.Sprintf("10.1.0.%d:80", i+1))
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func (w *crashWorld) statuses() []membership.ServerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.ServerStatus
	for _, s := range w.servers {
		out = append(out, membership.ServerStatus{Server: s.status})
	}
	return out
}

func (w *crashWorld) serversChanged() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// startServer starts a process of a server, in place of an earlier one.
func (w *crashWorld) startServer(name, address string, incarnation uint64) {
	s := &worldServer{world: w, status: membership.Server{
		Name: name, Service: "models", Address: address, Incarnation: incarnation, Sequence: 1,
		Models: []membership.ModelReport{
			{Model: "m", Phase: membership.ReportReady}, {Model: "m", Adapter: "a1", Phase: membership.ReportReady},
			{Model: "broken", Phase: membership.ReportReady},
		},
	}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	l := w.net.Listen(address)
	go func() { _ = s.http.Serve(l) }()
	w.servers = slices.DeleteFunc(w.servers, func(old *worldServer) bool { return old.status.Name == name })
	w.servers = append(w.servers, s)
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the server process. It starts again after worldRestart.
func (s *worldServer) crash() {
	s.crashedOnce.Do(func() {
		_ = s.http.Close()
		time.AfterFunc(worldRestart, func() {
			s.world.startServer(s.status.Name, s.status.Address, s.status.Incarnation+1)
		})
	})
}

func (s *worldServer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := s.world
	part := harmfulPartOf(strings.Fields(r.Header.Get("T-Parts")))
	harmful := part != "" || r.Header.Get("T-Harmful") != ""
	if harmful {
		w.mu.Lock()
		w.arrivals = append(w.arrivals, harmfulEvent{w.now(), part})
		w.mu.Unlock()
	}
	out.Header().Set("T-Id", r.Header.Get("T-Id"))
	out.Header().Set("T-Signed", "yes")
	out.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(out).Flush()
	if !pause(r.Context(), worldPrefill) {
		return
	}
	if harmful {
		w.mu.Lock()
		w.crashes = append(w.crashes, harmfulEvent{w.now(), part})
		w.mu.Unlock()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	after, _ := strconv.Atoi(r.Header.Get("T-After"))
	for i := after + 1; i <= worldEvents; i++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: e\n\n", i)
		_ = http.NewResponseController(out).Flush()
		if !pause(r.Context(), worldEventPause) {
			return
		}
	}
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// playLoad sends the requests of callers, and crashes servers if the options say so.
func (w *crashWorld) playLoad(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.opts.seed, 0))
	transport := &http.Transport{DialContext: w.net.Dial, DisableKeepAlives: true}
	var group sync.WaitGroup
	if w.opts.crashEvery > 0 {
		crashCtx, stop := context.WithCancel(ctx)
		defer stop()
		go w.crashServers(crashCtx, rand.New(rand.NewPCG(w.opts.seed, 1)))
	}
	interval := time.Second / time.Duration(w.opts.perSecond)
	for i := range int(w.opts.duration / interval) {
		time.Sleep(interval)
		at := w.now() - time.Second
		call := worldCall{at: at, first: fmt.Sprintf("first-%d", rng.IntN(3)), model: "m"}
		parts := []string{call.first, fmt.Sprintf("second-%d", rng.IntN(347))}
		harmful := rng.Float64() < w.opts.harmfulShare && at >= w.opts.harmfulFrom && at < w.opts.harmfulUntil
		body := fmt.Sprintf("body-%d", i)
		harmfulPart := fmt.Sprint(harmfulPrefix, rng.IntN(max(1, w.opts.harmfulParts)))
		switch {
		case harmful && w.opts.contentHarmful:
			parts, body, call.harmful = []string{call.first, "second-0"}, "harmful body", true
		case harmful && w.opts.harmfulModel:
			parts, call.model, call.harmful = []string{call.first, fmt.Sprint("third-", i)}, "broken", true
		case harmful && w.opts.harmfulAdapter:
			parts, call.adapter, call.harmful = []string{call.first, fmt.Sprint("third-", i)}, "a1", true
		case harmful && w.opts.harmfulRenewed:
			parts, call.harmful = []string{call.first, harmfulPart, renewedPart}, true
		case harmful && w.opts.promptParts > 0:
			parts, call.harmful = append([]string{harmfulPart}, w.sharedParts()...), true
		case harmful && w.opts.harmfulFirst:
			parts, call.harmful = []string{call.first, harmfulPart, "second-0"}, true
		case harmful:
			parts, call.harmful = []string{call.first, "second-0", harmfulPart}, true
		case w.opts.harmfulRenewed && at >= w.opts.harmfulFrom+renewedAfter:
			parts = []string{call.first, renewedPart}
		case w.opts.promptParts > 0:
			parts = append(parts, w.sharedParts()...)
		}
		hosts := [2]int{rng.IntN(w.opts.hosts), rng.IntN(w.opts.hosts)}
		group.Go(func() {
			w.call(transport, call, fmt.Sprint("request-", i), body, parts, hosts)
		})
	}
	group.Wait()
}

// renewedPart is a new part of prompts, and renewedAfter when sound requests begin to hold it.
const (
	renewedPart  = "renewed"
	renewedAfter = 3 * time.Second
)

// sharedParts returns the further parts that all requests share.
func (w *crashWorld) sharedParts() []string {
	var out []string
	for i := range w.opts.promptParts {
		out = append(out, fmt.Sprint("shared-", i))
	}
	return out
}

// crashServers crashes servers at the interval of the options until ctx ends.
func (w *crashWorld) crashServers(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, w.opts.crashEvery) {
		w.mu.Lock()
		order := rng.Perm(len(w.servers))
		var hit []*worldServer
		for _, i := range order[:min(len(order), w.opts.crashTogether)] {
			hit = append(hit, w.servers[i])
		}
		w.mu.Unlock()
		for _, s := range hit {
			s.crash()
		}
	}
}

// call sends a request, and sends it again once, as a caller does.
func (w *crashWorld) call(transport *http.Transport, call worldCall, id, body string, parts []string, hosts [2]int) {
	last := ""
	for i, host := range hosts {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://10.1.0.%d:80/help/x", host+1), strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Host = "h"
		for name, value := range map[string]string{
			"T-Id": fmt.Sprint(id, "-", i), "T-Model": call.model, "T-Adapter": call.adapter, "T-Deadline": "12000", "T-Parts": strings.Join(parts, " "), "T-After": last,
		} {
			req.Header.Set(name, value)
		}
		if call.harmful {
			req.Header.Set("T-Harmful", "yes")
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			call.statuses = append(call.statuses, 0)
			continue
		}
		var whole bool
		last, whole = readEvents(resp.Body, last)
		_ = resp.Body.Close()
		call.statuses = append(call.statuses, resp.StatusCode)
		call.begunAtFirst = call.begunAtFirst || i == 0 && last != ""
		if call.served = whole; whole {
			break
		}
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), 4*time.Second))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

// readEvents returns the ID of the last event of a stream, which is last if it has
// none, and whether the stream is whole.
func readEvents(body io.Reader, last string) (string, bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = id
		}
	}
	return last, lines.Err() == nil && last == strconv.Itoa(worldEvents)
}

// sound returns how many sound requests with the first part, sent from and until, there
// are and how many of them began at their first attempt.
func (w *crashWorld) sound(from, until time.Duration) (sent, begun int) {
	for _, c := range w.calls {
		if c.harmful || c.at < from || c.at >= until {
			continue
		}
		sent++
		if c.begunAtFirst {
			begun++
		}
	}
	return sent, begun
}
