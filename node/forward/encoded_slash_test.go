package forward

import (
	"net/http"
	"testing"
)

// Guards against a request of an unsafe route that counts as one of a safe route, and runs twice,
// because a slash in its path is encoded.
func TestEncodedSlashDoesNotChangeTheRoute(t *testing.T) {
	for _, c := range []struct {
		path         string
		status, sent int
	}{
		{"/safe/x", http.StatusOK, 2},
		{"/unsafe/x", http.StatusBadGateway, 1},
		{"/safe/..%2F..%2Funsafe%2Fx", http.StatusOK, 2},
		{"/unsafe%2Fx", http.StatusNotFound, 0},
		{"/unsafe/safe%2Fx", http.StatusBadGateway, 1},
		{"/nested/look/x", http.StatusOK, 2},
		{"/nested/look%2Fx", http.StatusBadGateway, 1},
		{"/nested/look%2fx", http.StatusBadGateway, 1},
	} {
		t.Run(c.path, func(t *testing.T) {
			url, _, backends := startForwarder(t, []http.HandlerFunc{dropConnection, signedAnswer(http.StatusOK, "whole")})
			resp, _, err := post(t, url, c.path, "")
			if err != nil || resp.status != c.status {
				t.Errorf("status %d, error %v; want status %d", resp.status, err, c.status)
			}
			if got := backends[0].requestCount(); got != c.sent {
				t.Errorf("request sent %d times, want %d", got, c.sent)
			}
		})
	}
}
