package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/admission"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

const (
	defaultTimeout = 60 * time.Second
	// patientTimeout applies to requests of class patient without a deadline.
	patientTimeout = 4 * time.Hour
	maxTimeout     = 24 * time.Hour
	maxBodyBytes   = 8 << 20
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 200
)

// request is one parsed request of a caller.
type request struct {
	id     string
	caller config.Caller
	class  admission.Class
	// classStated is set if the request has an X-Urgency header.
	classStated bool
	// timeout is zero until applyDefaults sets it, if the request has no
	// X-Deadline-Ms header.
	timeout        time.Duration
	key            routing.Key
	method         string
	path           string
	header         http.Header
	body           []byte
	stream         bool
	idempotent     bool
	idempotencyKey string
	createdMS      int64
	// nonce is unique among the requests of this host process. It identifies the request
	// in its claim and in the queue.
	nonce       uint64
	fingerprint string
	// prefix identifies the model and the first message, for routing to a server that
	// may have them in its cache. It is 0 if unknown.
	prefix uint64
	// promptParts are the parts of the prompt that other requests may share: the first
	// message, unless it is the only one.
	promptParts []string

	attempts int
	// mayHaveRun is set once a backend server may have run an attempt.
	mayHaveRun bool
	queueTime  time.Duration
	// coldStart is set if no server was ready when the request arrived.
	coldStart bool
}

// parseCompletion parses a request for a model or an adapter.
func (e *Entry) parseCompletion(c echo.Context, v *view) (*request, *Refusal) {
	req, refusal := e.parseCommon(c, v)
	if refusal != nil {
		return nil, refusal
	}
	var fields struct {
		Model    string         `json:"model"`
		Stream   bool           `json:"stream"`
		Messages promptMessages `json:"messages"`
	}
	if err := json.Unmarshal(req.body, &fields); err != nil || fields.Model == "" {
		return nil, badRequest("body is not a JSON object with a model")
	}
	key, ok := v.keysByName[fields.Model]
	if !ok {
		return nil, e.refuseUnknownName("unknown_model", "no model or adapter has this name")
	}
	req.key, req.stream = key, fields.Stream
	req.applyDefaults(v.defaultClasses[key.Model])
	req.path, req.header = "/v1/chat/completions", http.Header{"Content-Type": {"application/json"}}
	if fields.Messages.count > 0 {
		var text string
		if json.Unmarshal(fields.Messages.first, &text) == nil {
			req.prefix = backend.PrefixHash(fields.Model, text)
			if fields.Messages.count > 1 {
				req.promptParts = []string{strconv.FormatUint(req.prefix, 16)}
			}
		}
	}
	req.fingerprint = fingerprint(req)
	return req, nil
}

// parseService parses a request for a plain service.
func (e *Entry) parseService(c echo.Context, v *view) (*request, *Refusal) {
	req, refusal := e.parseCommon(c, v)
	if refusal != nil {
		return nil, refusal
	}
	name := c.Param("service")
	if !v.plainServices[name] {
		return nil, e.refuseUnknownName("unknown_service", "no plain service has this name")
	}
	httpReq := c.Request()
	req.key = routing.Key{Service: name}
	req.applyDefaults(admission.Standard)
	servicePath := strings.TrimPrefix(strings.TrimPrefix(httpReq.URL.EscapedPath(), "/v1/services/"), c.Param("service"))
	if !strings.HasPrefix(servicePath, "/") {
		servicePath = "/" + servicePath
	}
	req.path = servicePath
	if httpReq.URL.RawQuery != "" {
		req.path += "?" + httpReq.URL.RawQuery
	}
	req.header = forwardedHeaders(httpReq.Header)
	req.fingerprint = fingerprint(req)
	return req, nil
}

// refuseUnknownName refuses a name that is not configured. While the host is catching
// up, the name may be in a newer configuration, so the refusal is not_ready.
func (e *Entry) refuseUnknownName(code, reason string) *Refusal {
	if e.catchingUp() {
		return notReady()
	}
	return refuse(http.StatusNotFound, code, reason)
}

// catchingUp reports whether the configuration of this host may be out of date.
func (e *Entry) catchingUp() bool { return e.opts.Ready != nil && !e.opts.Ready() }

func notReady() *Refusal {
	return unavailable("not_ready", "the host is starting and does not have the current configuration yet")
}

// parseCommon authenticates the caller and reads the headers and the body.
func (e *Entry) parseCommon(c echo.Context, v *view) (*request, *Refusal) {
	httpReq := c.Request()
	req := &request{method: httpReq.Method, idempotent: true}
	var ok bool
	if req.caller, ok = v.identify(httpReq.Header.Get("Authorization")); !ok && e.catchingUp() {
		return nil, notReady()
	}
	if !ok {
		refusal := refuse(http.StatusUnauthorized, "unauthorized", "Authorization must carry the key of a caller as a bearer token")
		refusal.RetryAfterMS = 0
		return nil, refusal
	}
	if refusal := req.parseHeaders(httpReq.Header); refusal != nil {
		return nil, refusal
	}
	var err error
	req.body, err = io.ReadAll(http.MaxBytesReader(c.Response(), httpReq.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	var noMemory *memory.RequestsError
	switch {
	case errors.As(err, &noMemory):
		c.Response().Header().Set("Connection", "close")
		return nil, unavailable("host_overloaded", noMemory.Error())
	case errors.As(err, &tooLarge):
		refusal := refuse(http.StatusRequestEntityTooLarge, "bad_request", "body is larger than "+strconv.Itoa(maxBodyBytes)+" bytes")
		refusal.RetryAfterMS = 0
		return nil, refusal
	case err != nil:
		return nil, badRequest("body could not be read")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	req.id = e.opts.Self.Host + "-" + strconv.FormatUint(e.opts.Self.Incarnation, 36) + "-" + strconv.FormatUint(e.nextID, 36)
	req.nonce = e.nextID
	return req, nil
}

func (req *request) parseHeaders(h http.Header) *Refusal {
	req.class = admission.Standard
	if s := h.Get("X-Urgency"); s != "" {
		if req.class, req.classStated = admission.ParseClass(s); !req.classStated {
			return badRequest("X-Urgency must be interactive, standard or patient")
		}
	}
	if s := h.Get("X-Deadline-Ms"); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return badRequest("X-Deadline-Ms must be a number of milliseconds from 1 to " + strconv.FormatInt(maxTimeout.Milliseconds(), 10))
		}
		req.timeout = time.Duration(ms) * time.Millisecond
	}
	switch s := h.Get("X-Idempotent"); s {
	case "", "true":
		return nil
	case "false":
		req.idempotent = false
	default:
		return badRequest("X-Idempotent must be true or false")
	}
	return req.parseIdempotencyKey(h.Get("Idempotency-Key"))
}

// applyDefaults sets the class and the timeout that the request does not state. The
// class is the given one, and the timeout depends on the class.
func (req *request) applyDefaults(class admission.Class) {
	if !req.classStated {
		req.class = class
	}
	switch {
	case req.timeout > 0:
	case req.class == admission.Patient:
		req.timeout = patientTimeout
	default:
		req.timeout = defaultTimeout
	}
}

// parseIdempotencyKey parses an idempotency key of the form <unix milliseconds>.<token>.
func (req *request) parseIdempotencyKey(s string) *Refusal {
	created, token, ok := strings.Cut(s, ".")
	ms, err := strconv.ParseInt(created, 10, 64)
	if !ok || err != nil || ms <= 0 || token == "" || len(s) > maxKeyBytes || strings.ContainsRune(s, 0) {
		return badRequest("a call with X-Idempotent: false needs an Idempotency-Key of the form <unix milliseconds>.<token>")
	}
	req.idempotencyKey, req.createdMS = s, ms
	return nil
}

// fingerprint returns a hash that is equal for requests that have the same effect on
// a backend server.
func fingerprint(req *request) string {
	h := sha256.New()
	for _, s := range []string{req.key.Service, req.key.Model, req.key.Adapter, req.method, req.path} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// strippedHeaders are not forwarded, because they are meant for the entry host or
// apply to a single connection.
var strippedHeaders = map[string]bool{
	"Authorization": true, "X-Deadline-Ms": true, "X-Urgency": true, "X-Idempotent": true, "Idempotency-Key": true,
	"X-Idempotency-Key": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	backend.HeaderAttemptID: true, backend.HeaderResumeOffset: true, backend.HeaderPriority: true, backend.HeaderIncarnation: true,
}

// forwardedHeaders returns the headers that an entry host forwards.
func forwardedHeaders(h http.Header) http.Header {
	connectionHeaders := map[string]bool{}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strippedHeaders[name] && !connectionHeaders[name] {
			out[name] = values
		}
	}
	return out
}
