package main

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// lossyLink forwards connections to an engine. While it is lossy, it drops the
// answers to every second order, and delays every fourth order beyond the
// sender's time-out.
type lossyLink struct {
	listener net.Listener
	target   string
	orders   atomic.Int64
	dropped  atomic.Int64
	lossless atomic.Bool
}

// orderDelay is longer than a control host waits for an answer, and shorter
// than the ten announcements within which an engine executes an order.
const orderDelay = 2500 * time.Millisecond

func newLossyLink(t testing.TB, target string) *lossyLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &lossyLink{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go f.forward(in)
		}
	}()
	return f
}

func (f *lossyLink) forward(in net.Conn) {
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = in.Close()
		return
	}
	var drop atomic.Bool
	go copyTo(in, out, func([]byte) bool { return !drop.Load() })
	copyTo(out, in, func(data []byte) bool {
		if !bytes.HasPrefix(data, []byte("POST /v1/orders")) || f.lossless.Load() {
			return true
		}
		n := f.orders.Add(1)
		if n%4 == 0 {
			time.Sleep(orderDelay)
		}
		if n%2 == 0 {
			f.dropped.Add(1)
			drop.Store(true)
		}
		return true
	})
}

// copyTo copies data until the connection ends or pass rejects it.
func copyTo(to, from net.Conn, pass func([]byte) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !pass(buf[:n]) || err != nil && n == 0 {
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
