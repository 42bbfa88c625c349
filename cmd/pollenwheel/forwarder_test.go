package main

import (
	"net"
	"sync"
	"testing"
)

// forwarder forwards TCP connections to a target. While it is stalled, connections
// stay open and no data passes, as on a link that loses every packet.
type forwarder struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	stalled bool
	resume  *sync.Cond
	conns   []net.Conn
}

func newForwarder(t testing.TB, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: l, target: target}
	f.resume = sync.NewCond(&f.mu)
	go f.serve()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) setStalled(stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = stalled
	f.resume.Broadcast()
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.setStalled(false)
	f.closeConnections()
}

// closeConnections closes all connections; new ones are forwarded.
func (f *forwarder) closeConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *forwarder) serve() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(in)
	}
}

func (f *forwarder) forward(in net.Conn) {
	f.waitWhileStalled()
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = in.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, in, out)
	f.mu.Unlock()
	go f.copyData(out, in)
	f.copyData(in, out)
}

// waitWhileStalled blocks while the forwarder is stalled.
func (f *forwarder) waitWhileStalled() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.stalled {
		f.resume.Wait()
	}
}

// copyData copies data until a connection ends. Data that was read before a stall is
// written after it.
func (f *forwarder) copyData(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.waitWhileStalled()
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
