package memory

import (
	"cmp"
	"slices"
)

// hasRoom reports whether a request can hold n more bytes, after answers are ended if necessary. A
// large request leaves room for one of its size, so that small ones find room while large ones
// do not. a.mu must be held.
func (a *Account) hasRoom(h *Holding, n int64) bool {
	own := h.bytes + n
	others := a.requests - h.bytes
	if own+others+min(own, others) > a.limit/requestDivisor {
		return false
	}
	endable := a.unfinished + max(0, a.delivered-a.limit/deliveryDivisor)
	return a.held-endable+n <= a.limit
}

// endIncoming ends the largest requests that have not arrived completely and are larger than h,
// until it can hold n more bytes and some room is left for others. It returns them. a.mu must be
// held.
func (a *Account) endIncoming(h *Holding, n int64) []*Holding {
	var larger []*Holding
	for other := range a.incoming {
		if other != h && other.bytes > h.bytes+n {
			larger = append(larger, other)
		}
	}
	slices.SortFunc(larger, func(x, y *Holding) int {
		return cmp.Or(cmp.Compare(y.bytes, x.bytes), cmp.Compare(x.serial, y.serial))
	})
	limit := a.limit / requestDivisor
	var ended []*Holding
	for _, other := range larger {
		if a.hasRoom(h, n) && a.requests <= limit-limit/reliefDivisor {
			break
		}
		other.err = &RequestsError{Limit: limit}
		delete(a.incoming, other)
		other.add(-other.bytes)
		other.parts = nil
		ended = append(ended, other)
	}
	return ended
}

// BeginDelivery records that the answer, which must be complete, is written to its caller from now
// on. If bytes held exceed the limit because callers do not read, the account drops the answer and
// calls interrupt, which must not block, with an *EndedError. The error is one if the account has
// already ended the answer.
func (h *Holding) BeginDelivery(interrupt func(cause error)) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.err != nil {
		return h.err
	}
	if h.released || h.delivering || h.request {
		return nil
	}
	a.removeAnswer(h)
	h.delivering, h.interrupt = true, interrupt
	a.delivered += h.bytes
	a.deliveries = append(a.deliveries, h)
	return nil
}

// removeDelivery removes an answer from those that are written to callers. a.mu must be held.
func (a *Account) removeDelivery(h *Holding) {
	if !h.delivering {
		return
	}
	h.delivering = false
	a.delivered -= h.bytes
	a.deliveries = slices.DeleteFunc(a.deliveries, func(other *Holding) bool { return other == h })
}

// endDeliveries ends the answers that are written for longest while the sum exceeds the limit and
// answers that are written hold more than their part. It returns them. a.mu must be held.
func (a *Account) endDeliveries() []*Holding {
	var ended []*Holding
	for a.held > a.limit && a.delivered > a.limit/deliveryDivisor && len(a.deliveries) > 0 {
		h := a.deliveries[0]
		a.removeDelivery(h)
		h.err = &EndedError{Server: h.server.name, Bytes: h.bytes, Limit: a.limit}
		h.add(-h.bytes)
		h.parts = nil
		ended = append(ended, h)
	}
	return ended
}
