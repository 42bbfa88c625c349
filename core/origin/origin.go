// Package origin keeps which service and which software version began each stream that a
// caller may resume. What two software versions write does not fit together, so a stream
// goes on only at its origin. The package performs no I/O and reads no clock.
//
// Every host notes the streams that begin through it in a Journal and reports them to the
// leader, whose Table answers the hosts at which callers resume them. A Registry decides, on
// the leader, which software versions of a service are admitted: streams begin only at these.
//
// Invariants: an origin in a Table is one that a host reported. An origin is inferred for a
// stream that no Table knows only if one software version of its service was admitted when
// the stream began and ever since.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Origin is what a stream must go on at.
type Origin struct{ Service, Version string }

// StreamID identifies a stream by the ID of the request that brought its first event.
type StreamID uint64

// IDOf returns the ID of the stream that a request began.
func IDOf(request string) StreamID {
	sum := sha256.Sum256([]byte(request))
	return StreamID(binary.BigEndian.Uint64(sum[:]))
}

// Record is a stream with its origin. After Expires nobody resumes the stream.
type Record struct {
	Stream  StreamID
	Origin  Origin
	Expires time.Duration
}

// Shift returns r with its time moved by d.
func (r Record) Shift(d time.Duration) Record {
	r.Expires += d
	return r
}

// Question asks for the origin of a stream. Services are the services at which it may have
// begun.
type Question struct {
	Stream   StreamID
	Services []string
}

// Answer is the answer to a question. Inferred is set if no host reported the stream, and
// only one software version can have begun it. Without Known neither is the case.
type Answer struct {
	Known, Inferred bool
	Origin          Origin
}

// Report is what a host tells and asks the leader. Its times are relative to its sending.
type Report struct {
	Host      string
	Records   []Record
	Questions []Question
}

// Reply is the leader's reply: an answer to each question. Term identifies the leader, which
// knows no stream that was reported to another one.
type Reply struct {
	Term    uint64
	Answers []Answer
}

// BoundDemand counts the waiting requests for a target that resume streams of one software
// version. Only its servers can serve them.
type BoundDemand struct {
	Version string
	Waiting int
}

// Admitted holds the admitted software versions by service. A service without any has
// servers that name none.
type Admitted map[string][]string

// Allows reports whether a stream may begin at a software version of a service.
func (a Admitted) Allows(service, version string) bool {
	list := a[service]
	if len(list) == 0 {
		return version == ""
	}
	for _, v := range list {
		if v == version {
			return true
		}
	}
	return false
}

// only returns the only origin that a stream of one of the services can have.
func (a Admitted) only(services []string) (Origin, bool) {
	if len(services) != 1 || len(a[services[0]]) > 1 {
		return Origin{}, false
	}
	out := Origin{Service: services[0]}
	if list := a[out.Service]; len(list) == 1 {
		out.Version = list[0]
	}
	return out, true
}
