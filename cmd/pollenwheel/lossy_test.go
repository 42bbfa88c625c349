package main

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// lossyLink forwards connections to an engine. Until lossless is set, it drops the
// answers to every second order, and delays every fourth order beyond the sender's
// timeout.
type lossyLink struct {
	listener net.Listener
	target   string
	orders   atomic.Int64
	dropped  atomic.Int64
	lossless atomic.Bool
}

// orderDelay is longer than the time for which a control host waits for an answer,
// and shorter than the ten announcement intervals within which an engine executes
// an order.
const orderDelay = 2500 * time.Millisecond

func newLossyLink(t testing.TB, target string) *lossyLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link := &lossyLink{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(in)
		}
	}()
	return link
}

func (link *lossyLink) forward(in net.Conn) {
	out, err := net.Dial("tcp", link.target)
	if err != nil {
		_ = in.Close()
		return
	}
	var drop atomic.Bool
	go copyTo(in, out, func([]byte) bool { return !drop.Load() })
	copyTo(out, in, func(data []byte) bool {
		if !bytes.HasPrefix(data, []byte("POST /v1/orders")) || link.lossless.Load() {
			return true
		}
		n := link.orders.Add(1)
		if n%4 == 0 {
			time.Sleep(orderDelay)
		}
		if n%2 == 0 {
			link.dropped.Add(1)
			drop.Store(true)
		}
		return true
	})
}

// copyTo copies data until the connection ends or pass returns false.
func copyTo(to, from net.Conn, pass func([]byte) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !pass(buf[:n]) || err != nil && n == 0 {
			return
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
