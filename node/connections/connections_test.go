package connections

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// fakeConn is a connection that records that it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// TestIdleConnectionsAreClosed guards against callers that leave connections open until the
// process has no descriptor for another one.
func TestIdleConnectionsAreClosed(t *testing.T) {
	now := time.Duration(0)
	table := New(func() time.Duration { return now }, 50, nil)
	unused, active, idle, again := &fakeConn{}, &fakeConn{}, &fakeConn{}, &fakeConn{}
	for _, conn := range []*fakeConn{unused, active, idle, again} {
		table.Track(conn, http.StateNew)
	}
	for _, conn := range []*fakeConn{active, idle, again} {
		table.Track(conn, http.StateActive)
	}
	table.Track(idle, http.StateIdle)
	table.Track(again, http.StateIdle)
	now = 14 * time.Second
	table.Track(again, http.StateActive)
	table.Track(again, http.StateIdle)
	now = 16 * time.Second
	table.sweep(Timeouts{Idle: 0})
	if idle.closed {
		t.Error("a connection is closed although there is no timeout")
	}
	table.sweep(Timeouts{Idle: 15 * time.Second})
	for _, c := range []struct {
		name string
		conn *fakeConn
		want bool
	}{{"without a request", unused, false}, {"with a request in progress", active, false}, {"idle for 16 s", idle, true}, {"idle for 2 s", again, false}} {
		if c.conn.closed != c.want {
			t.Errorf("connection %s: closed %v, want %v", c.name, c.conn.closed, c.want)
		}
	}
	if got, want := table.Counts(), (Counts{Open: 3, Closed: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// TestLongestIdleAreClosedNearTheLimit guards against a host that accepts no new connection
// while others are idle, and against one that closes connections in use.
func TestLongestIdleAreClosedNearTheLimit(t *testing.T) {
	const most = 50
	now := time.Duration(0)
	table := New(func() time.Duration { return now }, most, nil)
	var conns []*fakeConn
	open := func() *fakeConn {
		conn := &fakeConn{}
		conns = append(conns, conn)
		table.Track(conn, http.StateNew)
		table.Track(conn, http.StateActive)
		return conn
	}
	for i := range most - 1 {
		conn := open()
		now += time.Millisecond
		if i%2 == 0 {
			table.Track(conn, http.StateIdle)
		}
	}
	if table.Full() {
		t.Error("full below the limit")
	}
	open()
	if table.Full() {
		t.Error("full although connections are idle")
	}
	closed := 0
	for i, conn := range conns {
		if conn.closed && i%2 != 0 {
			t.Errorf("connection %d is closed with a request in progress", i)
		}
		if conn.closed {
			closed++
		}
	}
	if closed != 5 || !conns[0].closed || conns[most-2].closed {
		t.Errorf("%d connections closed, want the 5 that are idle for longest", closed)
	}
	for range 2 * most {
		open()
	}
	if !table.Full() {
		t.Error("not full although all connections have a request in progress")
	}
}

// pipe returns a connection of a table and the end of its caller.
func pipe(t *testing.T, table *Table) (host, caller net.Conn) {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	return table.admit(server), client
}

// isClosed reports whether the host has closed the connection of a caller.
func isClosed(caller net.Conn) bool {
	_ = caller.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := caller.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestSlowestMakesRoom guards against callers that send or read slowly and leave no connection to
// others, and against one whose request is being served that is disconnected for others.
func TestSlowestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		table := New(func() time.Duration { return time.Since(begin) }, 4, nil)
		served, servedCaller := pipe(t, table)
		table.Track(served, http.StateActive)
		var callers []net.Conn
		for range 3 {
			time.Sleep(time.Second)
			host, caller := pipe(t, table)
			if host == nil {
				t.Fatal("refused although others send nothing")
			}
			callers = append(callers, caller)
			go func() { _, _ = host.Read(make([]byte, 10)) }()
			synctest.Wait()
		}
		for i, want := range []bool{true, false, false} {
			if closed := isClosed(callers[i]); closed != want {
				t.Errorf("connection %d closed: %v, want %v", i, closed, want)
			}
		}
		if isClosed(servedCaller) {
			t.Error("the connection with a request that is being served is closed")
		}
		if got, want := table.Counts(), (Counts{Open: 3, Evicted: 1}); got != want {
			t.Errorf("counts %+v, want %+v", got, want)
		}
	})
}

// TestRefusedWithoutRoom guards against more connections than a listener may have.
func TestRefusedWithoutRoom(t *testing.T) {
	table := New(func() time.Duration { return 0 }, 2, nil)
	for range 2 {
		host, _ := pipe(t, table)
		table.Track(host, http.StateActive)
	}
	if host, caller := pipe(t, table); host != nil || !isClosed(caller) {
		t.Error("a connection is admitted although all others have a request that is being served")
	}
	if !table.Full() || table.Counts() != (Counts{Open: 2, Refused: 1}) {
		t.Errorf("full %v, counts %+v", table.Full(), table.Counts())
	}
}

// TestHeadsCount guards against heads that take the memory of a host before a request exists:
// those that arrive slowly, and those that were sent ahead with another request.
func TestHeadsCount(t *testing.T) {
	const limit = 100 << 10
	account := memory.New(limit, nil)
	table := New(func() time.Duration { return 0 }, 100, account)
	fields := []byte(strings.Repeat("x:\r\n", 200))
	read := func(host, caller net.Conn, data []byte) error {
		go func() { _, _ = caller.Write(data) }()
		_, err := io.ReadFull(host, make([]byte, len(data)))
		return err
	}
	first, firstCaller := pipe(t, table)
	if err := read(first, firstCaller, fields); err != nil || account.Held() < int64(200*fieldBytes) {
		t.Fatalf("%d bytes held for a part of a head, error %v", account.Held(), err)
	}
	table.Track(first, http.StateActive)
	if account.Held() == 0 {
		t.Error("a complete head does not count")
	}
	table.Track(first, http.StateIdle)
	if n := account.Held(); n != 0 {
		t.Errorf("%d bytes held after the answer, want 0", n)
	}
	// The server sets the deadline of an idle connection, and that of a head that is in its buffer.
	for range 2 {
		if err := first.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
	}
	if account.Held() == 0 {
		t.Error("a head that was sent ahead does not count")
	}
	small, smallCaller := pipe(t, table)
	if err := read(small, smallCaller, fields[:80]); err != nil {
		t.Errorf("a small head is refused beside a large one: %v", err)
	}
	large, largeCaller := pipe(t, table)
	if err := read(large, largeCaller, fields); err == nil {
		t.Error("a large head is read without room")
	}
	if isClosed(smallCaller) {
		t.Error("the connection with the small head is closed")
	}
}

// TestUnreadAnswersEnd guards against a caller that reads nothing and holds its connection for
// ever, and against one that reads slowly and is disconnected.
func TestUnreadAnswersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		table := New(func() time.Duration { return time.Since(begin) }, 10, nil)
		answer := make([]byte, 4*writeChunkBytes)
		unread, _ := pipe(t, table)
		if _, err := unread.Write(answer); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begin) != writeTimeout {
			t.Errorf("an answer that is not read ended after %s with error %v, want %s", time.Since(begin), err, writeTimeout)
		}
		slow, slowCaller := pipe(t, table)
		go func() {
			for err := error(nil); err == nil; _, err = io.ReadFull(slowCaller, make([]byte, writeChunkBytes)) {
				time.Sleep(writeTimeout - time.Second)
			}
		}()
		if n, err := slow.Write(answer); err != nil || n != len(answer) {
			t.Errorf("%d bytes of an answer that is read slowly were sent, error %v", n, err)
		}
		if err := slow.SetWriteDeadline(time.Now()); err != nil {
			t.Fatal(err)
		}
		if _, err := slow.Write(answer); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("error %v after the owner's deadline", err)
		}
		_ = slowCaller.Close()
		// The slow caller notices it after its pause.
		time.Sleep(writeTimeout)
	})
}
