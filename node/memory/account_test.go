package memory

import (
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 300}) }

// answer is a holding and the reason with which the account interrupted it.
type answer struct {
	*Holding
	cause error
}

func hold(a *Account, server string) *answer {
	out := &answer{}
	out.Holding = a.HoldAnswer(server, func(cause error) { out.cause = cause })
	return out
}

func grow(t *testing.T, h *Holding, n int) {
	t.Helper()
	if err := h.Grow(n); err != nil {
		t.Fatal(err)
	}
}

// TestLargestAnswerOfHeaviestServerEnds guards against the end of a sound server's answer
// because another server sends without end.
func TestLargestAnswerOfHeaviestServerEnds(t *testing.T) {
	var logged []*EndedError
	a := New(1000, func(e *EndedError) { logged = append(logged, e) })
	sound, small, large := hold(a, "sound"), hold(a, "faulty"), hold(a, "faulty")
	grow(t, sound.Holding, 400)
	grow(t, small.Holding, 200)
	grow(t, large.Holding, 300)
	grow(t, small.Holding, 90)
	grow(t, sound.Holding, 20)
	var ended *EndedError
	if !errors.As(large.cause, &ended) || ended.Server != "faulty" || ended.Bytes != 300 || large.Err() == nil || len(logged) != 1 {
		t.Errorf("cause %v, log %v; want the answer of 300 bytes of the faulty server to be ended", large.cause, logged)
	}
	if sound.cause != nil || small.cause != nil {
		t.Errorf("causes %v and %v of the other answers, want none", sound.cause, small.cause)
	}
	if err := large.Grow(1); !errors.As(err, &ended) {
		t.Errorf("an ended answer grew with error %v, want an EndedError", err)
	}
	if n := a.Held(); n != 710 {
		t.Errorf("%d bytes held, want 710", n)
	}
}

// TestServerWithoutEndWeighsMore guards against the end of a sound server's large answer
// once it is known which server sends without end.
func TestServerWithoutEndWeighsMore(t *testing.T) {
	a := New(1000, nil)
	first := hold(a, "faulty")
	grow(t, first.Holding, 400)
	first.RecordEndless()
	first.Release()
	sound, faulty := hold(a, "sound"), hold(a, "faulty")
	grow(t, faulty.Holding, 150)
	grow(t, sound.Holding, 800)
	grow(t, sound.Holding, 60)
	if faulty.cause == nil || sound.cause != nil {
		t.Fatalf("causes %v of the faulty server and %v of the sound one, want only the former", faulty.cause, sound.cause)
	}
	// A complete answer shows that the server sends answers with an end again.
	sound.Release()
	again := hold(a, "faulty")
	if err := again.Finish(); err != nil {
		t.Fatal(err)
	}
	again.Release()
	faulty, sound = hold(a, "faulty"), hold(a, "sound")
	grow(t, faulty.Holding, 150)
	grow(t, sound.Holding, 840)
	if err := sound.Grow(60); err == nil || faulty.cause != nil {
		t.Errorf("error %v of the larger answer, cause %v of the smaller one; want the larger one to be ended", err, faulty.cause)
	}
}

// TestRequestsLeaveMemoryForAnswers guards against bodies of requests that take all memory,
// and against answers that are ended for a request that is refused nevertheless.
func TestRequestsLeaveMemoryForAnswers(t *testing.T) {
	a := New(1000, nil)
	request, unfinished, finished := a.HoldRequest(), hold(a, "server"), hold(a, "server")
	var refused *RequestsError
	grow(t, request, 500)
	if err := a.HoldRequest().Grow(1); !errors.As(err, &refused) || refused.Limit != 500 {
		t.Errorf("a body above the limit of requests: error %v, want a RequestsError with the limit 500", err)
	}
	request.Shrink(100)
	grow(t, finished.Holding, 550)
	if err := finished.Finish(); err != nil {
		t.Fatal(err)
	}
	grow(t, unfinished.Holding, 50)
	if err := a.HoldRequest().Grow(100); !errors.As(err, &refused) || unfinished.cause != nil || finished.cause != nil {
		t.Errorf("a body without room: error %v, causes %v and %v; want a RequestsError and no answer ended", err, unfinished.cause, finished.cause)
	}
	grow(t, request, 50)
	if unfinished.cause == nil || finished.cause != nil {
		t.Errorf("causes %v of the unfinished and %v of the finished answer, want only the former", unfinished.cause, finished.cause)
	}
}

// TestLargestIncomingRequestEnds guards against callers that begin large requests and never end
// them, so that no other request finds room.
func TestLargestIncomingRequestEnds(t *testing.T) {
	a := New(2000, nil)
	causes := map[string]error{}
	incoming := func(name string, n int) *Holding {
		h := a.HoldIncoming(func(cause error) { causes[name] = cause })
		if err := h.Grow(n); err != nil {
			causes[name] = err
		}
		return h
	}
	complete := incoming("complete", 300)
	if err := complete.Finish(); err != nil {
		t.Fatal(err)
	}
	incoming("large", 250)
	incoming("larger", 300)
	small := incoming("small", 100)
	var refused *RequestsError
	if !errors.As(causes["larger"], &refused) || causes["large"] != nil || causes["small"] != nil {
		t.Errorf("causes %v, want the largest incomplete request to be ended", causes)
	}
	incoming("huge", 600)
	if !errors.As(causes["huge"], &refused) || causes["large"] != nil {
		t.Errorf("causes %v, want the request that is larger than all others to be refused", causes)
	}
	if err := small.Grow(20); err != nil {
		t.Errorf("a small request finds no room: %v", err)
	}
	if n := a.Held(); n != 300+250+120 {
		t.Errorf("%d bytes held, want 670", n)
	}
}

// TestUnreadDeliveriesEnd guards against callers that do not read their answers, whose memory is
// taken from the answers to others.
func TestUnreadDeliveriesEnd(t *testing.T) {
	a := New(1000, nil)
	deliver := func(n int) *answer {
		h := hold(a, "server")
		grow(t, h.Holding, n)
		if err := errors.Join(h.Finish(), h.BeginDelivery(func(cause error) { h.cause = cause })); err != nil {
			t.Fatal(err)
		}
		return h
	}
	oldest, older := deliver(400), deliver(400)
	other := hold(a, "other")
	grow(t, other.Holding, 100)
	if oldest.cause != nil || older.cause != nil {
		t.Fatal("a delivery is ended below the limit")
	}
	grow(t, other.Holding, 150)
	var ended *EndedError
	if !errors.As(oldest.cause, &ended) || older.cause != nil || other.cause != nil {
		t.Errorf("causes %v, %v and %v, want the oldest delivery to be ended", oldest.cause, older.cause, other.cause)
	}
	oldest.Release()
	older.Release()
	other.Release()
	if n := a.Held(); n != 0 {
		t.Errorf("%d bytes held after the last release, want 0", n)
	}
}

// TestReadAll guards against bodies that are not the bytes of the reader, that are held
// beyond their limit, or that count after their end.
func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		name   string
		reader io.Reader
		want   string
		err    error
	}{
		{"empty", strings.NewReader(""), "", nil},
		{"short", strings.NewReader("ok"), "ok", nil},
		{"first part full", strings.NewReader(strings.Repeat("x", firstPartBytes)), strings.Repeat("x", firstPartBytes), nil},
		{"many parts", strings.NewReader(strings.Repeat("abc", 100_000)), strings.Repeat("abc", 100_000), nil},
		{"error", io.MultiReader(strings.NewReader("ab"), readerFunc(func([]byte) (int, error) { return 0, broken })), "ab", broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New(1<<20, nil)
			h := a.HoldAnswer("server", nil)
			err := h.ReadAll(c.reader, 500_000)
			var got strings.Builder
			for _, part := range h.Parts() {
				got.Write(part)
			}
			if got.String() != c.want || h.Size() != len(c.want) || !errors.Is(err, c.err) {
				t.Errorf("%d bytes, error %v; want %d bytes and error %v", got.Len(), err, len(c.want), c.err)
			}
			if n := a.Held(); n < int64(len(c.want)) {
				t.Errorf("%d bytes held, want at least %d", n, len(c.want))
			}
			h.Release()
			if n := a.Held(); n != 0 {
				t.Errorf("%d bytes held after the release, want 0", n)
			}
		})
	}
	endless := readerFunc(func(p []byte) (int, error) { return len(p), nil })
	a := New(1<<20, nil)
	var tooLarge *TooLargeError
	h := a.HoldAnswer("server", nil)
	if err := h.ReadAll(endless, 500_000); !errors.As(err, &tooLarge) || h.Size() > 500_000+maxPartBytes {
		t.Errorf("endless body: error %v after %d bytes, want a TooLargeError after 500000", err, h.Size())
	}
	var ended *EndedError
	if err := a.HoldAnswer("other", nil).ReadAll(endless, 2<<20); !errors.As(err, &ended) {
		t.Errorf("body above the limit of the account: error %v, want an EndedError", err)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestEventCounter guards against an event that is ended while it is written to a caller,
// and against events that still count after that.
func TestEventCounter(t *testing.T) {
	a := New(1000, nil)
	stream, other := hold(a, "faulty"), hold(a, "other")
	counter, err := NewEventCounter(stream.Holding, 100)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(counter.Reach(50), counter.BeginWrite()); err != nil || a.Held() != 100 {
		t.Errorf("%d bytes held for a short event, error %v; want the buffer of 100", a.Held(), err)
	}
	counter.EndWrite()
	if err := errors.Join(counter.Reach(700), counter.BeginWrite()); err != nil || a.Held() != 700 {
		t.Errorf("%d bytes held for a long event, error %v; want 700", a.Held(), err)
	}
	if err := other.Grow(400); err == nil || stream.cause != nil {
		t.Errorf("error %v of the other answer, cause %v of the event in use; want only the former", err, stream.cause)
	}
	counter.EndWrite()
	if n := a.Held(); n != 100 {
		t.Errorf("%d bytes held after the event, want 100", n)
	}
	third := hold(a, "third")
	if err := counter.Reach(800); err != nil {
		t.Fatal(err)
	}
	grow(t, third.Holding, 400)
	if err := counter.BeginWrite(); err == nil || stream.cause == nil {
		t.Errorf("error %v, cause %v; want the event to be ended", err, stream.cause)
	}
}

// TestHeldBytesStayBelowTheLimit guards against a sum above the limit, against counts that
// differ from what is held, and against sums that remain after the last release, in random
// sequences of operations.
func TestHeldBytesStayBelowTheLimit(t *testing.T) {
	const limit = 1000
	rapid.Check(t, func(t *rapid.T) {
		a := New(limit, nil)
		var holdings []*Holding
		pick := func(t *rapid.T) *Holding {
			if len(holdings) == 0 {
				t.Skip("no holdings")
			}
			return rapid.SampledFrom(holdings).Draw(t, "holding")
		}
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				holdings = append(holdings, a.HoldAnswer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), nil))
			},
			"request":     func(*rapid.T) { holdings = append(holdings, a.HoldRequest()) },
			"grow":        func(t *rapid.T) { growUnlessPinned(t, pick(t), rapid.IntRange(1, 400).Draw(t, "bytes")) },
			"pin":         func(t *rapid.T) { _ = pick(t).Pin() },
			"unpin":       func(t *rapid.T) { pick(t).Unpin() },
			"finish":      func(t *rapid.T) { _ = pick(t).Finish() },
			"is endless":  func(t *rapid.T) { pickAnswer(t, holdings).RecordEndless() },
			"release":     func(t *rapid.T) { pick(t).Release() },
			"append part": func(t *rapid.T) { appendUnlessPinned(t, pick(t)) },
			"": func(t *rapid.T) {
				checkSums(t, a, holdings)
				if a.held > limit {
					t.Fatalf("%d bytes held, limit %d", a.held, limit)
				}
			},
		})
		for _, h := range holdings {
			h.Release()
		}
		if a.held != 0 || a.requests != 0 || a.unfinished != 0 {
			t.Fatalf("%d bytes held, %d of requests, %d unfinished after the last release; want 0", a.held, a.requests, a.unfinished)
		}
	})
}

// pinned reports whether the account cannot end an answer; its owner doesn't let it grow.
func pinned(h *Holding) bool {
	if h.request || h.err != nil || h.released {
		return false
	}
	_, unfinished := h.server.answers[h]
	return !unfinished
}

func growUnlessPinned(t *rapid.T, h *Holding, n int) {
	if pinned(h) {
		t.Skip("pinned")
	}
	_ = h.Grow(n)
}

func appendUnlessPinned(t *rapid.T, h *Holding) {
	if pinned(h) {
		t.Skip("pinned")
	}
	_ = h.Append(make([]byte, 10))
}

func pickAnswer(t *rapid.T, holdings []*Holding) *Holding {
	h := rapid.SampledFrom(append([]*Holding{nil}, holdings...)).Draw(t, "answer")
	if h == nil || h.request {
		t.Skip("no answer")
	}
	return h
}

// checkSums compares the account's sums with its holdings.
func checkSums(t *rapid.T, a *Account, holdings []*Holding) {
	var held, requests, unfinished int64
	bytes := map[string]int64{}
	for _, h := range holdings {
		if h.err != nil && (h.bytes != 0 || h.parts != nil) {
			t.Fatalf("an ended answer holds %d bytes in %d parts", h.bytes, len(h.parts))
		}
		held += h.bytes
		if h.request {
			requests += h.bytes
		} else if _, ok := h.server.answers[h]; ok {
			unfinished += h.bytes
			bytes[h.server.name] += h.bytes
		}
	}
	if a.held != held || a.requests != requests || a.unfinished != unfinished {
		t.Fatalf("sums %d, %d, %d; want %d held, %d of requests, %d unfinished", a.held, a.requests, a.unfinished, held, requests, unfinished)
	}
	for name, s := range a.servers {
		if s.bytes != bytes[name] {
			t.Fatalf("%d bytes of server %s, want %d", s.bytes, name, bytes[name])
		}
	}
}
