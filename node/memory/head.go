package memory

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// conn counts the bytes that are read from a connection for the head of an answer.
type conn struct {
	net.Conn
	head atomic.Pointer[Holding]
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	h := c.head.Load()
	if h == nil || n == 0 {
		return n, err
	}
	if growErr := h.Grow(n); growErr != nil {
		return n, growErr
	}
	return n, err
}

// CountHeads returns a function that opens connections with dial, on which heads can be
// counted.
func CountHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// WithHead returns a context for one HTTP request over a connection of CountHeads. What is
// read from the connection counts for h, interim answers included, until stop is called,
// which must follow the head of the answer.
func WithHead(ctx context.Context, h *Holding) (headContext context.Context, stop func()) {
	var used atomic.Pointer[conn]
	headContext = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used.Store(c)
			c.head.Store(h)
		}
	}})
	return headContext, func() {
		if c := used.Load(); c != nil {
			c.head.CompareAndSwap(h, nil)
		}
	}
}
