package host

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/pollenwheel/pollenwheel/node/connections"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// Limits on the connections of all HTTP listeners. They are above the highest
// values of the published limits. The servers do not log connection errors, such as
// a caller that closes its connection, since these are not decisions.
const (
	httpHeaderTimeout  = 10 * time.Second
	httpIdleTimeout    = 2 * time.Minute
	maxHTTPHeaderBytes = 64 << 10
	// callerBodyTimeout bounds the time for the body of a request on the product's own interface,
	// which has no published limit.
	callerBodyTimeout = time.Minute
	// serviceReadTimeout bounds the time for a whole request at a listener that is not for the
	// requests of callers.
	serviceReadTimeout = 30 * time.Second
)

// serviceTimeouts are those of listeners to which published limits do not apply.
var serviceTimeouts = connections.Timeouts{Idle: httpIdleTimeout, Head: httpHeaderTimeout}

// Parts of a process's descriptors that the connections of one listener may use. The rest is for
// backend servers, other hosts and files.
const (
	callerShare   = 0.5
	serviceShare  = 0.15
	peerShare     = 0.15
	operatorShare = 0.05
)

const (
	// connectionBytes is the memory of a connection without a request, and connectionMemoryShare
	// the part of the process's memory that the connections of one listener may use for that.
	connectionBytes       = 24 << 10
	connectionMemoryShare = 0.25
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a connection whose
	// bytes are not read.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 32 << 10
)

// descriptorLimit returns the number of descriptors that the process may use.
func descriptorLimit(s settings.Settings) (int, error) {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors, nil
	}
	n, err := connections.ProcessDescriptors()
	if err != nil {
		return 0, fmt.Errorf("host: read the limit on descriptors: %w", err)
	}
	return n, nil
}

// connectionLimit returns the maximum number of connections of a listener with a share of the
// descriptors.
func connectionLimit(s settings.Settings, descriptors int, share float64) int {
	limit := int(share * float64(descriptors))
	if s.MemoryMiB > 0 {
		limit = min(limit, int(connectionMemoryShare*float64(s.MemoryMiB<<20))/connectionBytes)
	}
	return limit
}

// listenHTTP opens a listener whose connections have bounded buffers in the kernel. A kernel that
// does not allow that serves callers with its own sizes.
func listenHTTP(address string, logger *logrus.Entry) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			for option, size := range map[int]int{unix.SO_RCVBUF: receiveBufferBytes, unix.SO_SNDBUF: sendBufferBytes} {
				if err := unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, option, size); err != nil {
					logger.WithError(err).Warn("cannot bound the buffers of a listener")
				}
			}
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// listenForPeers returns a listener for other hosts whose connections are limited, so that nobody
// else takes the descriptors of a host through it. Connections of hosts have traffic each second,
// and are the last to make room.
func listenForPeers(l net.Listener, s settings.Settings, descriptors int, now func() time.Duration) net.Listener {
	return connections.New(now, connectionLimit(s, descriptors, peerShare), nil).Listen(l)
}

// recordPressure returns a function that logs which connections of a listener were evicted or
// refused because there was no room.
func recordPressure(log *decision.Log, l net.Listener) func(connections.Counts) {
	return func(c connections.Counts) {
		log.RecordStateChange(decision.EventConnections, decision.Fields{
			decision.FieldListener: l.Addr().String(), decision.FieldOpen: c.Open, decision.FieldEvicted: c.Evicted, decision.FieldConnectionsRefused: c.Refused,
		})
	}
}

func (h *RoutedHost) recordPressure(l net.Listener) func(connections.Counts) {
	return recordPressure(h.decisions, l)
}

// connectionGauges returns the metrics of the connections of callers and of the memory that
// requests and answers hold.
func connectionGauges(t *connections.Table, a *memory.Account) []instrument {
	return []instrument{
		{"pollenwheel.connections.open", "{connection}", "Open connections of callers.", func() int64 { return t.Counts().Open }},
		{"pollenwheel.memory.held", "By", "Bytes held of requests and answers.", a.Held},
	}
}

// connectionCounters returns the counters of the connections of callers.
func connectionCounters(t *connections.Table) []instrument {
	return []instrument{
		{"pollenwheel.connections.closed", "{connection}", "Connections closed because their caller was idle or too slow.", func() int64 { return t.Counts().Closed }},
		{"pollenwheel.connections.evicted", "{connection}", "Connections closed to make room for others.", func() int64 { return t.Counts().Evicted }},
		{"pollenwheel.connections.refused", "{connection}", "Connections refused because there was no room.", func() int64 { return t.Counts().Refused }},
	}
}
