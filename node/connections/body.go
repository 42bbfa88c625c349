package connections

import (
	"io"
	"net/http"
	"time"
)

// BoundBody returns a handler that gives callers the given time to send the body of a request. It
// also bounds the time for a body that the handler does not read, which the server reads before it
// answers.
func BoundBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			// Without deadlines, the caller's own time-out ends the body.
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &boundBody{r.Body, controller}
		}
		next.ServeHTTP(w, r)
	})
}

// boundBody lifts the deadline at its end, since the server goes on reading to notice that the
// caller leaves.
type boundBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
