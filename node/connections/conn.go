package connections

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// fieldBytes is the memory that one header field takes beside its text: the entry in the map of
	// fields, the name, and the list of its values.
	fieldBytes = 160
	// writeChunkBytes is what a caller must read within writeTimeout.
	writeChunkBytes = 64 << 10
	writeTimeout    = 30 * time.Second
)

// errEvicted is the error of a connection that has been closed for its memory.
var errEvicted = errors.New("connections: the memory of the connection is needed by others")

// Listen returns a listener whose connections belong to the table.
func (t *Table) Listen(l net.Listener) net.Listener { return &listener{Listener: l, table: t} }

type listener struct {
	net.Listener
	table *Table
}

// Accept returns the next connection for which there is room. Others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.table.admit(c); tracked != nil {
			return tracked, nil
		}
	}
}

// admit adds a connection, or closes it and returns nil if there is no room.
func (t *Table) admit(c net.Conn) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &conn{Conn: c, entry: newEntry(t)}
	t.add(out, out.entry)
	if len(t.open) <= t.max {
		return out
	}
	t.close(out)
	t.counts.Refused++
	return nil
}

// conn is a connection whose use is recorded. An http.Server reads from it in one goroutine at a
// time, and writes likewise.
type conn struct {
	net.Conn
	entry *entry
	// lastBytes is the memory for what the last read brought, which may hold the beginning of the
	// next head.
	lastBytes int

	mu sync.Mutex
	// writeDeadline is the deadline that the owner has set, or zero.
	writeDeadline time.Time
}

// Read reads from the connection. While a head arrives, its memory counts for the account.
func (c *conn) Read(p []byte) (int, error) {
	e := c.entry
	// The server looks for the end of a connection with a buffer of one byte while it serves a
	// request.
	if watching := len(p) == 1 && e.currentPhase() == phaseRequest; watching {
		return c.Conn.Read(p)
	}
	e.reading.Store(true)
	n, err := c.Conn.Read(p)
	e.reading.Store(false)
	if n == 0 {
		return n, err
	}
	e.recordProgress()
	c.lastBytes = headMemory(p[:n])
	if e.currentPhase() == phaseRequest {
		return n, err
	}
	c.beginHead()
	if growErr := e.countHead(c.lastBytes, c.endForMemory); growErr != nil {
		_ = c.Close()
		return 0, growErr
	}
	return n, err
}

// headMemory returns the memory that a part of a head takes.
func headMemory(part []byte) int { return 2*len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}) }

func (c *conn) beginHead() {
	if c.entry.currentPhase() != phaseHead {
		c.entry.enter(phaseHead)
	}
}

// endForMemory closes the connection because other requests need its memory.
func (c *conn) endForMemory(error) {
	t := c.entry.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[c]; open {
		t.close(c)
		t.counts.Evicted++
	}
}

// SetReadDeadline sets the deadline of reads. A server sets a second one on an idle connection once
// the next request has begun, which may have arrived with the one before.
func (c *conn) SetReadDeadline(at time.Time) error {
	if c.entry.currentPhase() == phaseIdle && c.entry.idleDeadlines.Add(1) == 2 {
		c.beginHead()
		if err := c.entry.countHead(c.lastBytes, c.endForMemory); err != nil {
			return errors.Join(errEvicted, c.Close())
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// Write writes to the connection. The caller must read each chunk in time.
func (c *conn) Write(p []byte) (int, error) {
	e := c.entry
	written := 0
	e.writing.Store(true)
	defer e.writing.Store(false)
	for {
		chunk := p[written:min(len(p), written+writeChunkBytes)]
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if n > 0 {
			e.recordProgress()
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// extendWriteDeadline sets the deadline of the next write, which is not after that of the owner.
func (c *conn) extendWriteDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(writeTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(at) {
		at = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(at)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = at
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Close closes the connection, which no longer counts.
func (c *conn) Close() error {
	c.entry.table.forget(c)
	return c.Conn.Close()
}

// CloseWrite ends what is sent, so that the caller reads an answer that ends the connection before
// the connection is reset.
func (c *conn) CloseWrite() error {
	c.entry.enter(phaseClosing)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
