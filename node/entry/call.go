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
)

const (
	defaultTimeout = 60 * time.Second
	// patientTimeout applies to patient requests without a deadline.
	patientTimeout = 4 * time.Hour
	maxTimeout     = 24 * time.Hour
	maxBodyBytes   = 8 << 20
	maxKeyBytes    = 200
)

// call is one request of a caller.
type call struct {
	id     string
	caller config.Caller
	class  admission.Class
	// stated is set if the request states its class, and timeout is zero until
	// defaults if it states no deadline.
	stated      bool
	timeout     time.Duration
	key         routing.Key
	method      string
	path        string
	header      http.Header
	body        []byte
	stream      bool
	idempotent  bool
	claimKey    string
	createdMS   int64
	nonce       uint64
	fingerprint string
	prefix      uint64

	attempts int
	// ran is set while some attempt may have been executed.
	ran    bool
	waited time.Duration
	cold   bool
}

func (e *Entry) parseCompletion(c echo.Context, v *view) (*call, *Refusal) {
	q, refusal := e.parseCommon(c, v)
	if refusal != nil {
		return nil, refusal
	}
	var head struct {
		Model    string `json:"model"`
		Stream   bool   `json:"stream"`
		Messages []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(q.body, &head); err != nil || head.Model == "" {
		return nil, invalid("body is not a JSON object with a model")
	}
	key, ok := v.names[head.Model]
	if !ok {
		return nil, e.unknownName("unknown_model", "no model or adapter has this name")
	}
	q.key, q.stream = key, head.Stream
	q.defaults(v.classes[key.Model])
	q.path, q.header = "/v1/chat/completions", http.Header{"Content-Type": {"application/json"}}
	if len(head.Messages) > 0 {
		var text string
		if json.Unmarshal(head.Messages[0].Content, &text) == nil {
			q.prefix = backend.Prefix(head.Model, text)
		}
	}
	q.fingerprint = fingerprint(q)
	return q, nil
}

func (e *Entry) parseService(c echo.Context, v *view) (*call, *Refusal) {
	q, refusal := e.parseCommon(c, v)
	if refusal != nil {
		return nil, refusal
	}
	name := c.Param("service")
	if !v.plain[name] {
		return nil, e.unknownName("unknown_service", "no plain service has this name")
	}
	r := c.Request()
	q.key = routing.Key{Service: name}
	q.defaults(admission.Standard)
	rest := strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), c.Param("service"))
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	q.path = rest
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	q.header = forwarded(r.Header)
	q.fingerprint = fingerprint(q)
	return q, nil
}

// unknownName refuses a name that is not configured. A host that still catches
// up cannot tell.
func (e *Entry) unknownName(code, reason string) *Refusal {
	if e.behind() {
		return notReady()
	}
	return refuse(http.StatusNotFound, code, reason)
}

// behind reports whether the host may hold an old configuration.
func (e *Entry) behind() bool { return e.opts.Ready != nil && !e.opts.Ready() }

func notReady() *Refusal {
	return unavailable("not_ready", "the host is starting and does not have the current configuration yet")
}

// parseCommon reads what all requests share.
func (e *Entry) parseCommon(c echo.Context, v *view) (*call, *Refusal) {
	r := c.Request()
	q := &call{method: r.Method, idempotent: true}
	var ok bool
	if q.caller, ok = v.identify(r.Header.Get("Authorization")); !ok && e.behind() {
		return nil, notReady()
	}
	if !ok {
		refusal := refuse(http.StatusUnauthorized, "unauthorized", "Authorization must carry the key of a caller as a bearer token")
		refusal.RetryAfterMS = 0
		return nil, refusal
	}
	if refusal := q.parseHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	var err error
	q.body, err = io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refusal := refuse(http.StatusRequestEntityTooLarge, "bad_request", "body is larger than "+strconv.Itoa(maxBodyBytes)+" bytes")
		refusal.RetryAfterMS = 0
		return nil, refusal
	case err != nil:
		return nil, invalid("body could not be read")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	q.id = e.opts.Self.Host + "-" + strconv.FormatUint(e.opts.Self.Incarnation, 36) + "-" + strconv.FormatUint(e.nextID, 36)
	q.nonce = e.nextID
	return q, nil
}

func (q *call) parseHeaders(h http.Header) *Refusal {
	q.class = admission.Standard
	if s := h.Get("X-Urgency"); s != "" {
		if q.class, q.stated = admission.ParseClass(s); !q.stated {
			return invalid("X-Urgency must be interactive, standard or patient")
		}
	}
	if s := h.Get("X-Deadline-Ms"); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return invalid("X-Deadline-Ms must be a number of milliseconds from 1 to " + strconv.FormatInt(maxTimeout.Milliseconds(), 10))
		}
		q.timeout = time.Duration(ms) * time.Millisecond
	}
	switch s := h.Get("X-Idempotent"); s {
	case "", "true":
		return nil
	case "false":
		q.idempotent = false
	default:
		return invalid("X-Idempotent must be true or false")
	}
	return q.parseKey(h.Get("Idempotency-Key"))
}

// defaults fills in what the request does not state: the class of its model
// and the deadline of its class.
func (q *call) defaults(class admission.Class) {
	if !q.stated {
		q.class = class
	}
	switch {
	case q.timeout > 0:
	case q.class == admission.Patient:
		q.timeout = patientTimeout
	default:
		q.timeout = defaultTimeout
	}
}

// parseKey reads a key of the form <unix milliseconds>.<token>.
func (q *call) parseKey(s string) *Refusal {
	created, token, ok := strings.Cut(s, ".")
	ms, err := strconv.ParseInt(created, 10, 64)
	if !ok || err != nil || ms <= 0 || token == "" || len(s) > maxKeyBytes || strings.ContainsRune(s, 0) {
		return invalid("a call with X-Idempotent: false needs an Idempotency-Key of the form <unix milliseconds>.<token>")
	}
	q.claimKey, q.createdMS = s, ms
	return nil
}

// fingerprint identifies requests with the same effect on a backend server.
func fingerprint(q *call) string {
	h := sha256.New()
	for _, s := range []string{q.key.Service, q.key.Model, q.key.Adapter, q.method, q.path} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ownHeaders are meant for the entry host or concern one connection only.
var ownHeaders = map[string]bool{
	"Authorization": true, "X-Deadline-Ms": true, "X-Urgency": true, "X-Idempotent": true, "Idempotency-Key": true,
	"X-Idempotency-Key": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	backend.HeaderAttempt: true, backend.HeaderResume: true, backend.HeaderPriority: true, backend.HeaderIncarnation: true,
}

// forwarded returns the headers that pass through an entry host.
func forwarded(h http.Header) http.Header {
	drop := map[string]bool{}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !ownHeaders[name] && !drop[name] {
			out[name] = values
		}
	}
	return out
}
