// Package ratelimit divides the request rate that a backend server names for all hosts
// together. The leader grants permits, each for one request to one server process; a host
// sends a request to a server with a limit only with a permit. The package performs no I/O
// and reads no clock.
package ratelimit

import "time"

// Process identifies one run of a backend server.
type Process struct {
	Server      string
	Incarnation uint64
}

// Sighting is what one answer of a server says about its limit.
type Sighting struct {
	Process
	// Named is set if the answer names a limit, and PerSecond is that limit: the requests
	// per second that the server takes from all hosts together.
	Named     bool
	PerSecond float64
	// SentAt is when the request was sent and ReceivedAt when the head of its answer
	// arrived, both on the clock of the process that holds the sighting. The server wrote
	// the answer between the two.
	SentAt, ReceivedAt time.Duration
}

// Shift returns the sighting with its times later by the given duration. Hosts share no
// clock, so they send each other ages.
func (s Sighting) Shift(by time.Duration) Sighting {
	s.SentAt += by
	s.ReceivedAt += by
	return s
}

// Waiter is a request that wants a permit.
type Waiter struct {
	// Request identifies the request on its host.
	Request uint64
	// Priority is zero for the most urgent requests. Of equally urgent ones, the one that
	// asked first is sent first.
	Priority int
}

// Want is the number of requests of one host for which it has no permit.
type Want struct {
	Process
	// Sole counts the requests that wait because no other server can take them, and
	// Optional those that would have been sent to the server and went elsewhere.
	Sole, Optional int
	// Returned counts permits that the host gives back, because the requests that wanted
	// them have ended.
	Returned int
}

// Request is what a host tells and asks the leader. A newer request of a host replaces its
// older ones.
type Request struct {
	Host        string
	Incarnation uint64
	// KnownVersion is the version of the limits that the host got last.
	KnownVersion uint64
	Sightings    []Sighting
	Wants        []Want
}

// WantsPermits reports whether the host wants a permit.
func (r Request) WantsPermits() bool {
	for _, w := range r.Wants {
		if w.Sole+w.Optional > 0 {
			return true
		}
	}
	return false
}

// Grant allows a number of requests to one server process.
type Grant struct {
	Process
	Permits int
	// Interval is the expected time between two permits for requests of the host that no
	// other server can take.
	Interval time.Duration
}

// Reply is the leader's answer to a Request.
type Reply struct {
	// Version identifies the limits. Limits are complete if it differs from the
	// request's KnownVersion, and empty otherwise. Limits that have ended lately are
	// included as sightings that name none.
	Version uint64
	Limits  []Sighting
	Grants  []Grant
}

const (
	// MaxPerSecond is the highest limit that is kept. No server takes more, so a higher
	// one restricts nothing.
	MaxPerSecond = 1e6
	// minGrantedPerSecond is the rate at which requests are sent to a server however low
	// its limit is. Only an answer shows that a limit was raised or has ended.
	minGrantedPerSecond = 0.25
	// maxServers bounds the servers whose limits are kept.
	maxServers = 4096
	// retention is how long a limit is kept that no answer confirms and no request
	// wants. A server process that was not heard from for that long has most likely ended.
	retention = 10 * time.Minute
)

// permitRate returns the rate of permits in 1/s for a limit.
func permitRate(perSecond float64) float64 { return max(perSecond, minGrantedPerSecond) }
