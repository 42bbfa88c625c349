package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// quorumLog commits only while quorum is true.
type quorumLog struct {
	*LocalLog
	quorum *atomic.Bool
}

func (l quorumLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if !l.quorum.Load() {
		return state.Result{}, errors.New("no quorum")
	}
	return l.LocalLog.Propose(ctx, c)
}

// newCountingClient returns a client whose server accepts every order, and the
// number of orders that the server received.
func newCountingClient() (*backend.Client, *atomic.Int64) {
	var orders atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/orders" {
			orders.Add(1)
		}
		_, _ = io.WriteString(w, `{"accepted":true,"incarnation":1,"sequence":1}`)
	})
	return backend.NewClientWithDial(func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		l := &singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conn <- &trackedConn{Conn: serverConn, listener: l}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		return clientConn, nil
	}), &orders
}

// singleConnListener is a listener that accepts one connection. Accept fails once
// that connection is closed.
type singleConnListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// trackedConn is a connection that ends the listener's Accept when it is closed.
type trackedConn struct {
	net.Conn
	listener *singleConnListener
	once     atomic.Bool
}

func (c *trackedConn) Close() error {
	if !c.once.Swap(true) {
		close(c.listener.closed)
	}
	return c.Conn.Close()
}

// TestNoOrdersWithoutQuorum guards against orders sent by a host without a
// quorum, including orders for a load committed earlier, and against a load that
// is not sent once the quorum is restored.
func TestNoOrdersWithoutQuorum(t *testing.T) {
	sender := state.HostProcess{Host: "entry-1", Incarnation: 1}
	for _, c := range []struct {
		name string
		// isLeading returns the result of the nth call of IsLeading without a quorum.
		isLeading  func(n int64) bool
		wantOrders bool
	}{
		{"lease ended", func(int64) bool { return false }, false},
		{"lease ends between the step and the send", func(n int64) bool { return n%2 == 1 }, false},
		{"lease ignored, so the check must find orders", func(int64) bool { return true }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				r := replica.New(state.New())
				var quorum atomic.Bool
				var leadingCalls atomic.Int64
				quorum.Store(true)
				log := quorumLog{NewLocalLog(r), &quorum}
				server := membership.Server{Name: "runner-1", Address: "10.0.0.1:80", Incarnation: 1, MemoryMiB: 100}
				start, seenAt := time.Now(), time.Duration(0)
				now := func() time.Duration { return time.Since(start) }
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				client, orders := newCountingClient()
				unchanged := make(chan struct{})
				d := NewDispatcher(log, r, client, DispatcherSources{
					Servers:        func() []membership.ServerStatus { return []membership.ServerStatus{{Server: server, LastSeen: seenAt}} },
					Hosts:          func() []membership.Host { return []membership.Host{{Name: sender.Host, Incarnation: 1}} },
					Demand:         func() []placement.Demand { return nil },
					ServersChanged: func() <-chan struct{} { return unchanged },
					Now:            now,
					IsLeading:      func() bool { return quorum.Load() || c.isLeading(leadingCalls.Add(1)) },
				}, sender, logrus.NewEntry(logger))
				for _, cmd := range []state.Command{
					{Configure: &state.Configure{ChangeID: "first", Next: config.Configuration{
						Services: []config.Service{{Name: "lace-assist", Kind: config.KindEngine}},
						Models:   []config.Model{{Name: "lace", Service: "lace-assist", Version: "1", MemoryMiB: 10, MaxReplicas: 1}},
					}}},
					{Register: &state.Register{Server: "runner-1", Incarnation: 1, Service: "lace-assist", Kind: config.KindEngine, Address: server.Address, MemoryMiB: 100}},
					{Load: &state.Load{Server: "runner-1", Incarnation: 1, Model: "lace", Sender: sender}},
				} {
					res, err := log.Propose(ctx, cmd)
					if err != nil || res.Err() != nil {
						t.Fatal(err, res.Err())
					}
				}
				quorum.Store(false)
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = d.Run(ctx)
				}()
				time.Sleep(time.Minute)
				if got := orders.Load(); (got > 0) != c.wantOrders {
					t.Errorf("%d orders were sent without a quorum", got)
				}
				quorum.Store(true)
				time.Sleep(10 * time.Second)
				if orders.Load() == 0 {
					t.Error("no order was sent for the load after the quorum was restored")
				}
				stop()
				<-done
				time.Sleep(time.Minute)
				client.CloseIdle()
			})
		})
	}
}
