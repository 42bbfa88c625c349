package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// headThatStops writes the head of an answer up to a point in the middle, and closes the
// connection.
func headThatStops(head string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(buffered, strings.ReplaceAll(head, "ID", r.Header.Get("T-Id")))
		_ = buffered.Flush()
		_ = conn.Close()
	}
}

// TestErrorAfterABegunStreamIsNotPartOfIt guards against the text or the head of an error in the
// middle of a stream whose first server broke off, and against a stream that then looks complete.
func TestErrorAfterABegunStreamIsNotPartOfIt(t *testing.T) {
	const begun = "id: 1\ndata: e1\n\n"
	streamWithStatus := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		signedAnswer(http.StatusInternalServerError, "id: 2\ndata: error\n\n")(w, nil)
	}
	for _, c := range []struct {
		name string
		next http.HandlerFunc
	}{
		{"failure", signedAnswer(http.StatusInternalServerError, "error text")},
		{"failure in the form of a stream", streamWithStatus},
		{"bad request", signedAnswer(http.StatusBadRequest, "error text")},
		{"not found", signedAnswer(http.StatusNotFound, "error text")},
		{"success that is no stream", signedAnswer(http.StatusOK, "error text")},
		{"success without content", signedAnswer(http.StatusNoContent, "")},
		{"refusal", answerNotRun},
		{"answer to another request", answerWithOtherID},
		{"unsigned answer", unsignedAnswer},
		{"head that stops", headThatStops("HTTP/1.1 500 Oops\r\nT-Id: ID\r\nT-Signed: yes\r\nContent-Le")},
		{"connection dropped", dropConnection},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _, _ := startForwarder(t, []http.HandlerFunc{eventStream(1, 1, "id: 2\nda", false), c.next})
			resp, body, err := post(t, url, "/resumable/", "")
			if resp.status != http.StatusOK || body != begun || err == nil {
				t.Errorf("status %d, body %q, error %v; want status 200, only the first event, and a broken connection", resp.status, body, err)
			}
		})
	}
}

// TestHeadThatStopsIsNoAnswer guards against a success with an empty or short body that is made of
// the first lines of a head.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signed: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n"
	for end := 0; end <= len(whole); end++ {
		for _, path := range []string{"/unsafe/", "/stream/"} {
			url, _, backends := startForwarder(t, []http.HandlerFunc{headThatStops(whole[:end])})
			resp, body, err := post(t, url, path, "")
			if resp.status != http.StatusBadGateway || body != "" || err != nil {
				t.Errorf("%s, head of %q: status %d, body %q, error %v; want status 502", path, whole[:end], resp.status, body, err)
			}
			if got := backends[0].requestCount(); got != 1 {
				t.Errorf("%s, head of %q: request sent %d times, want once", path, whole[:end], got)
			}
		}
	}
}

// TestRefusalWrittenAgainIsNotTakenForAnother guards against a refusal that a server writes once
// more on a connection that it keeps: a request that runs is then called not run, or runs at a
// second server.
func TestRefusalWrittenAgainIsNotTakenForAnother(t *testing.T) {
	url, f, backends := startForwarder(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var runs atomic.Int64
	go serveWithRepeatedRefusal(l, &runs)
	f.opts.Servers = func() []membership.ServerStatus {
		return []membership.ServerStatus{{Server: membership.Server{
			Name: "faulty", Service: "plain", Address: l.Addr().String(), Incarnation: 1, Sequence: 1,
		}}}
	}
	f.Refresh()
	refused := 0
	for i := range 20 {
		before := runs.Load()
		resp, body, err := post(t, url, "/unsafe/", "", "T-Id", fmt.Sprint("request-", i))
		ran := runs.Load() > before
		switch {
		case err != nil:
			t.Errorf("request %d: %v", i, err)
		case resp.status == http.StatusServiceUnavailable && ran:
			t.Errorf("request %d was called not run and ran", i)
		case resp.status == http.StatusServiceUnavailable:
			refused++
		case resp.status == http.StatusOK && body != fmt.Sprint("ran request-", i):
			t.Errorf("request %d got the answer %q", i, body)
		}
	}
	if refused != 10 || backends[0].requestCount() > 0 {
		t.Errorf("%d requests were refused and %d sent to another server, want 10 and none", refused, backends[0].requestCount())
	}
}

// serveWithRepeatedRefusal refuses each second request, and writes each refusal once more
// before the answer to the request that follows on the connection.
func serveWithRepeatedRefusal(l net.Listener, runs *atomic.Int64) {
	var requests atomic.Int64
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			refusal := ""
			for {
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				id := r.Header.Get("T-Id")
				if requests.Add(1)%2 == 1 {
					refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\nT-Id: %s\r\nT-Not-Run: yes\r\nContent-Length: 0\r\n\r\n", id)
					_, _ = io.WriteString(conn, refusal+refusal)
					continue
				}
				runs.Add(1)
				body := "ran " + id
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: yes\r\nContent-Length: %d\r\n\r\n%s", refusal, id, len(body), body)
			}
		}()
	}
}
