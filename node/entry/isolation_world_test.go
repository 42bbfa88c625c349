package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// The isolation deployment: three data centres with one entry host and two
// engines each, and one plain service with a server in each data centre.
const (
	isoSites     = 3
	isoPerServer = 6
	// isoBatch is how many requests of all hosts and models an engine runs at
	// once; more wait in order of arrival.
	isoBatch = 24
	// isoRate is the offered load per second, host and model: about a fifth of
	// the slots of a model in one data centre.
	isoRate     = 12
	isoLength   = 12 * time.Second
	isoFaultAt  = 2 * time.Second
	isoDeadline = 5 * time.Second
)

// isoModels gives the engines of a data centre that hold each model. The last
// one is loaded nowhere.
var isoModels = map[string][]int{"lace": {0}, "tatting": {1}, "bobbin": {0, 1}, "picot": nil}

// behaviour is how a server answers.
type behaviour int32

const (
	answers behaviour = iota
	hangs
	isSlow
	resets
	fails
	// cutsSome cuts the answers of two attempts out of five.
	cutsSome
)

// slowDown is the factor on the service time of a slow server.
const slowDown = 10

// isoServer is a backend server that serves HTTP in memory.
type isoServer struct {
	membership.Server
	site   int
	batch  chan struct{}
	server atomic.Int32
	// model is the behaviour for the model named faulty.
	model  atomic.Int32
	faulty string
	http   *http.Server
	// runs counts the exchanges for the model named faulty.
	runs atomic.Int64
	done chan struct{}
}

func serviceTime(body string) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, body)
	return 60*time.Millisecond + time.Duration(h.Sum32()%80)*time.Millisecond
}

func (s *isoServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	text, mode := string(body), behaviour(s.server.Load())
	s.misbehave(r, mode, time.Millisecond)
	w.Header().Set(backend.HeaderIncarnation, "1")
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	if r.URL.Path == "/v1/incarnation" || r.URL.Path == "/v1/cancel" {
		return
	}
	if mode == fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.faulty != "" && strings.Contains(text, s.faulty) {
		s.runs.Add(1)
		if behaviour(s.model.Load()) == fails {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		s.misbehave(r, behaviour(s.model.Load()), time.Millisecond)
	}
	attempt := fnv.New32a()
	_, _ = io.WriteString(attempt, r.Header.Get(backend.HeaderAttempt))
	if behaviour(s.model.Load()) == cutsSome && strings.Contains(text, s.faulty) && attempt.Sum32()%5 < 2 {
		s.misbehave(r, resets, time.Millisecond)
	}
	s.batch <- struct{}{}
	defer func() { <-s.batch }()
	took := serviceTime(text)
	if mode == isSlow {
		took *= slowDown
	}
	time.Sleep(took)
	_, _ = io.WriteString(w, "done "+text)
}

func (s *isoServer) misbehave(r *http.Request, mode behaviour, after time.Duration) {
	switch mode {
	case hangs:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	case resets:
		time.Sleep(after)
		panic(http.ErrAbortHandler)
	}
}

// isoWorld connects hosts and servers. Messages between data centres that are
// cut off from each other vanish.
type isoWorld struct {
	ctx     context.Context
	stop    context.CancelFunc
	net     *network
	log     *commitLog
	start   time.Time
	servers []*isoServer
	hosts   []*host
	clients []*backend.Client
	tables  []*membership.Table
	mu      sync.Mutex
	// down servers and isolated sites lose everything that is sent to or from
	// them; a site still reaches itself.
	down     [isoSites]atomic.Bool
	isolated [isoSites]atomic.Bool
	quorum   atomic.Bool
}

// reaches reports whether a host's messages reach the servers of a site.
func (w *isoWorld) reaches(host, site int) bool {
	return !w.down[site].Load() && (host == site || !w.isolated[host].Load() && !w.isolated[site].Load())
}

// isoConn is a connection that loses everything while the sites are cut off.
type isoConn struct {
	net.Conn
	up     func() bool
	closed chan struct{}
	once   sync.Once
}

func (c *isoConn) Write(b []byte) (int, error) {
	if !c.up() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *isoConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.up() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *isoConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dialFrom connects a host to a server; the address carries the server's site.
func (w *isoWorld) dialFrom(hostSite int) backend.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var site int
		_, _ = fmt.Sscanf(address, "10.0.%d.", &site)
		up := func() bool { return w.reaches(hostSite, site) }
		if !up() {
			ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		c, err := w.net.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &isoConn{Conn: c, up: up, closed: make(chan struct{})}, nil
	}
}

// isoLog is the log as one host reaches it.
type isoLog struct {
	world *isoWorld
	site  int
}

func (l isoLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if l.world.ctx.Err() != nil || !l.world.quorum.Load() || l.world.isolated[l.site].Load() {
		<-ctx.Done()
		return state.Result{}, errors.Join(errLog, ctx.Err())
	}
	return l.world.log.propose(c)
}

// isoOptions weaken the deployment or set its teams.
type isoOptions struct {
	off       mechanisms
	perServer int
	// oneTeam puts all callers into one team, and oneSite hides from the hosts
	// in which data centre they are.
	oneTeam, oneSite bool
	faulty           string
	seed             uint64
}

func isoKey(team string) string { return "key-" + team }

func newIsoWorld(o isoOptions) *isoWorld {
	w := &isoWorld{net: &network{listeners: map[string]*listener{}}, log: &commitLog{state: state.New()}, start: time.Now()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.quorum.Store(true)
	for site := range isoSites {
		w.addHost(site, o)
	}
	conf := config.Configuration{
		Deployment: config.Deployment{Name: "test"},
		Services:   []config.Service{{Name: "lace-assist", Kind: config.KindEngine}, {Name: orders, Kind: config.KindPlain}},
	}
	for _, name := range []string{"lace", "tatting", "bobbin", "picot"} {
		conf.Models = append(conf.Models, config.Model{Name: name, Service: "lace-assist", Version: "1", MemoryMiB: 1, MaxReplicas: 6})
	}
	for _, team := range []string{"quiet", "loud"} {
		sum := sha256.Sum256([]byte(isoKey(team)))
		c := config.Caller{Name: team, Team: team, KeySHA256: hex.EncodeToString(sum[:])}
		if o.oneTeam {
			c.Team = "one"
		}
		conf.Callers = append(conf.Callers, c)
	}
	w.log.apply(state.Command{UnixMS: time.Now().UnixMilli(), Configure: &state.Configure{ChangeID: "first", Next: conf}})
	for site := range isoSites {
		for i := range 2 {
			w.addServer(site, i, fmt.Sprintf("runner-%d-%d", site, i), "lace-assist", config.KindEngine, o)
		}
		w.addServer(site, 2, fmt.Sprintf("desk-%d", site), orders, config.KindPlain, o)
	}
	go w.announce()
	time.Sleep(300 * time.Millisecond)
	return w
}

func (w *isoWorld) addHost(site int, o isoOptions) {
	h := &host{}
	h.ctx, h.kill = context.WithCancel(w.ctx)
	r := replica.New(state.New())
	feed := make(chan state.Command, 10000)
	w.log.feeds = append(w.log.feeds, feed)
	go func() {
		for index := uint64(1); ; index++ {
			select {
			case <-w.ctx.Done():
				return
			case c := <-feed:
				time.Sleep(time.Millisecond)
				r.Apply(index, c)
			}
		}
	}()
	client := backend.NewClientWith(w.dialFrom(site))
	w.clients = append(w.clients, client)
	table := membership.NewTable()
	w.tables = append(w.tables, table)
	per := o.perServer
	if per == 0 {
		per = isoPerServer
	}
	dataCentre := isoSite(site)
	if o.oneSite {
		dataCentre = ""
	}
	h.entry = New(Options{
		Replica: r, Client: client, Log: isoLog{w, site}, Now: func() time.Duration { return time.Since(w.start) },
		Servers: func() []membership.ServerStatus {
			w.mu.Lock()
			defer w.mu.Unlock()
			return table.Servers(time.Since(w.start))
		},
		Self: state.Sender{Host: fmt.Sprintf("entry-%d", site), Incarnation: 1}, DataCentre: dataCentre,
		Seed: o.seed + 1, PerServer: per, off: o.off,
	})
	h.web = echo.New()
	h.entry.Routes(h.web)
	w.hosts = append(w.hosts, h)
	go func() { _ = h.entry.Run(h.ctx) }()
}

func isoSite(site int) string { return fmt.Sprintf("site-%d", site) }

func (w *isoWorld) addServer(site, i int, name, service string, kind config.ServiceKind, o isoOptions) {
	address := fmt.Sprintf("10.0.%d.%d:80", site, i+1)
	s := &isoServer{
		Server: membership.Server{
			Name: name, Service: service, Kind: kind, DataCentre: isoSite(site), Address: address, Incarnation: 1, MemoryMiB: 100,
		},
		site: site, batch: make(chan struct{}, isoBatch), faulty: o.faulty, done: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	l := w.net.listen(address)
	go func() { _ = s.http.Serve(l) }()
	w.servers = append(w.servers, s)
	w.log.apply(state.Command{Register: &state.Register{
		Server: name, Incarnation: 1, Service: service, Kind: kind, DataCentre: s.DataCentre, Address: address, MemoryMiB: 100,
	}})
	for _, model := range []string{"lace", "tatting", "bobbin", "picot"} {
		if kind != config.KindEngine || !slices.Contains(isoModels[model], i) {
			continue
		}
		res := w.log.apply(state.Command{Load: &state.Load{Server: name, Incarnation: 1, Model: model}})
		w.log.apply(state.Command{CloseIntent: &state.CloseIntent{
			Server: name, Incarnation: 1, Model: model, Fence: res.Index, Loaded: true, Sequence: 1,
		}})
	}
}

// announce brings the announcements of the servers to the hosts that they
// reach. A server that misbehaves goes on announcing itself.
func (w *isoWorld) announce() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		for _, s := range w.servers {
			s.Sequence++
			s.Load.Running = len(s.batch)
			for site, table := range w.tables {
				if w.reaches(site, s.site) {
					table.Announce(time.Since(w.start), s.Server)
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (w *isoWorld) close() {
	w.quorum.Store(false)
	w.stop()
	for _, s := range w.servers {
		close(s.done)
	}
	time.Sleep(15 * time.Minute) // lets background commits end
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	for _, c := range w.clients {
		c.CloseIdle()
	}
}

// isoCall is one planned call and, after the run, its end.
type isoCall struct {
	host        int
	model, team string
	at          time.Duration
	id          int
	reply       reply
}

// send sends the call and keeps its end.
func (c *isoCall) send(w *isoWorld) {
	time.Sleep(c.at - time.Since(w.start))
	header := map[string]string{"X-Deadline-Ms": fmt.Sprint(isoDeadline.Milliseconds()), "Authorization": "Bearer " + isoKey(c.team)}
	path, body := "/v1/services/"+orders+"/orders", fmt.Sprintf("order %d-%d", c.host, c.id)
	switch c.model {
	case "call":
	case "once":
		header["X-Idempotent"], header["Idempotency-Key"] = "false", fmt.Sprintf("%d.%d-%d", time.Now().UnixMilli(), c.host, c.id)
	default:
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"%d-%d"}]}`, c.model, c.host, c.id)
	}
	c.reply = w.hosts[c.host].call(context.Background(), path, header, body)
	if c.reply.status == http.StatusOK && c.reply.body != "done "+body {
		c.reply.status = 0
	}
}

func (c *isoCall) good() bool { return c.reply.status == http.StatusOK }

// isoPlan draws the arrivals, which are the same in runs with the same seed.
func isoPlan(seed uint64, extra ...*isoCall) []*isoCall {
	rng := rand.New(rand.NewPCG(seed, 11))
	var plan []*isoCall
	for host := range isoSites {
		for _, model := range []string{"lace", "tatting", "bobbin", "call", "once"} {
			rate := float64(isoRate)
			if model == "call" || model == "once" {
				rate /= 2 // both use the same servers
			}
			for at := time.Second; ; {
				at += time.Duration(rng.ExpFloat64() * float64(time.Second) / rate)
				if at > isoLength {
					break
				}
				plan = append(plan, &isoCall{host: host, model: model, team: "quiet", at: at, id: len(plan)})
			}
		}
	}
	return append(plan, extra...)
}

// isoRun sends the planned calls, which keep their ends. It returns how many
// exchanges the servers saw for the faulty model.
func isoRun(t *testing.T, o isoOptions, plan []*isoCall, inject func(w *isoWorld)) (runs int) {
	synctest.Test(t, func(*testing.T) {
		w := newIsoWorld(o)
		defer w.close()
		var group sync.WaitGroup
		for _, c := range plan {
			group.Go(func() { c.send(w) })
		}
		if inject != nil {
			time.Sleep(isoFaultAt - time.Since(w.start))
			inject(w)
		}
		group.Wait()
		for _, s := range w.servers {
			runs += int(s.runs.Load())
		}
	})
	return runs
}
