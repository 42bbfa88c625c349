package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/routing"
)

const (
	// dialTimeout bounds the wait for a connection to a backend server. It is
	// many round trips between data centres.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay unacknowledged. Nothing
	// else shows a cut link while an answer is awaited.
	userTimeout = 1500 * time.Millisecond
	// keepAlive is the time between probes on a silent connection.
	keepAlive = time.Second
	// maxWhole bounds an answer that is read whole before it is passed on.
	maxWhole = 16 << 20
)

// newTransport returns a transport that uses each connection for one request.
// An extra or late answer on a connection can then never be taken for the
// answer to another request.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 3,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10, MaxResponseHeaderBytes: 64 << 10,
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// result is the end of one attempt.
type result struct {
	outcome exchange.Outcome
	// answer and body are set if a whole answer can be passed on.
	answer *http.Response
	body   []byte
	// reason says in a word what happened, for the log.
	reason string
	// broken is set if the connection failed, so that the server may have ended.
	broken bool
	// refused is set if nothing listens at the server's address.
	refused bool
}

func lost(reason string) result { return result{outcome: exchange.Lost, reason: reason} }

// send makes one attempt on a backend server. It passes on the events of a
// stream as they arrive; any other answer is returned whole.
func (c *call) send(ctx context.Context, a routing.Attempt) result {
	connected := false
	trace := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	resp, err := c.gate.transport.RoundTrip(c.outgoing(trace, a))
	if err != nil {
		if !connected {
			return result{outcome: exchange.NotSent, reason: dialReason(err), refused: errors.Is(err, syscall.ECONNREFUSED)}
		}
		return result{outcome: exchange.Lost, reason: "no answer: " + reason(err), broken: ctx.Err() == nil}
	}
	defer func() { _ = resp.Body.Close() }()
	answer := c.gate.opts.Protocol.Answer(resp.Header)
	if refused, r := c.refused(resp, answer, a); refused {
		return r
	}
	switch {
	case answer.ID != c.request.ID:
		return lost("the answer belongs to another request")
	case resp.Header.Get("Content-Encoding") != "":
		return lost("the answer is encoded")
	case !answer.Signed:
		return lost("the answer is not signed")
	}
	c.gate.answered(a)
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.passEvents(ctx, resp)
	}
	return whole(ctx, resp)
}

// refused recognises the answers that state that the request did not run.
func (c *call) refused(resp *http.Response, answer Answer, a routing.Attempt) (bool, result) {
	if answer.ID != "" && answer.ID != c.request.ID {
		return false, result{}
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && answer.Server != "" && answer.Server != a.Server:
		return true, result{outcome: exchange.Misdirected, reason: "another server has the address"}
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return true, result{outcome: exchange.Refused, reason: "the server does not hold the target"}
	case answer.NotRun:
		return true, result{outcome: exchange.Refused, reason: "the server refused"}
	}
	return false, result{}
}

// whole reads an answer to its end.
func whole(ctx context.Context, resp *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		return result{outcome: exchange.Lost, reason: "the answer broke off: " + reason(err), broken: ctx.Err() == nil}
	}
	if len(body) > maxWhole {
		return lost("the answer is too large")
	}
	out := result{outcome: exchange.Complete, answer: resp, body: body, reason: "answered"}
	if resp.StatusCode >= http.StatusInternalServerError {
		out.outcome, out.reason = exchange.Failed, "the server failed"
	}
	return out
}

// outgoing builds the request for one attempt.
func (c *call) outgoing(ctx context.Context, a routing.Attempt) *http.Request {
	h := endToEnd(c.in.Header)
	c.gate.opts.Protocol.Forward(h, Attempt{
		Deadline: c.deadline - c.gate.opts.Now(), Server: a.Server, ResumeAfter: c.lastID, Priority: c.route.Priority,
	})
	if _, ok := h["User-Agent"]; !ok {
		// Without a value of its own the transport would add one.
		h["User-Agent"] = []string{""}
	}
	target := &url.URL{Scheme: "http", Host: a.Address, Opaque: c.in.RequestURI}
	if strings.HasPrefix(c.in.RequestURI, "//") {
		target = &url.URL{Scheme: "http", Host: a.Address, Path: c.in.URL.Path, RawPath: c.in.URL.RawPath, RawQuery: c.in.URL.RawQuery}
	}
	out := &http.Request{
		Method: c.in.Method, URL: target, Header: h, Host: c.in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(c.body)), Body: http.NoBody,
	}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out.WithContext(ctx)
}

func dialReason(err error) string {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "connection refused"
	}
	return "no connection: " + reason(err)
}

// reason shortens a transport error to its last part, without addresses.
func reason(err error) string {
	var errno syscall.Errno
	var netErr net.Error
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the connection was closed"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "the deadline passed"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return err.Error()
}
