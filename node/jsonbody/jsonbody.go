// Package jsonbody reads JSON documents from the bodies of requests. It bounds not only their size
// but also their parts, since a document of many empty ones takes far more memory when it is decoded
// than its text.
package jsonbody

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// Limit bounds a document.
type Limit struct {
	Bytes int64
	// Parts bounds the objects, lists and fields together.
	Parts int
}

// partBytes is the memory that a part of a document takes when it is decoded.
const partBytes = 96

// PartsError reports a document that has too many parts to be decoded.
type PartsError struct{ Parts, Limit int }

func (e *PartsError) Error() string {
	return fmt.Sprintf("jsonbody: the document has %d objects, lists and fields, at most %d are allowed", e.Parts, e.Limit)
}

// Document is the text of a document that counts for an account.
type Document struct {
	Data []byte
	held *memory.Holding
}

// Release ends the counting of the document and of what was decoded from it.
func (d *Document) Release() { d.held.Release() }

// Read reads the body of a request. The document, also one that is returned with an error, must be
// released. The error is an *http.MaxBytesError, a *PartsError, a *memory.RequestsError or that of
// the connection.
func Read(w http.ResponseWriter, r *http.Request, a *memory.Account, l Limit) (*Document, error) {
	d := &Document{held: a.HoldBody(w, r)}
	var err error
	if d.Data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, l.Bytes)); err != nil {
		return d, err
	}
	parts := 0
	for _, separator := range []byte("{[,") {
		parts += bytes.Count(d.Data, []byte{separator})
	}
	if parts > l.Parts {
		return d, &PartsError{Parts: parts, Limit: l.Parts}
	}
	return d, d.held.Grow(parts * partBytes)
}
