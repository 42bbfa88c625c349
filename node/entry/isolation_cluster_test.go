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
	"github.com/pollenwheel/pollenwheel/standin/memnet"
)

// The isolation tests use three data centres. Each has one entry host, two engines and
// one server of a plain service.
const (
	isoDataCentres = 3
	isoPerServer   = 6
	// isoBatch is the number of requests that an engine runs at once, for all hosts
	// and models together. Further requests wait in order of arrival.
	isoBatch = 24
	// isoRate is the offered load in requests per second for each host and model. It
	// uses about a fifth of the slots of a model in one data centre.
	isoRate     = 12
	isoLength   = 12 * time.Second
	isoFaultAt  = 2 * time.Second
	isoDeadline = 5 * time.Second
)

// isoModels maps each model to the engines of a data centre that have it loaded. picot is
// not loaded anywhere.
var isoModels = map[string][]int{"lace": {0}, "tatting": {1}, "bobbin": {0, 1}, "picot": nil}

// behaviour is the way in which a server answers, normally or with a fault.
type behaviour int32

const (
	behaviourNormal behaviour = iota
	behaviourHang
	behaviourSlow
	behaviourReset
	behaviourError
	// behaviourResetSome aborts the connection in two attempts out of five.
	behaviourResetSome
)

// slowFactor multiplies the service time of a slow server.
const slowFactor = 10

// isoServer is a simulated backend server that serves HTTP in memory.
type isoServer struct {
	membership.Server
	dc              int
	batch           chan struct{}
	serverBehaviour atomic.Int32
	// modelBehaviour is the behaviour for requests that contain faultyModel, which is the
	// quoted name of a model or empty.
	modelBehaviour atomic.Int32
	faultyModel    string
	http           *http.Server
	// faultyExchanges counts the exchanges for faultyModel.
	faultyExchanges atomic.Int64
	done            chan struct{}
}

func serviceTime(body string) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, body)
	return 60*time.Millisecond + time.Duration(h.Sum32()%80)*time.Millisecond
}

func (s *isoServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	text, mode := string(body), behaviour(s.serverBehaviour.Load())
	s.misbehave(r, mode, time.Millisecond)
	w.Header().Set(backend.HeaderIncarnation, "1")
	w.Header().Set(backend.HeaderAttemptID, r.Header.Get(backend.HeaderAttemptID))
	if r.URL.Path == "/v1/incarnation" || r.URL.Path == "/v1/cancel" {
		return
	}
	if mode == behaviourError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.faultyModel != "" && strings.Contains(text, s.faultyModel) {
		s.faultyExchanges.Add(1)
		if behaviour(s.modelBehaviour.Load()) == behaviourError {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		s.misbehave(r, behaviour(s.modelBehaviour.Load()), time.Millisecond)
	}
	attemptHash := fnv.New32a()
	_, _ = io.WriteString(attemptHash, r.Header.Get(backend.HeaderAttemptID))
	if behaviour(s.modelBehaviour.Load()) == behaviourResetSome && strings.Contains(text, s.faultyModel) && attemptHash.Sum32()%5 < 2 {
		s.misbehave(r, behaviourReset, time.Millisecond)
	}
	s.batch <- struct{}{}
	defer func() { <-s.batch }()
	duration := serviceTime(text)
	if mode == behaviourSlow {
		duration *= slowFactor
	}
	time.Sleep(duration)
	_, _ = io.WriteString(w, "done "+text)
}

// misbehave simulates a fault according to mode: it blocks until the request is cancelled,
// or aborts the connection. It returns at once for the other modes.
func (s *isoServer) misbehave(r *http.Request, mode behaviour, after time.Duration) {
	switch mode {
	case behaviourHang:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	case behaviourReset:
		time.Sleep(after)
		panic(http.ErrAbortHandler)
	}
}

// isoCluster connects hosts and servers. Messages between partitioned data centres are
// lost.
type isoCluster struct {
	ctx     context.Context
	stop    context.CancelFunc
	net     *memnet.Network
	log     *commitLog
	start   time.Time
	servers []*isoServer
	hosts   []*host
	clients []*backend.Client
	tables  []*membership.Table
	mu      sync.Mutex
	// Per data centre: if down is set, messages to its servers and their answers are
	// lost. If isolated is set, messages to and from other data centres are lost, but
	// those within the data centre arrive.
	down     [isoDataCentres]atomic.Bool
	isolated [isoDataCentres]atomic.Bool
	quorum   atomic.Bool
}

// reaches reports whether the messages of a host reach the servers of a data centre.
func (cl *isoCluster) reaches(host, dc int) bool {
	return !cl.down[dc].Load() && (host == dc || !cl.isolated[host].Load() && !cl.isolated[dc].Load())
}

// isoConn is a connection that loses all data while up returns false.
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

// dialFrom returns the dial function of the host in a data centre. The third part of a
// server address is the index of the server's data centre.
func (cl *isoCluster) dialFrom(hostDC int) backend.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dc int
		_, _ = fmt.Sscanf(address, "10.0.%d.", &dc)
		up := func() bool { return cl.reaches(hostDC, dc) }
		if !up() {
			ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		c, err := cl.net.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &isoConn{Conn: c, up: up, closed: make(chan struct{})}, nil
	}
}

// isoLog is the replicated log as seen from the host of one data centre.
type isoLog struct {
	cluster *isoCluster
	dc      int
}

func (l isoLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if l.cluster.ctx.Err() != nil || !l.cluster.quorum.Load() || l.cluster.isolated[l.dc].Load() {
		<-ctx.Done()
		return state.Result{}, errors.Join(errNoLogAnswer, ctx.Err())
	}
	return l.cluster.log.propose(c)
}

// isoOptions are the options of an isolation test. Most of them weaken the deployment.
type isoOptions struct {
	disabled  disabledMechanisms
	perServer int
	// oneTeam puts all callers into one team. hideDataCentre leaves the data centre
	// of each entry host unset.
	oneTeam, hideDataCentre bool
	faultyModel             string
	seed                    uint64
}

func callerKey(team string) string { return "key-" + team }

func newIsoCluster(o isoOptions) *isoCluster {
	cl := &isoCluster{net: &memnet.Network{}, log: &commitLog{state: state.New()}, start: time.Now()}
	cl.ctx, cl.stop = context.WithCancel(context.Background())
	cl.quorum.Store(true)
	for dc := range isoDataCentres {
		cl.addHost(dc, o)
	}
	conf := config.Configuration{
		Deployment: config.Deployment{Name: "test"},
		Services:   []config.Service{{Name: "lace-assist", Kind: config.KindEngine}, {Name: orderService, Kind: config.KindPlain}},
	}
	for _, name := range []string{"lace", "tatting", "bobbin", "picot"} {
		conf.Models = append(conf.Models, config.Model{Name: name, Service: "lace-assist", Version: "1", MemoryMiB: 1, MaxReplicas: 6})
	}
	for _, team := range []string{"quiet", "loud"} {
		sum := sha256.Sum256([]byte(callerKey(team)))
		c := config.Caller{Name: team, Team: team, KeySHA256: hex.EncodeToString(sum[:])}
		if o.oneTeam {
			c.Team = "one"
		}
		conf.Callers = append(conf.Callers, c)
	}
	cl.log.apply(state.Command{UnixMS: time.Now().UnixMilli(), Configure: &state.Configure{ChangeID: "first", Next: conf}})
	for dc := range isoDataCentres {
		for i := range 2 {
			cl.addServer(dc, i, fmt.Sprintf("runner-%d-%d", dc, i), "lace-assist", config.KindEngine, o)
		}
		cl.addServer(dc, 2, fmt.Sprintf("desk-%d", dc), orderService, config.KindPlain, o)
	}
	go cl.announce()
	time.Sleep(300 * time.Millisecond)
	return cl
}

func (cl *isoCluster) addHost(dc int, o isoOptions) {
	h := &host{}
	h.ctx, h.kill = context.WithCancel(cl.ctx)
	r := replica.New(state.New())
	feed := make(chan state.Command, 10000)
	cl.log.followers = append(cl.log.followers, feed)
	go func() {
		for index := uint64(1); ; index++ {
			select {
			case <-cl.ctx.Done():
				return
			case c := <-feed:
				time.Sleep(time.Millisecond)
				r.Apply(index, c)
			}
		}
	}()
	client := backend.NewClientWithDial(cl.dialFrom(dc))
	cl.clients = append(cl.clients, client)
	table := membership.NewTable()
	cl.tables = append(cl.tables, table)
	perServer := o.perServer
	if perServer == 0 {
		perServer = isoPerServer
	}
	visibleDC := dataCentreName(dc)
	if o.hideDataCentre {
		visibleDC = ""
	}
	h.entry = New(Options{
		Replica: r, Client: client, Log: isoLog{cl, dc}, Now: func() time.Duration { return time.Since(cl.start) },
		Servers: func() []membership.ServerStatus {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return table.Servers(time.Since(cl.start))
		},
		Self: state.HostProcess{Host: fmt.Sprintf("entry-%d", dc), Incarnation: 1}, DataCentre: visibleDC,
		Seed: o.seed + 1, MaxAttemptsPerServer: perServer, disabled: o.disabled,
	})
	h.web = echo.New()
	h.entry.RegisterRoutes(h.web)
	cl.hosts = append(cl.hosts, h)
	go func() { _ = h.entry.Run(h.ctx) }()
}

func dataCentreName(dc int) string { return fmt.Sprintf("site-%d", dc) }

func (cl *isoCluster) addServer(dc, i int, name, service string, kind config.ServiceKind, o isoOptions) {
	address := fmt.Sprintf("10.0.%d.%d:80", dc, i+1)
	s := &isoServer{
		Server: membership.Server{
			Name: name, Service: service, Kind: kind, DataCentre: dataCentreName(dc), Address: address, Incarnation: 1, MemoryMiB: 100,
		},
		dc: dc, batch: make(chan struct{}, isoBatch), faultyModel: o.faultyModel, done: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	l := cl.net.Listen(address)
	go func() { _ = s.http.Serve(l) }()
	cl.servers = append(cl.servers, s)
	cl.log.apply(state.Command{Register: &state.Register{
		Server: name, Incarnation: 1, Service: service, Kind: kind, DataCentre: s.DataCentre, Address: address, MemoryMiB: 100,
	}})
	for _, model := range []string{"lace", "tatting", "bobbin", "picot"} {
		if kind != config.KindEngine || !slices.Contains(isoModels[model], i) {
			continue
		}
		res := cl.log.apply(state.Command{Load: &state.Load{Server: name, Incarnation: 1, Model: model}})
		cl.log.apply(state.Command{CloseIntent: &state.CloseIntent{
			Server: name, Incarnation: 1, Model: model, Fence: res.Index, Loaded: true, Sequence: 1,
		}})
	}
}

// announce delivers the announcements of the servers to the hosts that they can reach. A
// faulty server continues to announce itself.
func (cl *isoCluster) announce() {
	for cl.ctx.Err() == nil {
		cl.mu.Lock()
		for _, s := range cl.servers {
			s.Sequence++
			s.Load.Running = len(s.batch)
			for dc, table := range cl.tables {
				if cl.reaches(dc, s.dc) {
					table.Announce(time.Since(cl.start), s.Server)
				}
			}
		}
		cl.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (cl *isoCluster) close() {
	cl.quorum.Store(false)
	cl.stop()
	for _, s := range cl.servers {
		close(s.done)
	}
	time.Sleep(15 * time.Minute) // longer than commitRetryPeriod, so that background work ends
	for _, s := range cl.servers {
		_ = s.http.Close()
	}
	for _, c := range cl.clients {
		c.CloseIdle()
	}
}

// isoCall is one planned call and, after the run, its reply. In place of a model, "call"
// stands for an idempotent call of the plain service and "once" for one that may run only
// once.
type isoCall struct {
	host        int
	model, team string
	at          time.Duration
	id          int
	reply       reply
}

// send sends the call at its planned time and stores the reply. A wrong answer gets
// status 0.
func (c *isoCall) send(cl *isoCluster) {
	time.Sleep(c.at - time.Since(cl.start))
	header := map[string]string{"X-Deadline-Ms": fmt.Sprint(isoDeadline.Milliseconds()), "Authorization": "Bearer " + callerKey(c.team)}
	path, body := "/v1/services/"+orderService+"/orders", fmt.Sprintf("order %d-%d", c.host, c.id)
	switch c.model {
	case "call":
	case "once":
		header["X-Idempotent"], header["Idempotency-Key"] = "false", fmt.Sprintf("%d.%d-%d", time.Now().UnixMilli(), c.host, c.id)
	default:
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"%d-%d"}]}`, c.model, c.host, c.id)
	}
	c.reply = cl.hosts[c.host].call(context.Background(), path, header, body)
	if c.reply.status == http.StatusOK && c.reply.body != "done "+body {
		c.reply.status = 0
	}
}

func (c *isoCall) succeeded() bool { return c.reply.status == http.StatusOK }

// isoPlan draws random arrivals, which are the same for the same seed, and appends the
// extra calls.
func isoPlan(seed uint64, extra ...*isoCall) []*isoCall {
	rng := rand.New(rand.NewPCG(seed, 11))
	var plan []*isoCall
	for host := range isoDataCentres {
		for _, model := range []string{"lace", "tatting", "bobbin", "call", "once"} {
			rate := float64(isoRate)
			if model == "call" || model == "once" {
				rate /= 2 // "call" and "once" share the plain servers
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

// isoRun runs the planned calls, which store their replies, and calls inject at
// isoFaultAt. It returns the number of exchanges for the faulty model on all servers.
func isoRun(t *testing.T, o isoOptions, plan []*isoCall, inject func(cl *isoCluster)) (exchanges int) {
	synctest.Test(t, func(*testing.T) {
		cl := newIsoCluster(o)
		defer cl.close()
		var group sync.WaitGroup
		for _, c := range plan {
			group.Go(func() { c.send(cl) })
		}
		if inject != nil {
			time.Sleep(isoFaultAt - time.Since(cl.start))
			inject(cl)
		}
		group.Wait()
		for _, s := range cl.servers {
			exchanges += int(s.faultyExchanges.Load())
		}
	})
	return exchanges
}
