package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

const (
	// attemptTimeout limits one request. It is long enough for an election, during
	// which a host delays a change.
	attemptTimeout = 10 * time.Second
	// retryInterval is the time between two rounds of attempts over all addresses.
	retryInterval = 500 * time.Millisecond
	// maxAnswerBytes limits the size of an answer. A configuration takes up to 32 MB.
	maxAnswerBytes = 64 << 20
)

// remoteFlags holds the global flags of the commands that send requests to hosts.
type remoteFlags struct {
	addresses []string
	keyFile   string
	// withoutKey is set for the local address of a host, which needs no operator key.
	withoutKey bool
	timeout    time.Duration
}

func (f *remoteFlags) register(app *kingpin.Application) {
	app.Flag("address", "Caller address of a host, such as 127.1.1.1:7100. Repeat it to name hosts to try in turn.").
		Envar("POLLENWHEEL_ADDRESSES").StringsVar(&f.addresses)
	app.Flag("key-file", "File with the operator key.").Envar("POLLENWHEEL_KEY_FILE").StringVar(&f.keyFile)
	app.Flag("without-key", "Send no operator key. The local address that a host serves to its own machine needs none.").BoolVar(&f.withoutKey)
	app.Flag("timeout", "Time limit of a command.").Default("30s").DurationVar(&f.timeout)
}

// noAnswerError reports that no host gave a final answer in time.
type noAnswerError struct {
	lastErr error
}

func (e *noAnswerError) Error() string {
	return fmt.Sprintf("no host gave a final answer; the outcome is unknown; repeating the command is safe: %v", e.lastErr)
}

func (e *noAnswerError) Unwrap() error { return e.lastErr }

// waitTimeoutError reports that an accepted operation did not complete within the
// time limit.
type waitTimeoutError struct{ state string }

func (e *waitTimeoutError) Error() string { return e.state + "; repeating the command is safe" }

// client sends requests to the administration API. All requests are safe to
// repeat, so after a lost answer it resends to the next host.
type client struct {
	env       *environment
	addresses []string
	key       string
	http      *http.Client
}

func (e *environment) newClient() (*client, error) {
	// A separate transport ignores proxies from the process environment.
	c := &client{env: e, http: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{}}}
	for _, list := range e.remote.addresses {
		c.addresses = append(c.addresses, strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })...)
	}
	if len(c.addresses) == 0 {
		return nil, &usageError{errors.New("no host is named; use --address or POLLENWHEEL_ADDRESSES")}
	}
	for _, a := range c.addresses {
		if !inifile.ValidAddress(a) {
			return nil, &usageError{fmt.Errorf("address %q must be an IP address and port such as 127.0.0.1:7100", a)}
		}
	}
	key, err := e.operatorKey()
	c.key = key
	return c, err
}

func (e *environment) operatorKey() (string, error) {
	if e.remote.withoutKey {
		return "", nil
	}
	key := e.getenv("POLLENWHEEL_KEY")
	if e.remote.keyFile != "" {
		data, err := os.ReadFile(e.remote.keyFile)
		if err != nil {
			return "", &usageError{err}
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return "", &usageError{errors.New("no operator key; set POLLENWHEEL_KEY or use --key-file")}
	}
	return key, nil
}

// forHost returns a client that sends only to one host.
func (c *client) forHost(address string) *client {
	one := *c
	one.addresses = []string{address}
	return &one
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, into)
}

// do sends a request to the hosts in turn until one answers or the context ends,
// and decodes the answer.
func (c *client) do(ctx context.Context, method, path string, body []byte, into any) error {
	var lastErr error
	for {
		for _, address := range c.addresses {
			err := c.sendOnce(ctx, address, method, path, body, into)
			var retry *retryError
			if !errors.As(err, &retry) {
				return err
			}
			lastErr = retry.err
			c.env.progress("%s: %v", address, lastErr)
		}
		if err := c.env.sleep(ctx, retryInterval); err != nil {
			return &noAnswerError{lastErr}
		}
	}
}

// retryError marks a failed attempt that may be repeated.
type retryError struct{ err error }

func (e *retryError) Error() string { return e.err.Error() }

func (e *retryError) Unwrap() error { return e.err }

// sendOnce sends one request to one host and decodes the answer. It returns a
// retryError if another attempt may succeed.
func (c *client) sendOnce(ctx context.Context, address, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+admin.RoutePrefix+path, bytes.NewReader(body))
	if err != nil {
		return &usageError{err}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &retryError{err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &retryError{err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return parseRefusal(resp.StatusCode, data)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = data
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &retryError{fmt.Errorf("cannot decode answer: %w", err)}
	}
	return nil
}

// parseRefusal converts an error answer to an error. An answer that did not come
// from the administration API, or whose cause may be temporary, is marked for retry.
func parseRefusal(status int, data []byte) error {
	var a admin.RefusalAnswer
	if err := json.Unmarshal(data, &a); err != nil || a.Error == nil {
		return &retryError{fmt.Errorf("answer with status %d is not a refusal by the administration API", status)}
	}
	if status >= http.StatusInternalServerError {
		// The refusal is not wrapped, so that the command does not end with exitRefused:
		// after a timeout, the outcome of the request is unknown.
		return &retryError{errors.New(a.Error.Error())}
	}
	return a.Error
}
