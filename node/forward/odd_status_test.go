package forward

import (
	"fmt"
	"net/http"
	"testing"
)

// oddStatus writes an answer of a sound server, but for its status line and a further header line.
func oddStatus(status, header, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 %s\r\nT-Id: %s\r\nT-Signed: yes\r\n%sContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			status, r.Header.Get("T-Id"), header, contentType, len(body), body)
		_ = buffered.Flush()
		_ = conn.Close()
	}
}

// Guards against an answer with a status that HTTP does not define: it ended the connection of the
// caller without an answer, also where another server could have answered, or was passed on.
func TestAnswerWithAStatusThatIsNone(t *testing.T) {
	const events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	for _, status := range []string{"000 None", "042 None", "099 None", "101 Switching Protocols", "199 Info", "600 None", "999 None", "20 Short", "2000 Long", "abc None", "-12 Minus", "+20 Plus"} {
		for _, c := range []struct {
			path, contentType, body string
			second                  http.HandlerFunc
			want, sent              int
			wantBody                string
		}{
			{"/safe/", "text/plain", "odd", signedAnswer(200, "sound"), 200, 2, "sound"},
			{"/unsafe/", "text/plain", "odd", signedAnswer(200, "sound"), 502, 1, ""},
			{"/stream/", "text/event-stream", events, eventStream(1, 3, "", true), 502, 1, ""},
			{"/resumable/", "text/event-stream", events, eventStream(1, 3, "", true), 200, 2, events},
		} {
			t.Run(status+" "+c.path, func(t *testing.T) {
				url, _, backends := startForwarder(t, []http.HandlerFunc{oddStatus(status, "", c.contentType, c.body), c.second})
				resp, body, err := post(t, url, c.path, "")
				if err != nil || resp.status != c.want || body != c.wantBody {
					t.Errorf("status %d, body %q, error %v; want status %d, body %q", resp.status, body, err, c.want, c.wantBody)
				}
				if got := backends[0].requestCount(); got != c.sent {
					t.Errorf("request sent %d times, want %d", got, c.sent)
				}
			})
		}
	}
}

// Guards against a request that is called not run because of an answer that is none.
func TestAnswerWithAStatusThatIsNoneProvesNothing(t *testing.T) {
	url, _, backends := startForwarder(t, []http.HandlerFunc{oddStatus("000 None", "T-Not-Run: yes\r\n", "text/plain", ""), signedAnswer(200, "sound")})
	resp, _, err := post(t, url, "/unsafe/", "")
	if err != nil || resp.status != http.StatusBadGateway || backends[0].requestCount() != 1 {
		t.Errorf("status %d, error %v, sent %d times; want status 502, sent once", resp.status, err, backends[0].requestCount())
	}
}
