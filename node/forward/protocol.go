// Package forward forwards callers' requests to backend servers according to the
// published route table. It executes the decisions of core/exchange. It
// implements HTTP and event streams only; a Protocol defines the header names.
package forward

import (
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
)

// Request holds the values from the headers of a caller's request.
type Request struct {
	// ID identifies the request. Its attempts on backend servers carry the same ID.
	ID string
	// Timeout is how long the caller waits. Zero means that it is not given.
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// Prefix is a hash of the shared prefix of the prompt. Zero means none.
	Prefix uint64
	// PromptParts are the IDs of the parts of the prompt that other requests may
	// share, in their order in the prompt. The part of the request itself is omitted.
	PromptParts []string
	// ResumeAfter is the ID of the last event that the caller has received, if any.
	ResumeAfter string
	// ResumedStream is the ID of the request that brought the caller the first event of the
	// stream that it resumes with this one. It is empty for a new stream.
	ResumedStream string
	// APIKey is the key of the caller's account. It is empty if the request has none or several.
	APIKey string
	// Tokens is the number of tokens that the request names, or negative if it names none.
	Tokens float64
}

// Attempt holds the values that one attempt on a backend server adds to the
// request.
type Attempt struct {
	// Timeout is the time left for the server to answer.
	Timeout time.Duration
	// Server is the name of the only server that may run the request.
	Server string
	// ResumeAfter is the ID of the last event passed on to the caller, if any.
	ResumeAfter string
	// Priority is the priority of the route or of the account. Zero is the most urgent.
	Priority int
	// Accounts is set if the route table has accounts. The caller's headers for the key and for
	// the account must then not reach the server. Account is the name of the request's account;
	// it is empty on a public route without a known key.
	Accounts bool
	Account  string
}

// Answer holds the values from the headers of a backend server's answer.
type Answer struct {
	// ID is the ID of the request that is answered.
	ID string
	// Signed reports whether the answer has the header with which backend servers
	// mark their answers.
	Signed bool
	// NotRun reports that the server did not run the request.
	NotRun bool
	// Server is the name of the server that answered, if given.
	Server string
	// Notice is what the server says of itself.
	Notice notice.Notice
}

// Protocol reads and writes the headers of the protocol that callers and backend
// servers use.
type Protocol interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (Request, error)
	// SetAttemptHeaders sets the headers of one attempt in h, a copy of the caller's headers.
	SetAttemptHeaders(h http.Header, a Attempt)
	// ParseAnswer parses the status and the headers of a backend server's answer.
	ParseAnswer(status int, h http.Header) Answer
}
