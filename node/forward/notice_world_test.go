package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/standin/memnet"
)

const (
	// limitWindow, limitFactor and limitSlack are the published allowance: in each window,
	// a server may get limitFactor times what its limit allows and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after a server first named its limit the allowance begins to
	// hold in these tests. The published time is longer.
	limitGrace = time.Second
)

// noticeWorldOptions describe a load on hosts before servers that speak of themselves.
type noticeWorldOptions struct {
	seed           uint64
	hosts, servers int
	// limits are what the first servers name between limitFrom and limitUntil.
	limits                []string
	limitFrom, limitUntil time.Duration
	// perSecond is the number of requests a second, of which soleShare need a model that
	// only the first server holds. busyShare of the requests come to the first host.
	perSecond            int
	soleShare, busyShare float64
	duration             time.Duration
	// plain makes the servers a plain service.
	plain bool
	// pauses are, for the first servers, the pause in seconds with which they refuse all
	// requests between limitFrom and limitUntil. leavers is the number of servers, from the
	// first, that say in their answers from limitFrom on that they leave.
	pauses  []string
	leavers int
	// leaderDownFrom and leaderDownUntil are when no leader answers. After that, another
	// one leads that knows nothing.
	leaderDownFrom, leaderDownUntil time.Duration
}

// worldLinkDelay is the time of a message between two hosts.
const worldLinkDelay = 2 * time.Millisecond

// noticeWorld runs forwarders and fake servers in memory and in virtual time.
type noticeWorld struct {
	opts  noticeWorldOptions
	net   memnet.Network
	start time.Time
	log   *worldLog
	hosts []*Forwarder
	// permits is the leader's side of the limits.
	permits *permits.Server

	mu      sync.Mutex
	servers []membership.ServerStatus
	// arrivals holds when requests reached each server and from which host, and statuses
	// counts the answers of callers. told holds when each server first told each host that
	// it wants a pause or leaves.
	arrivals [][]noticeArrival
	statuses map[int]int
	told     []map[string][]time.Duration
	// slowest is the longest time until a refusal.
	slowestRefusal time.Duration
}

// noticeArrival is a request that reached a server.
type noticeArrival struct {
	at   time.Duration
	host string
}

func (w *noticeWorld) now() time.Duration { return time.Since(w.start) }

// runNoticeWorld plays the load and returns the world after it. It must run in a synctest
// bubble.
func runNoticeWorld(t *testing.T, o noticeWorldOptions) *noticeWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &noticeWorld{
		opts: o, start: time.Now(), statuses: map[int]int{}, arrivals: make([][]noticeArrival, o.servers),
		log: &worldLog{leader: state.New(), barred: map[string]bool{}, available: func() bool { return true }},
	}
	w.permits = permits.NewServer(permits.ServerOptions{
		Term: w.term, Leader: func() string { return "" }, Reachable: func() float64 { return 1 }, Now: w.now,
	})
	var running []*http.Server
	for range o.servers {
		w.told = append(w.told, map[string][]time.Duration{})
	}
	for i := range o.servers {
		running = append(running, w.startServer(i))
	}
	for i := range o.hosts {
		w.startHost(ctx, i)
	}
	service := route.Service{Name: "models"}
	if !o.plain {
		service.Engine = &route.Engine{Slots: 96, MemoryMiB: 1000, Models: []route.Model{{Name: "m"}, {Name: "rare", StoreLoad: 6 * time.Second}}}
	}
	w.log.apply(state.Command{Publish: &state.Publish{Table: route.Table{
		Version: 1, Services: []route.Service{service}, Limits: route.Limits{BodyBytes: 1000},
		Routes: []route.Route{{
			Name: "help", Host: "h", Prefix: "/help/", Kind: route.Safe, Timeout: 12 * time.Second, WaitLimit: 2 * time.Second,
			MaxAttempts: 2, Targets: []route.Target{{Service: "models", Weight: 1}},
		}},
	}}})
	time.Sleep(time.Second)
	w.playLoad(ctx)
	cancel()
	for _, s := range running {
		_ = s.Close()
	}
	time.Sleep(time.Minute)
	return w
}

// term returns the leader's term, and false while there is no leader.
func (w *noticeWorld) term() (uint64, bool) {
	switch at := w.now(); {
	case at < w.opts.leaderDownFrom:
		return 1, true
	case at < w.opts.leaderDownUntil:
		return 0, false
	}
	return 2, true
}

// askPermits returns how a host asks the leader.
func (w *noticeWorld) askPermits(host string) permits.Ask {
	return func(ctx context.Context, r ratelimit.Request, timeout time.Duration) (ratelimit.Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r.Host = host
		if !pause(ctx, worldLinkDelay) {
			return ratelimit.Reply{}, ctx.Err()
		}
		reply, err := w.permits.Handle(ctx, r)
		if err == nil && !pause(ctx, worldLinkDelay) {
			return ratelimit.Reply{}, ctx.Err()
		}
		return reply, err
	}
}

func (w *noticeWorld) startHost(ctx context.Context, i int) {
	f := New(Options{
		Protocol: testProtocol{}, Replica: w.log.follow(ctx), Log: w.log, Holdings: NewHoldings(), Self: state.HostProcess{Host: fmt.Sprint(i)},
		Servers: func() []membership.ServerStatus { return w.servers }, ServersChanged: func() <-chan struct{} { return nil },
		HostCount: func() int { return w.opts.hosts }, Now: func() time.Duration { return w.now() + time.Second },
		Ready: func() bool { return true }, Dial: w.net.Dial,
		RetryLimit: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}, DemandChanged: func() {},
		AskPermits: w.askPermits(fmt.Sprint(i)),
	})
	w.hosts = append(w.hosts, f)
	go func() { _ = f.Run(ctx) }()
}

func (w *noticeWorld) startServer(i int) *http.Server {
	status := membership.Server{Name: fmt.Sprint("server-", i), Service: "models", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Incarnation: 1, Sequence: 1}
	if !w.opts.plain {
		status.Models = []membership.ModelReport{{Model: "m", Phase: membership.ReportReady}}
	}
	if !w.opts.plain && i == 0 {
		status.Models = append(status.Models, membership.ModelReport{Model: "rare", Phase: membership.ReportReady})
	}
	w.servers = append(w.servers, membership.ServerStatus{Server: status})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("T-Id")
		host, _, _ := strings.Cut(id, "/")
		w.mu.Lock()
		w.arrivals[i] = append(w.arrivals[i], noticeArrival{w.now(), host})
		w.mu.Unlock()
		out.Header().Set("T-Id", id)
		if w.speaks() && i < len(w.opts.pauses) {
			w.tell(i, host)
			out.Header().Set("T-Pause", w.opts.pauses[i])
			answerNotRun(out, r)
			return
		}
		pause(r.Context(), 100*time.Millisecond)
		out.Header().Set("T-Signed", "yes")
		if w.speaks() && i < len(w.opts.limits) {
			out.Header().Set("T-Limit", w.opts.limits[i])
		}
		if w.now() >= w.opts.limitFrom && i < w.opts.leavers {
			w.tell(i, host)
			out.Header().Set("T-Leaving", "1")
		}
		_, _ = out.Write([]byte("ok"))
	})}
	l := w.net.Listen(status.Address)
	go func() { _ = server.Serve(l) }()
	return server
}

// speaks reports whether the servers speak of themselves now.
func (w *noticeWorld) speaks() bool {
	return w.now() >= w.opts.limitFrom && w.now() < w.opts.limitUntil
}

// tell records that a server tells a host that it wants a pause or leaves.
func (w *noticeWorld) tell(server int, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told[server][host] = append(w.told[server][host], w.now())
}

// playLoad sends the requests of callers.
func (w *noticeWorld) playLoad(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.opts.seed, 0))
	var group sync.WaitGroup
	interval := time.Second / time.Duration(w.opts.perSecond)
	for i := range int(w.opts.duration / interval) {
		time.Sleep(interval)
		model, host := "m", rng.IntN(len(w.hosts))
		if rng.Float64() < w.opts.soleShare {
			model = "rare"
		}
		if rng.Float64() < w.opts.busyShare {
			host = 0
		}
		group.Go(func() { w.call(ctx, host, model, i) })
	}
	group.Wait()
}

func (w *noticeWorld) call(ctx context.Context, host int, model string, i int) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/help/x", strings.NewReader(strconv.Itoa(i)))
	r.Header = http.Header{"T-Id": {fmt.Sprint(host, "/request-", i)}, "T-Model": {model}, "T-Deadline": {"12000"}}
	out, sentAt := httptest.NewRecorder(), w.now()
	w.hosts[host].ServeHTTP(out, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[out.Code]++
	if out.Code == http.StatusServiceUnavailable {
		w.slowestRefusal = max(w.slowestRefusal, w.now()-sentAt)
	}
}

// worstWindow returns the most requests that a server got in one window that begins
// between from and until.
func (w *noticeWorld) worstWindow(server int, from, until time.Duration) int {
	most := 0
	for first, a := range w.arrivals[server] {
		begin := a.at
		if begin < from || begin >= until {
			continue
		}
		n := 0
		for _, later := range w.arrivals[server][first:] {
			if later.at >= begin+limitWindow || later.at >= until {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// checkLimits checks each limit over all windows, and returns how many requests the limited
// servers got and how many their limits allow.
func (w *noticeWorld) checkLimits(t *testing.T) (got, allowed float64) {
	t.Helper()
	from := w.opts.limitFrom + limitGrace
	for i, text := range w.opts.limits {
		limit, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		most, most4s := w.worstWindow(i, from, w.opts.limitUntil), limitFactor*limit*limitWindow.Seconds()+limitSlack
		if float64(most) > most4s {
			t.Errorf("server %d with a limit of %s a second got %d requests in %s, allowed %.0f", i, text, most, limitWindow, most4s)
		}
		for _, a := range w.arrivals[i] {
			if a.at >= from && a.at < w.opts.limitUntil {
				got++
			}
		}
		allowed += limit * (w.opts.limitUntil - from).Seconds()
	}
	return got, allowed
}

// requestsInPauses returns the most requests that a host sent to a server between half a second
// after it was told of a pause and the end of that pause.
func (w *noticeWorld) requestsInPauses(t *testing.T) int {
	t.Helper()
	most := 0
	for server, text := range w.opts.pauses {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		for host, told := range w.told[server] {
			for _, at := range told {
				n := 0
				for _, a := range w.arrivals[server] {
					if a.host == host && a.at >= at+500*time.Millisecond && a.at < at+time.Duration(seconds*float64(time.Second)) {
						n++
					}
				}
				most = max(most, n)
			}
		}
	}
	return most
}

// requestsAfterLeaving returns the number of requests that reached a server from a host that it
// had told before that it leaves.
func (w *noticeWorld) requestsAfterLeaving() int {
	n := 0
	for server := range w.opts.leavers {
		for _, a := range w.arrivals[server] {
			if told := w.told[server][a.host]; len(told) > 0 && a.at > told[0]+10*time.Millisecond {
				n++
			}
		}
	}
	return n
}
