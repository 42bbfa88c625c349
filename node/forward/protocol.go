// Package forward passes the requests of callers on to backend servers by the
// published route table. It carries out what core/exchange decides and knows no
// protocol beyond HTTP and event streams: names of headers come from a Protocol.
package forward

import (
	"net/http"
	"time"
)

// Request is what the headers of a caller's request say.
type Request struct {
	// ID names the caller's attempt.
	ID string
	// Deadline is how long the caller waits. Zero means that it does not say.
	Deadline time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// Prefix is a hash of the shared beginning of the prompt. Zero is none.
	Prefix uint64
	// ResumeAfter is the id of the last event that the caller has, if any.
	ResumeAfter string
}

// Attempt is what one send to a backend server adds to the request.
type Attempt struct {
	// Deadline is how long the server may work.
	Deadline time.Duration
	// Server is the only one that may run the request.
	Server string
	// ResumeAfter is the id of the last event that was passed on, if any.
	ResumeAfter string
	// Priority of the route; 0 is the most urgent.
	Priority int
}

// Answer is what the headers of a backend server's answer say.
type Answer struct {
	// ID repeats the request's id.
	ID string
	// Signed answers bear the mark of the server that made them.
	Signed bool
	// NotRun states that the server did not run the request.
	NotRun bool
	// Server is the process that answered, if it says so.
	Server string
}

// Protocol translates headers. Its implementation belongs to the interface
// that the callers and backend servers speak.
type Protocol interface {
	// Request reads the headers of a caller's request.
	Request(h http.Header) (Request, error)
	// Forward prepares the caller's headers for one attempt. It may modify h.
	Forward(h http.Header, a Attempt)
	// Answer reads the headers of a backend server's answer.
	Answer(h http.Header) Answer
}
