package plain

import (
	"bufio"
	"net"
	"net/http"
	"strings"
)

// Faults selects the faults to inject. A fault occurs if its function is set and
// returns true for the attempt.
type Faults struct {
	// LoseRequest closes the connection before the execution.
	LoseRequest func(attempt string) bool
	// LoseAnswer closes the connection after the execution.
	LoseAnswer func(attempt string) bool
	// Refuse answers that the server does not admit the call.
	Refuse func(attempt string) bool
	// RepeatRefusal makes a refusal come once more, in place of the answer to the next
	// request on the connection, which is executed.
	RepeatRefusal func(attempt string) bool
	// StopInHead closes the connection after the execution, in the middle of the head of
	// the answer.
	StopInHead func(attempt string) bool
}

// occurs reports whether a fault is injected into an attempt.
func occurs(fault func(attempt string) bool, attempt string) bool {
	return fault != nil && fault(attempt)
}

// refuseTwice refuses a call, and writes the same refusal again after the next request on
// the connection. It returns that request, or nil if none comes.
func refuseTwice(w http.ResponseWriter, answer string) (*http.Request, net.Conn, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	if _, err := buffered.WriteString(answer); err != nil {
		return nil, conn, err
	}
	if err := buffered.Flush(); err != nil {
		return nil, conn, err
	}
	next, err := http.ReadRequest(bufio.NewReader(buffered))
	if err != nil {
		return nil, conn, err
	}
	if _, err := buffered.WriteString(answer); err != nil {
		return nil, conn, err
	}
	return next, conn, buffered.Flush()
}

// writePartialHead writes the first half of the head of a successful answer and closes the
// connection.
func writePartialHead(w http.ResponseWriter) error {
	head := head(w.Header(), "200 OK")
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := buffered.WriteString(head[:len(head)/2]); err != nil {
		return err
	}
	return buffered.Flush()
}

// head returns the head of an answer with a status.
func head(h http.Header, status string) string {
	var out strings.Builder
	out.WriteString("HTTP/1.1 " + status + "\r\n")
	_ = h.Write(&out)
	return out.String() + "\r\n"
}
