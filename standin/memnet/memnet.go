// Package memnet is a network in memory. Tests connect hosts and servers through it, so
// that they can run in virtual time.
package memnet

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// Network connects callers to listeners by address. The zero value is ready for use,
// and safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener at an address of the form IP:PORT. It replaces an earlier
// listener at this address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr {
	host, port, _ := net.SplitHostPort(l.address)
	p, _ := strconv.Atoi(port)
	return &net.TCPAddr{IP: net.ParseIP(host), Port: p}
}

// Dial connects to the listener at an address. Without an open listener there, the error
// is that of a refused connection.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	ours, theirs := net.Pipe()
	select {
	case l.accept <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
