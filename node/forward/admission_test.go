package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestServiceLeavesRoomForOthers guards against requests that wait for the servers of one service
// and take the connections of all callers.
func TestServiceLeavesRoomForOthers(t *testing.T) {
	held := make(chan struct{})
	began := make(chan struct{}, 2)
	hold := func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-held
		signedAnswer(http.StatusOK, "ok")(w, r)
	}
	url, forwarder, backends := startForwarder(t, []http.HandlerFunc{hold, hold})
	forwarder.opts.MaxRequests = 4
	var waiting sync.WaitGroup
	for range 2 {
		waiting.Go(func() {
			if resp, _, err := post(t, url, "/unsafe/x", ""); err != nil || resp.status != http.StatusOK {
				t.Errorf("an admitted request: status %d, error %v", resp.status, err)
			}
		})
	}
	<-began
	<-began
	resp, _, err := post(t, url, "/unsafe/x", "")
	if err != nil || resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || backends[0].requestCount() != 2 {
		t.Errorf("a third request: status %d, error %v, %d requests sent; want 503 with Retry-After, and 2", resp.status, err, backends[0].requestCount())
	}
	admitted := []bool{forwarder.admitRequest("other"), forwarder.admitRequest("third"), forwarder.admitRequest("third")}
	if !admitted[0] || admitted[2] {
		t.Error("another service finds no room, or all services together find too much")
	}
	close(held)
	waiting.Wait()
	if n := forwarder.admitted["plain"]; n != 0 {
		t.Errorf("%d requests count as in progress after their ends", n)
	}
}

// TestRefusalDoesNotWaitForTheBody guards against a caller that is refused and holds its connection
// for ever, because it never sends the rest of its body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	url, _, _ := startForwarder(t, nil)
	for _, c := range []struct{ name, length string }{
		{"short body", "Content-Length: 10"}, {"long body", "Content-Length: 100000"}, {"chunks", "Transfer-Encoding: chunked"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "POST /nowhere/ HTTP/1.1\r\nHost: h\r\n"+c.length+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusNotFound {
				t.Errorf("status %d, want 404", resp.StatusCode)
			}
			if _, err := reader.ReadByte(); err == nil {
				t.Error("the connection goes on in the middle of a body")
			}
		})
	}
}
