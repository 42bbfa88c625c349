// Package memory accounts for the bytes that a host holds of the requests of its callers and
// of the answers of backend servers. When their sum exceeds its limit, the account ends the
// largest unfinished answer of the server whose unfinished answers hold the most, so that a
// server that sends without end does not take the memory of requests to other servers.
//
// Go's own memory limit is no such bound: it makes garbage collections more frequent, but
// frees nothing that is still in use.
package memory

import (
	"errors"
	"sync"
)

const (
	// Share is the fraction of a process's memory limit that its account may hold. Garbage
	// that is not collected yet, the replicated state and the buffers of connections take
	// the rest.
	Share = 0.25
	// DefaultLimit is the limit in bytes of an account if the process has no memory limit.
	DefaultLimit = 128 << 20
	// requestDivisor is the part of an account's limit that the bodies of requests may hold,
	// so that they leave memory for answers.
	requestDivisor = 2
	// reliefDivisor is the part of the limit that is freed once the sum exceeds the limit, so
	// that not every further byte needs a search. It is freed only while unfinished answers
	// hold more than the part floodDivisor of the limit, because they are ended for others
	// otherwise, such as complete answers to slow callers.
	reliefDivisor, floodDivisor = 16, 2
	// deliveryDivisor is the part of the limit that complete answers may hold while they are
	// written to callers, once the sum exceeds the limit. Above it, the one that is being written
	// for longest ends, whose caller reads slowly or not at all.
	deliveryDivisor = 4
	// endlessWeight is the factor by which the bytes of a server count, when the answer to be
	// ended is chosen, from an answer that was ended until one that is complete. Without it, a
	// large answer of a sound server would be ended before several small ones without end.
	endlessWeight = 8
	// maxIdleServers is the number of servers above which those without unfinished answers
	// are forgotten.
	maxIdleServers = 1024
)

// LimitFor returns the limit in bytes of the account of a process with the given memory
// limit in bytes, which is zero if there is none.
func LimitFor(processBytes int64) int64 {
	if processBytes <= 0 {
		return DefaultLimit
	}
	return int64(Share * float64(processBytes))
}

// Account counts the bytes of all holdings of a process. It is safe for concurrent use.
type Account struct {
	limit   int64
	onEnded func(*EndedError)

	mu sync.Mutex
	// held is the sum of all holdings, requests that of requests, unfinished that of the answers
	// that can be ended, and delivered that of the answers that are written to callers.
	held, requests, unfinished, delivered int64
	servers                               map[string]*server
	// incoming holds the requests that have not arrived completely, and deliveries the answers
	// that are written to callers, in the order in which that began.
	incoming   map[*Holding]struct{}
	deliveries []*Holding
	serial     uint64
}

// server holds the unfinished answers of one backend server.
type server struct {
	name string
	// bytes is the sum of the answers.
	bytes   int64
	answers map[*Holding]struct{}
	// endless is set from an answer that was ended until one that is complete.
	endless bool
}

// weight returns by how much the server's answers count when one is ended.
func (s *server) weight() int64 {
	if s.endless {
		return endlessWeight * s.bytes
	}
	return s.bytes
}

// New returns an account with a limit in bytes. onEnded is called for each answer that the
// account ends, and must not block; it may be nil.
func New(limit int64, onEnded func(*EndedError)) *Account {
	return &Account{limit: limit, onEnded: onEnded, servers: map[string]*server{}, incoming: map[*Holding]struct{}{}}
}

// Held returns the number of bytes held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// HoldRequest returns a holding for a request that the account never ends.
func (a *Account) HoldRequest() *Holding { return &Holding{account: a, request: true} }

// HoldIncoming returns a holding for a request while it arrives. Until Finish is called, the
// account may end it in favour of smaller ones: it then drops its bytes and calls interrupt, which
// must not block, with a *RequestsError.
func (a *Account) HoldIncoming(interrupt func(cause error)) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	h := &Holding{account: a, request: true, interrupt: interrupt, serial: a.serial}
	a.incoming[h] = struct{}{}
	return h
}

// HoldAnswer returns a holding for an unfinished answer of a backend server. If the account
// ends the answer, it drops its parts and calls interrupt, which must not block, with an
// *EndedError; interrupt may be nil.
func (a *Account) HoldAnswer(serverName string, interrupt func(cause error)) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	h := &Holding{account: a, server: a.serverFor(serverName), interrupt: interrupt, serial: a.serial}
	h.server.answers[h] = struct{}{}
	return h
}

// HoldRetained returns a holding for what the owner can do without, such as a copy of events
// that were passed on. The account may drop it like an unfinished answer; that ends nothing
// else and counts against no server.
func (a *Account) HoldRetained() *Holding {
	h := a.HoldAnswer("", nil)
	h.retained = true
	return h
}

// serverFor returns the record of a server and creates it if needed. a.mu must be held.
func (a *Account) serverFor(name string) *server {
	s := a.servers[name]
	if s == nil {
		s = &server{name: name, answers: map[*Holding]struct{}{}}
		a.servers[name] = s
	}
	return s
}

// removeAnswer removes an answer from those that can be ended. a.mu must be held.
func (a *Account) removeAnswer(h *Holding) {
	s := h.server
	if _, ok := s.answers[h]; !ok {
		return
	}
	delete(s.answers, h)
	s.bytes -= h.bytes
	a.unfinished -= h.bytes
	a.forgetIdle(s)
}

// forgetIdle removes the record of a server without unfinished answers, unless its last
// answer was ended. a.mu must be held.
func (a *Account) forgetIdle(s *server) {
	if len(s.answers) == 0 && (!s.endless || len(a.servers) > maxIdleServers) {
		delete(a.servers, s.name)
	}
}

// addAnswer adds an answer to those that can be ended. a.mu must be held.
func (a *Account) addAnswer(h *Holding) {
	if _, ok := h.server.answers[h]; ok {
		return
	}
	h.server = a.serverFor(h.server.name)
	h.server.answers[h] = struct{}{}
	h.server.bytes += h.bytes
	a.unfinished += h.bytes
}

// relieve ends answers if the sum exceeds the limit, and returns them. a.mu must be held.
func (a *Account) relieve() []*Holding {
	if a.held <= a.limit {
		return nil
	}
	ended := a.endDeliveries()
	relieved := func() bool {
		return a.held <= a.limit-a.limit/reliefDivisor || a.held <= a.limit && a.unfinished <= a.limit/floodDivisor
	}
	for !relieved() {
		h := a.largestAnswer()
		if h == nil {
			break
		}
		h.err = &EndedError{Server: h.server.name, Bytes: h.bytes, Limit: a.limit}
		h.server.endless = !h.retained
		a.removeAnswer(h)
		a.held -= h.bytes
		h.bytes, h.parts = 0, nil
		ended = append(ended, h)
	}
	return ended
}

// largestAnswer returns the largest unfinished answer of the server whose answers weigh the
// most, or nil. a.mu must be held.
func (a *Account) largestAnswer() *Holding {
	var heaviest *server
	for _, s := range a.servers {
		if s.bytes == 0 {
			continue
		}
		if heaviest == nil || s.weight() > heaviest.weight() || s.weight() == heaviest.weight() && s.name < heaviest.name {
			heaviest = s
		}
	}
	if heaviest == nil {
		return nil
	}
	var largest *Holding
	for h := range heaviest.answers {
		if largest == nil || h.bytes > largest.bytes || h.bytes == largest.bytes && h.serial < largest.serial {
			largest = h
		}
	}
	return largest
}

// interrupt tells the owners of ended answers. a.mu must not be held.
func (a *Account) interrupt(ended []*Holding) {
	for _, h := range ended {
		if h.interrupt != nil {
			h.interrupt(h.err)
		}
		var answer *EndedError
		if a.onEnded != nil && !h.retained && errors.As(h.err, &answer) {
			a.onEnded(answer)
		}
	}
}
