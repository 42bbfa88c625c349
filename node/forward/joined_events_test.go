package forward

import (
	"net/http"
	"testing"
)

// Guards against an answer of events on a route that is not resumable that is joined of two runs
// and looks complete.
func TestEventsAreContinuedOnResumableRoutesOnly(t *testing.T) {
	const whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	for _, c := range []struct {
		name, path string
		script     []http.HandlerFunc
		broken     bool
		sent       int
		body       string
	}{
		{"safe, cut in the middle", "/safe/", []http.HandlerFunc{eventStream(1, 2, "", false), eventStream(1, 3, "", true)}, true, 1, whole[:32]},
		{"safe, cut before the first event", "/safe/", []http.HandlerFunc{eventStream(1, 0, "", false), eventStream(1, 3, "", true)}, false, 2, whole},
		{"safe, whole", "/safe/", []http.HandlerFunc{eventStream(1, 3, "", true)}, false, 1, whole},
		{"unsafe, cut in the middle", "/unsafe/", []http.HandlerFunc{eventStream(1, 2, "", false), eventStream(1, 3, "", true)}, true, 1, whole[:32]},
		{"resumable, cut in the middle", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "", false), eventStream(3, 3, "", true)}, false, 2, whole},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _, backends := startForwarder(t, c.script)
			resp, body, err := post(t, url, c.path, "")
			if resp.status != http.StatusOK || body != c.body || (err != nil) != c.broken {
				t.Errorf("status %d, body %q, error %v; want status 200, body %q, broken off %v", resp.status, body, err, c.body, c.broken)
			}
			if got := backends[0].requestCount(); got != c.sent {
				t.Errorf("request sent %d times, want %d", got, c.sent)
			}
		})
	}
}
