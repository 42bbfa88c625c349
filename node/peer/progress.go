package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// minProgressBytes is the number of bytes that arrive in a lagCheckInterval while a large update
// is on its way, over a link of 1 Mbit/s or more. Other messages are far smaller.
const minProgressBytes = 8 << 10

// countedConn counts the bytes that arrive on a connection. gRPC tells only of whole messages.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// received returns the counter of the bytes that arrive from address.
func (c *Client) received(address string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedFrom[address] == nil {
		c.receivedFrom[address] = &atomic.Int64{}
	}
	return c.receivedFrom[address]
}

// dial opens a connection whose received bytes are counted.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.received(address)}, nil
}
