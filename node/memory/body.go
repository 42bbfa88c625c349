package memory

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// HoldBody returns a holding for the body of a request, which its owner must release, and replaces
// the body by one that counts its bytes while they arrive. The errors of that body are those of the
// connection and of Grow: if the account ends the request, a *RequestsError. After its end, the
// account no longer ends the request.
func (a *Account) HoldBody(w http.ResponseWriter, r *http.Request) *Holding {
	h := a.HoldIncoming(func(error) {
		// This ends a read that waits for the caller. Without deadlines the next byte does.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	r.Body = &countedBody{ReadCloser: r.Body, held: h}
	return h
}

type countedBody struct {
	io.ReadCloser
	held *Holding
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if heldErr := b.held.Grow(n); heldErr != nil {
			return n, heldErr
		}
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if heldErr := b.held.Finish(); heldErr != nil {
			return n, heldErr
		}
		return n, err
	}
	if heldErr := b.held.Err(); heldErr != nil {
		return n, heldErr
	}
	return n, err
}
