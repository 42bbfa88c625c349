package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
)

// rawServer replaces the process of a server by one that writes each answer by hand: respond
// returns the bytes of the answer to the request with a number, and whether the connection is
// closed after them.
func (cl *cluster) rawServer(ctx context.Context, address string, respond func(number int, r *http.Request, body string) (answer string, closes bool)) {
	l := cl.net.Listen(address)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	var requests atomic.Int64
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			if r.Header.Get(backend.HeaderAttemptID) == "" {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", backend.HeaderIncarnation)
				continue
			}
			answer, closes := respond(int(requests.Add(1)), r, string(body))
			if _, err := io.WriteString(conn, answer); err != nil || closes {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// rawHead returns the head of an answer to a request.
func rawHead(r *http.Request, status, mediaType string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", status,
		backend.HeaderAttemptID, r.Header.Get(backend.HeaderAttemptID), backend.HeaderIncarnation, mediaType, length)
}

const rawRefusal = `{"error":{"code":"not_admitted","execution":"not_run","reason":"full"}}`

// TestRefusalWrittenAgainOnAKeptConnection guards against a refusal that a server writes once more
// on a connection that it keeps: the next request is then called not run although it runs, or runs
// at a second server.
func TestRefusalWrittenAgainOnAKeptConnection(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent=", idempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(clusterOptions{hosts: 1, plainServers: 1, retentionSeconds: 60})
				defer cl.close()
				ran := map[string]int{}
				// Every third request is refused. The refusal comes again before the next answer.
				again := ""
				cl.rawServer(cl.ctx, "10.0.1.1:80", func(number int, r *http.Request, body string) (string, bool) {
					before := again
					again = ""
					if number%3 == 0 {
						again = rawHead(r, "503 Full", "application/json", len(rawRefusal)) + rawRefusal
						return before + again, false
					}
					ran[body]++
					return before + rawHead(r, "200 OK", "text/plain", len(body)) + body, false
				})
				for i := range 30 {
					time.Sleep(time.Second)
					body, header := fmt.Sprint("order-", i), map[string]string{"X-Deadline-Ms": "3000"}
					if !idempotent {
						header["X-Idempotent"], header["Idempotency-Key"] = "false", fmt.Sprintf("%d.key%d", time.Now().UnixMilli(), i)
					}
					got := cl.hosts[0].call(context.Background(), "/v1/services/"+orderService, header, body)
					switch {
					case got.refusal == nil && got.body != body:
						t.Errorf("request %d got the answer %q", i, got.body)
					case got.refusal != nil && got.refusal.Execution == ExecutionNotRun && ran[body] > 0:
						t.Errorf("request %d was called not run and ran", i)
					case !idempotent && ran[body] > 1:
						t.Errorf("request %d ran %d times", i, ran[body])
					}
				}
			})
		})
	}
}

// TestErrorAfterABegunAnswer guards against the text of an error in the middle of a stream whose
// first server broke off, and against a stream that then looks complete.
func TestErrorAfterABegunAnswer(t *testing.T) {
	event := func(i int) string {
		return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
	}
	for _, c := range []struct{ name, status, mediaType, body string }{
		{"failure", "500 Oops", "text/plain", "error text"},
		{"failure in the form of a stream", "500 Oops", "text/event-stream", "data: error text\n\ndata: [DONE]\n\n"},
		{"bad request", "400 Bad Request", "text/plain", "error text"},
		{"success that is no stream", "200 OK", "application/json", `{"choices":[{"message":{"content":"error text"}}]}`},
		{"refusal", "503 Full", "application/json", rawRefusal},
		{"head that stops", "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(clusterOptions{hosts: 1, engines: 1})
				defer cl.close()
				cl.rawServer(cl.ctx, "10.0.0.1:80", func(number int, r *http.Request, _ string) (string, bool) {
					switch {
					case number == 1:
						return rawHead(r, "200 OK", "text/event-stream", 10000) + event(1) + event(2) + "data: {\"ch", true
					case c.status == "":
						return rawHead(r, "200 OK", "text/event-stream", 10000)[:40], true
					}
					return rawHead(r, c.status, c.mediaType, len(c.body)) + c.body, false
				})
				got := cl.hosts[0].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "3000"}, chatBody("stream", true, 9))
				begun, rest, _ := strings.Cut(got.body, "event: error\n")
				if begun != event(1)+event(2) {
					t.Errorf("the stream holds %q, want its two events", begun)
				}
				if rest == "" || got.refusal == nil || strings.Contains(got.body, "error text") || strings.Contains(got.body, "[DONE]") {
					t.Errorf("the stream ends with %q, want the host's own error event", rest)
				}
			})
		})
	}
}

// TestHeadThatStopsIsNoAnswerOfAServer guards against a success with an empty or short body that is
// made of the first lines of a head.
func TestHeadThatStopsIsNoAnswerOfAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, plainServers: 1, retentionSeconds: 60})
		defer cl.close()
		cut, reached := 0, map[string]bool{}
		cl.rawServer(cl.ctx, "10.0.1.1:80", func(_ int, r *http.Request, body string) (string, bool) {
			reached[body] = true
			return strings.TrimSuffix(rawHead(r, "200 OK", "text/plain", 4), "\r\n")[:cut], true
		})
		sent := 0
		for cut = range 100 {
			// The breaker lets a request through by then.
			time.Sleep(time.Minute)
			body := fmt.Sprint("order-", cut)
			header := map[string]string{
				"X-Deadline-Ms": "3000", "X-Idempotent": "false", "Idempotency-Key": fmt.Sprintf("%d.key%d", time.Now().UnixMilli(), cut),
			}
			got := cl.hosts[0].call(context.Background(), "/v1/services/"+orderService, header, body)
			if reached[body] {
				sent++
			}
			if got.status < http.StatusInternalServerError || got.refusal == nil {
				t.Errorf("head of %d bytes: status %d, body %q; want a refusal", cut, got.status, got.body)
				continue
			}
			if got.refusal.Execution == ExecutionNotRun && reached[body] {
				t.Errorf("head of %d bytes: called not run (%s) after it was sent", cut, got.refusal.Code)
			}
		}
		if sent < 90 {
			t.Errorf("only %d of 100 requests reached the server", sent)
		}
	})
}
