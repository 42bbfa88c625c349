// Package backend is the HTTP interface to backend servers: it receives their
// announcements and sends them orders and requests.
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
	"syscall"
	"time"
)

// OrderKind is what an order asks for.
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
	Kind        OrderKind `json:"kind"`
	Model       string    `json:"model"`
	Adapter     string    `json:"adapter,omitempty"`
	Version     string    `json:"version"`
	Fence       uint64    `json:"fence"`
	Incarnation uint64    `json:"incarnation"`
	DeadlineMS  int64     `json:"deadline_ms"`
}

// OrderAnswer is the backend server's answer to an order. The load itself
// completes later and is announced.
type OrderAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	// Sequence is the newest announcement sequence when the order was answered.
	Sequence uint64 `json:"sequence"`
}

// Delivery says what is known about a message that failed.
type Delivery int

// Delivery outcomes.
const (
	// NotSent: no byte of the request reached the backend server.
	NotSent Delivery = iota
	// MaybeSent: the backend server may have received the request.
	MaybeSent
	// ProcessEnded: the address refused the connection, so no process listens.
	ProcessEnded
)

// SendError reports a message that got no answer.
type SendError struct {
	Address  string
	Delivery Delivery
	Err      error
}

func (e *SendError) Error() string { return fmt.Sprintf("backend %s: %v", e.Address, e.Err) }

// Unwrap returns the transport error.
func (e *SendError) Unwrap() error { return e.Err }

// Dial opens a connection to a backend server.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends orders and requests to backend servers.
type Client struct {
	pooled *http.Client
	// fresh uses every connection once. net/http silently resends some requests
	// when a pooled connection fails, which must not happen to a request that
	// may run only once.
	fresh *http.Client
}

// connectTimeout bounds the wait for a backend server's TCP handshake.
const connectTimeout = 500 * time.Millisecond

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return NewClientWith(dialer.DialContext)
}

// NewClientWith returns a client that connects with dial.
func NewClientWith(dial Dial) *Client {
	return &Client{pooled: httpClient(dial, false), fresh: httpClient(dial, true)}
}

func httpClient(dial Dial, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
		},
		// A redirect is the caller's to follow; following it here would send the
		// request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Order sends one order and waits for its answer.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&a); err != nil {
		return a, &SendError{Address: address, Delivery: MaybeSent, Err: err}
	}
	return a, nil
}

// Do sends one request. The caller closes the answer's body.
func (c *Client) Do(ctx context.Context, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	return c.send(ctx, c.clientFor(method, header), address, method, path, header, body)
}

// DoOnce sends one request over a connection of its own, so that the transport
// cannot resend it.
func (c *Client) DoOnce(ctx context.Context, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	return c.send(ctx, c.fresh, address, method, path, header, body)
}

// clientFor avoids the pool for requests that net/http would resend by itself.
func (c *Client) clientFor(method string, header http.Header) *http.Client {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.fresh
	}
	if header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != "" {
		return c.fresh
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
		return nil, &SendError{Address: address, Delivery: classify(err), Err: err}
	}
	return resp, nil
}

// classify tells failures before the first byte from those after it.
func classify(err error) Delivery {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return MaybeSent
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ProcessEnded
	}
	return NotSent
}
