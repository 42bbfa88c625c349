package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

const (
	// dialTimeout is the maximum time for connecting to a backend server. It
	// allows for many round trips between data centres.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is the maximum time that sent data or keep-alive probes may stay
	// unacknowledged. Nothing else detects a broken link while an answer is awaited.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between probes on an idle connection.
	keepAliveInterval = time.Second
	// maxAnswerBytes is the maximum size of an answer that is buffered completely
	// before it is passed on.
	maxAnswerBytes = 16 << 20
)

// newDialer returns a dialer whose connections fail soon after their link breaks.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// newTransport returns a transport that uses each connection for one request
// only, so that an extra or late answer on a connection is never taken for the
// answer to another request.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: memory.CountHeads(dial), DisableKeepAlives: true, DisableCompression: true,
		WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10, MaxResponseHeaderBytes: 64 << 10,
	}
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// attemptResult describes how one attempt ended.
type attemptResult struct {
	outcome exchange.Outcome
	// answer is set if there is a complete answer to pass on, and held holds its body. It
	// must be released.
	answer *http.Response
	held   *memory.Holding
	// reason describes for the decision log why the attempt ended.
	reason string
	// connectionBroken is set if an established connection failed, which may mean
	// that the server process has ended.
	connectionBroken bool
	// connectionRefused is set if nothing listens at the server's address.
	connectionRefused bool
}

// lostAnswer returns the result of an attempt that got no usable answer.
func lostAnswer(reason string) attemptResult {
	return attemptResult{outcome: exchange.Lost, reason: reason}
}

// send makes one attempt on a backend server. It passes on the events of a stream
// as they arrive. It reads any other answer completely and returns it. What it holds of the
// answer counts in the account of the process, which may end the attempt.
func (c *call) send(ctx context.Context, attempt routing.Attempt) (out attemptResult) {
	if !c.confirmProcess(ctx, attempt) {
		return attemptResult{outcome: exchange.NotSent, reason: unconfirmedReason}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	held := c.forwarder.opts.Memory.HoldAnswer(attempt.Server, cancel)
	defer func() {
		if out.held == nil {
			held.Release()
		}
	}()
	return c.exchangeWith(ctx, attempt, held)
}

// exchangeWith sends the request to a server and reads the answer.
func (c *call) exchangeWith(ctx context.Context, attempt routing.Attempt, held *memory.Holding) attemptResult {
	connected := false
	ctx, stopCounting := memory.WithHead(ctx, held)
	traceContext := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	sentAt := c.forwarder.recordSent(c, attempt)
	resp, err := c.forwarder.transport.RoundTrip(c.backendRequest(traceContext, attempt))
	stopCounting()
	if err != nil {
		if ended := held.Err(); ended != nil {
			return lostAnswer(ended.Error())
		}
		if !connected {
			return attemptResult{outcome: exchange.NotSent, reason: dialReason(err), connectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
		}
		return attemptResult{outcome: exchange.Lost, reason: "no answer: " + errorReason(err), connectionBroken: ctx.Err() == nil}
	}
	defer func() { _ = resp.Body.Close() }()
	if !backend.IsFinalStatus(resp.StatusCode) {
		return lostAnswer(fmt.Sprintf("answer has the status %03d, which HTTP does not define for an answer", resp.StatusCode))
	}
	answer := c.forwarder.opts.Protocol.ParseAnswer(resp.StatusCode, resp.Header)
	if refused, refusal := c.classifyRefusal(resp, answer, attempt); refused {
		if refusal.outcome == exchange.Refused {
			c.forwarder.recordNotice(c, attempt, sentAt, answer.Notice)
		}
		return refusal
	}
	switch {
	case answer.ID != c.request.ID:
		return lostAnswer("answer does not carry the ID of the request")
	case resp.Header.Get("Content-Encoding") != "":
		return lostAnswer("answer has an unsupported Content-Encoding")
	case !answer.Signed:
		return lostAnswer("answer is not signed by a backend server")
	}
	c.forwarder.recordNotice(c, attempt, sentAt, answer.Notice)
	c.forwarder.recordAnswerStart(attempt)
	switch {
	case resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return c.forwardEvents(ctx, attempt, resp, held)
	case c.headersSent:
		return attemptResult{outcome: exchange.Failed, reason: fmt.Sprintf("answer with status %d cannot continue the stream", resp.StatusCode)}
	}
	return readAnswer(ctx, resp, held)
}

// classifyRefusal reports whether an answer states that the request did not run,
// and returns its result if so.
func (c *call) classifyRefusal(resp *http.Response, answer Answer, attempt routing.Attempt) (bool, attemptResult) {
	if answer.ID != "" && answer.ID != c.request.ID {
		return false, attemptResult{}
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && answer.Server != "" && answer.Server != attempt.Server:
		return true, attemptResult{outcome: exchange.Misdirected, reason: "another server answered at the address"}
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return true, attemptResult{outcome: exchange.Refused, reason: "server does not hold the target"}
	case answer.NotRun:
		return true, attemptResult{outcome: exchange.Refused, reason: "server refused without running the request"}
	}
	return false, attemptResult{}
}

// readAnswer reads an answer completely.
func readAnswer(ctx context.Context, resp *http.Response, held *memory.Holding) attemptResult {
	err := held.ReadAll(resp.Body, maxAnswerBytes)
	if err == nil {
		err = held.Finish()
	}
	var tooLarge *memory.TooLargeError
	if errors.As(err, &tooLarge) {
		held.RecordEndless()
		return lostAnswer("answer exceeds 16 MiB")
	}
	if ended := held.Err(); ended != nil {
		return lostAnswer(ended.Error())
	}
	if err != nil {
		return attemptResult{outcome: exchange.Lost, reason: "answer interrupted: " + errorReason(err), connectionBroken: ctx.Err() == nil}
	}
	out := attemptResult{outcome: exchange.Complete, answer: resp, held: held, reason: "answered"}
	if resp.StatusCode >= http.StatusInternalServerError {
		out.outcome, out.reason = exchange.Failed, "server answered with a 5xx status"
	}
	return out
}

// backendRequest builds the HTTP request for one attempt.
func (c *call) backendRequest(ctx context.Context, attempt routing.Attempt) *http.Request {
	h := endToEndHeaders(c.inbound.Header)
	c.forwarder.opts.Protocol.SetAttemptHeaders(h, Attempt{
		Timeout: c.deadline - c.forwarder.opts.Now(), Server: attempt.Server, ResumeAfter: c.lastEventID, Priority: c.route.Priority,
		Accounts: c.accounts, Account: c.account,
	})
	if _, ok := h["User-Agent"]; !ok {
		// If the header were missing, the transport would add its own.
		h["User-Agent"] = []string{""}
	}
	target := &url.URL{Scheme: "http", Host: attempt.Address, Opaque: c.inbound.RequestURI}
	if strings.HasPrefix(c.inbound.RequestURI, "//") {
		target = &url.URL{Scheme: "http", Host: attempt.Address, Path: c.inbound.URL.Path, RawPath: c.inbound.URL.RawPath, RawQuery: c.inbound.URL.RawQuery}
	}
	out := &http.Request{
		Method: c.inbound.Method, URL: target, Header: h, Host: c.inbound.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(c.body)), Body: http.NoBody,
	}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out.WithContext(ctx)
}

// dialReason describes why no connection to the backend server was made.
func dialReason(err error) string {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "connection refused"
	}
	return "connecting to the backend server failed: " + errorReason(err)
}

// errorReason returns a short description of a transport error, without addresses
// for the known kinds.
func errorReason(err error) string {
	var errno syscall.Errno
	var netErr net.Error
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "connection closed"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return err.Error()
}
