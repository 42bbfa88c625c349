package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// repeatingServer answers each request of a connection with its number, and sends a
// second copy of the answer right before the answer to the next request of the
// connection. identify decides whether answers repeat the ID of their attempt.
func repeatingServer(t *testing.T, identify bool) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				previous := ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					id := ""
					if identify {
						id = HeaderAttemptID + ": " + req.Header.Get(HeaderAttemptID) + "\r\n"
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
					_, _ = io.WriteString(conn, previous+answer)
					previous = answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLateCopyIsNeverTheNextAnswer guards against a server that sends a second copy of
// an answer on a connection that is in use again: the copy must not be taken for the
// answer to the next request. An answer with the ID of another attempt is left to the
// caller of the client, which compares the IDs.
func TestLateCopyIsNeverTheNextAnswer(t *testing.T) {
	for _, identify := range []bool{false, true} {
		t.Run(fmt.Sprint("the server repeats attempt IDs: ", identify), func(t *testing.T) {
			c := NewClient()
			defer c.CloseIdle()
			address := repeatingServer(t, identify)
			for i := range 6 {
				id := fmt.Sprint("attempt-", i)
				resp, err := c.Do(t.Context(), address, http.MethodPost, "/v1/x", http.Header{HeaderAttemptID: {id}}, []byte(id))
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if got := resp.Header.Get(HeaderAttemptID); got != "" && got != id {
					continue
				}
				if err != nil || string(body) != id {
					t.Errorf("request %s got the answer %q, error %v", id, body, err)
				}
			}
		})
	}
}

// TestOrderAnswersAreNotMixedUp guards against the late copy of the answer to one order
// that is taken for the answer to the next: answers to orders carry no ID.
func TestOrderAnswersAreNotMixedUp(t *testing.T) {
	c := NewClient()
	defer c.CloseIdle()
	address := repeatingServer(t, false)
	for i := range 4 {
		resp, err := c.Do(t.Context(), address, http.MethodPost, "/v1/orders", http.Header{}, fmt.Append(nil, i))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != fmt.Sprint(i) {
			t.Errorf("order %d got the answer %q, error %v", i, body, err)
		}
	}
}
