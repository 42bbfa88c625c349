// Package backend implements the HTTP interface to backend servers: it receives
// their announcements and cache reports, and sends them orders and requests.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// OrderKind is the operation that an order requests.
type OrderKind string

// Order kinds.
const (
	LoadModel     OrderKind = "load_model"
	UnloadModel   OrderKind = "unload_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version"`
	// Fence is the fencing number of the order.
	Fence uint64 `json:"fence"`
	// Incarnation identifies the server process that must run the order.
	Incarnation uint64 `json:"incarnation"`
	DeadlineMS  int64  `json:"deadline_ms"`
}

// OrderAnswer is the backend server's answer to an order. It states only whether
// the order was accepted: the load itself completes later and is announced.
type OrderAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	AnnouncementPoint
}

// AnnouncementPoint is the incarnation of a backend server process and the sequence
// number of its last announcement before the answer.
type AnnouncementPoint struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// Delivery states whether a message without an answer may have reached the backend
// server.
type Delivery int

// Delivery values.
const (
	// NotSent: no byte of the request reached the backend server.
	NotSent Delivery = iota
	// MaybeSent: the backend server may have received the request.
	MaybeSent
	// ConnectionRefused: the address refused the connection, so no process listens
	// there.
	ConnectionRefused
)

// SendError reports a message without a valid answer.
type SendError struct {
	Address  string
	Delivery Delivery
	Err      error
}

func (e *SendError) Error() string { return fmt.Sprintf("backend %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// DialFunc is a function that opens a connection to a backend server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends orders and requests to backend servers.
type Client struct {
	// pooled keeps connections open and reuses them.
	pooled *http.Client
	// unpooled uses every connection for one request. When a pooled connection
	// fails, net/http silently resends some requests, which must not happen to a
	// request that may run only once.
	unpooled *http.Client

	mu sync.Mutex
	// identifying holds the addresses whose last answer repeated the ID of its attempt.
	// Only their connections are used again.
	identifying map[string]bool
}

const (
	// maxHeadBytes bounds the head of an answer, with its interim answers.
	maxHeadBytes = 64 << 10
	// maxOrderAnswerBytes bounds the body of an answer to an order or to a probe of
	// announcements, which has a few short fields.
	maxOrderAnswerBytes = 64 << 10
)

// connectTimeout bounds the TCP handshake with a backend server.
const connectTimeout = 500 * time.Millisecond

// NewClient returns a client with its own connection pool. It waits at most
// connectTimeout for a connection.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return NewClientWithDial(dialer.DialContext)
}

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{pooled: newHTTPClient(dial, false), unpooled: newHTTPClient(dial, true), identifying: map[string]bool{}}
}

// newHTTPClient returns an HTTP client that neither decompresses answers nor
// follows redirects.
func newHTTPClient(dial DialFunc, disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            memory.CountHeads(dial),
			MaxIdleConnsPerHost:    256,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			DisableKeepAlives:      disableKeepAlives,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		// Redirects are returned to the caller of the client: following one here would
		// send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the pooled connections that are not in use.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Order sends one order and returns the answer. Errors are of type *SendError.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderAnswer, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return OrderAnswer{}, &SendError{Address: address, Delivery: NotSent, Err: err}
	}
	resp, err := c.Do(ctx, address, http.MethodPost, "/v1/orders", http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return OrderAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a OrderAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxOrderAnswerBytes)).Decode(&a); err != nil {
		return a, &SendError{Address: address, Delivery: MaybeSent, Err: err}
	}
	return a, nil
}

// AnnouncementPoint requests the incarnation of a backend server and the sequence
// number of its last announcement. Errors are of type *SendError.
func (c *Client) AnnouncementPoint(ctx context.Context, address string) (AnnouncementPoint, error) {
	resp, err := c.Do(ctx, address, http.MethodGet, "/v1/incarnation", http.Header{}, nil)
	if err != nil {
		return AnnouncementPoint{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var p AnnouncementPoint
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxOrderAnswerBytes)).Decode(&p); err != nil {
		return p, &SendError{Address: address, Delivery: MaybeSent, Err: err}
	}
	return p, nil
}

// Do sends one request and returns the response, whose body must be closed. Errors
// are of type *SendError.
func (c *Client) Do(ctx context.Context, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	client := c.clientFor(address, method, header)
	resp, err := c.send(ctx, client, address, method, path, header, body)
	if err != nil {
		return nil, err
	}
	c.recordIdentification(address, header, resp)
	if client == c.pooled && resp.Header.Get(HeaderAttemptID) == "" {
		_ = resp.Body.Close()
		return nil, &SendError{Address: address, Delivery: MaybeSent, Err: errUnidentifiedAnswer}
	}
	return resp, nil
}

// errUnidentifiedAnswer reports an answer without the ID of an attempt on a connection
// that other attempts have used. It may be a late copy of the answer to one of them.
// The caller of the client compares the IDs of all other answers.
var errUnidentifiedAnswer = errors.New("the answer does not carry the ID of its attempt")

// recordIdentification records whether the answers from an address repeat the IDs of
// their attempts.
func (c *Client) recordIdentification(address string, header http.Header, resp *http.Response) {
	id := header.Get(HeaderAttemptID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != "" && resp.Header.Get(HeaderAttemptID) == id {
		c.identifying[address] = true
		return
	}
	delete(c.identifying, address)
}

// isIdentifying reports whether the last answer from an address repeated the ID of its
// attempt.
func (c *Client) isIdentifying(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identifying[address]
}

// DoOnce sends one request like Do, but always over a new connection, so that
// net/http cannot resend the request.
func (c *Client) DoOnce(ctx context.Context, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	return c.send(ctx, c.unpooled, address, method, path, header, body)
}

// clientFor returns the unpooled client for requests that net/http would resend by
// itself, and for those whose answer cannot be told from a late copy of another one.
// All others get the pooled client.
func (c *Client) clientFor(address, method string, header http.Header) *http.Client {
	if header.Get(HeaderAttemptID) == "" || !c.isIdentifying(address) {
		return c.unpooled
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.unpooled
	}
	if header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != "" {
		return c.unpooled
	}
	return c.pooled
}

func (c *Client) send(ctx context.Context, client *http.Client, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &SendError{Address: address, Delivery: NotSent, Err: err}
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return nil, &SendError{Address: address, Delivery: deliveryOf(err), Err: err}
	}
	return resp, nil
}

// deliveryOf returns the Delivery for a transport error: an error while connecting
// means that no byte was sent.
func deliveryOf(err error) Delivery {
	var opErr *net.OpError
	if !errors.As(err, &opErr) || opErr.Op != "dial" {
		return MaybeSent
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ConnectionRefused
	}
	return NotSent
}
