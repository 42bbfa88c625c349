package forward

import (
	"fmt"
	"net/http"
	"testing"
)

// unframedAnswer writes an answer with neither a length nor chunks and ends it with its
// connection, which is reset if reset is set.
func unframedAnswer(contentType, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: yes\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("T-Id"), contentType, body)
		_ = buffered.Flush()
		if c, ok := conn.(interface{ SetLinger(int) error }); reset && ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Guards against an answer without a length that is taken for broken off, and against one
// that was broken off and looks complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const twoEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	rest := eventStream(2, 3, "", true)
	for _, c := range []struct {
		name, path string
		script     []http.HandlerFunc
		status     int
		body       string
		broken     bool
		sent       int
	}{
		{"answer", "/unsafe/", []http.HandlerFunc{unframedAnswer("text/plain", "whole", false)}, 200, "whole", false, 1},
		{"empty answer", "/unsafe/", []http.HandlerFunc{unframedAnswer("text/plain", "", false)}, 200, "", false, 1},
		{"stream", "/stream/", []http.HandlerFunc{unframedAnswer("text/event-stream", twoEvents, false)}, 200, twoEvents, false, 1},
		{"stream that ends in its first event", "/stream/", []http.HandlerFunc{unframedAnswer("text/event-stream", "id: 1\ndata", false)}, 502, "", false, 1},
		{"stream that ends before the empty line of an event", "/stream/", []http.HandlerFunc{unframedAnswer("text/event-stream", "id: 1\ndata: e1\n", false)}, 502, "", false, 1},
		{"stream that ends in a later event", "/stream/", []http.HandlerFunc{unframedAnswer("text/event-stream", twoEvents+"id: 3\nda", false)}, 200, twoEvents, true, 1},
		{"resumable stream that ends in an event", "/resumable/", []http.HandlerFunc{unframedAnswer("text/event-stream", "id: 1\ndata: e1\n\nid: 2\nda", false), rest}, 200, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _, backends := startForwarder(t, c.script)
			resp, body, err := post(t, url, c.path, "")
			if resp.status != c.status || body != c.body || (err != nil) != c.broken {
				t.Errorf("status %d, body %q, error %v; want status %d, body %q, broken off %v", resp.status, body, err, c.status, c.body, c.broken)
			}
			if got := backends[0].requestCount(); got != c.sent {
				t.Errorf("request sent %d times, want %d", got, c.sent)
			}
		})
	}
}

// Guards against an answer without a length that is taken for complete although its
// connection was reset on the way.
func TestResetAnswerWithoutLengthIsNotComplete(t *testing.T) {
	for range 20 {
		url, _, _ := startForwarder(t, []http.HandlerFunc{unframedAnswer("text/plain", "half", true)})
		if resp, body, _ := post(t, url, "/unsafe/", ""); resp.status == http.StatusOK {
			t.Fatalf("status 200, body %q of a reset answer", body)
		}
	}
}
