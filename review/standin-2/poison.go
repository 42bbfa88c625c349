package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// contactWindow is ContactWindowMs.
const contactWindow = 3 * time.Second

const harmfulPart = "dead0001"

// harm watches the requests that crash runners.
type harm struct {
	mu sync.Mutex
	// arrivals are when harmful requests reached a runner, and crashes when runners crashed of them.
	arrivals, crashes []time.Time
}

func (h *harm) arrive(crash bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, time.Now())
	if crash {
		h.crashes = append(h.crashes, time.Now())
	}
}

// after returns how many harmful requests reached runners later than ContactWindowMs after the
// n-th crash, and false if there were fewer crashes.
func (h *harm) after(n int) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crashes) < n {
		return 0, false
	}
	from, count := h.crashes[n-1].Add(contactWindow), 0
	for _, at := range h.arrivals {
		if at.After(from) {
			count++
		}
	}
	return count, true
}

func holdsPart(r *http.Request, part string) bool {
	return strings.Contains(","+r.Header.Get("Prompt-Prefix"), ","+part+":")
}

// crashOn makes the runners crash of the requests that match.
func (t *trial) crashOn(runners []*runner, how verdict, matches func(*http.Request) bool) *harm {
	h := &harm{}
	for _, r := range runners {
		r.onRequest = func(_ *process, req *http.Request) verdict {
			if !matches(req) {
				return serve
			}
			h.arrive(t.trouble)
			if !t.trouble {
				return serve
			}
			return how
		}
	}
	return h
}

// startEngines starts the deployment with n runners that hold the model.
func (t *trial) startEngines(n int) ([]*runner, error) {
	if err := t.fleet.startAll(configuration(1)); err != nil {
		return nil, err
	}
	runners := t.addRunners("huvo11a", n)
	for _, r := range runners {
		if err := r.start(model); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	return runners, nil
}

func prompt(parts ...string) string {
	var out []string
	for _, p := range parts {
		out = append(out, p+":10")
	}
	return strings.Join(out, ",")
}

func stream(kind string, i int, prompt string) request {
	return request{
		method: http.MethodPost, path: fmt.Sprintf("/lohu930/%s%d", kind[:1], i), model: model, prompt: prompt,
		body: fmt.Sprintf("%s %d", kind, i), host: hostName, deadline: 12 * time.Second, kind: kind,
	}
}

// tally counts the sound requests of a time and how many of them begin.
type tally struct {
	mu          sync.Mutex
	sent, begun int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.begun {
		t.begun++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == 0 {
		return 0
	}
	return float64(t.begun) / float64(t.sent)
}

// judgeParts judges BUDGET for a part that crashes runners.
func (t *trial) judgeParts(h *harm) bool {
	n, ok := h.after(5)
	t.say("%d requests with the part reached runners, %d crashed one; %d reached one later than 3 s after the fifth crash (allowed: 3)",
		len(h.arrivals), len(h.crashes), n)
	return ok && n > 3
}

// longPrompt sends prompts of many parts, of which the first one crashes runners.
func longPrompt(t *trial) (bool, error) {
	runners, err := t.startEngines(6)
	if err != nil {
		return false, err
	}
	parts := 70
	if n := envInt("PARTS"); n > 0 {
		parts = n
	}
	var shared []string
	for i := range parts {
		shared = append(shared, fmt.Sprintf("a0%06x", i+1))
	}
	h := t.crashOn(runners, crashBefore, func(r *http.Request) bool { return holdsPart(r, harmfulPart) })
	stop := make(chan struct{})
	var sound tally
	t.clients.every(150*time.Millisecond, stop, func(i int) {
		sound.add(t.clients.send(stream("sound", i, prompt(append(append([]string{}, shared...), fmt.Sprintf("b0%06x", i))...))))
	})
	time.Sleep(8 * time.Second)
	t.clients.every(1500*time.Millisecond, stop, func(i int) {
		parts := append(append([]string{harmfulPart}, shared...), fmt.Sprintf("c0%06x", i))
		t.clients.send(stream("harmful", i, prompt(parts...)))
	})
	time.Sleep(45 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	t.say("sound requests that began: %d of %d", sound.begun, sound.sent)
	return t.judgeParts(h), nil
}

// begunAnswer sends prompts with a part of which runners crash right after the first event of the
// answer.
func begunAnswer(t *trial) (bool, error) {
	runners, err := t.startEngines(6)
	if err != nil {
		return false, err
	}
	h := t.crashOn(runners, crashAfterFirst, func(r *http.Request) bool { return holdsPart(r, harmfulPart) })
	stop := make(chan struct{})
	var sound tally
	t.clients.every(150*time.Millisecond, stop, func(i int) {
		sound.add(t.clients.send(stream("sound", i, prompt("a0000001", "a0000002", fmt.Sprintf("b0%06x", i)))))
	})
	time.Sleep(8 * time.Second)
	t.clients.every(1500*time.Millisecond, stop, func(i int) {
		t.clients.send(stream("harmful", i, prompt("a0000001", harmfulPart, fmt.Sprintf("c0%06x", i))))
	})
	time.Sleep(45 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	t.say("sound requests that began: %d of %d", sound.begun, sound.sent)
	return t.judgeParts(h), nil
}

// siblingPart sends harmful prompts whose other parts are new too, and then sound requests that
// share all but the harmful part.
func siblingPart(t *trial) (bool, error) {
	runners, err := t.startEngines(6)
	if err != nil {
		return false, err
	}
	h := t.crashOn(runners, crashBefore, func(r *http.Request) bool { return holdsPart(r, harmfulPart) })
	before, stop := make(chan struct{}), make(chan struct{})
	var outside tally
	t.clients.every(150*time.Millisecond, before, func(i int) {
		outside.add(t.clients.send(stream("sound", i, prompt("a0000001", "a0000002", fmt.Sprintf("b0%06x", i)))))
	})
	time.Sleep(8 * time.Second)
	t.clients.every(1500*time.Millisecond, stop, func(i int) {
		t.clients.send(stream("harmful", i, prompt("a0000001", harmfulPart, "a0000003", fmt.Sprintf("c0%06x", i))))
	})
	// From now on the sound requests hold the third part instead of the second.
	time.Sleep(5 * time.Second)
	close(before)
	var mu sync.Mutex
	var answers []answer
	t.clients.every(150*time.Millisecond, stop, func(i int) {
		a := t.clients.send(stream("sound", 100000+i, prompt("a0000001", "a0000003", fmt.Sprintf("d0%06x", i))))
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	time.Sleep(40 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	h.mu.Lock()
	crashes := h.crashes
	h.mu.Unlock()
	from := time.Time{}
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contactWindow)
	}
	var during tally
	for _, a := range answers {
		if a.sentAt.After(from) {
			during.add(a)
		}
	}
	t.say("%d runners crashed; sound requests with the same first part that began: %d of %d outside, %d of %d from 6 s after the last crash on",
		len(crashes), outside.begun, outside.sent, during.begun, during.sent)
	return outside.sent >= 20 && during.sent >= 20 && during.share() < outside.share()/2, nil
}

// queryRequest sends one safe request again and again, with the same path, caller and body and
// another query each time.
func queryRequest(t *trial) (bool, error) {
	if err := t.fleet.startAll(configuration(1)); err != nil {
		return false, err
	}
	runners := t.addRunners("wuno96b", 5)
	for _, r := range runners {
		if err := r.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	h := t.crashOn(runners, crashBefore, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/puxa403/harmful") })
	stop := make(chan struct{})
	t.clients.every(200*time.Millisecond, stop, func(i int) {
		t.clients.send(request{method: http.MethodGet, path: fmt.Sprintf("/cufi504/%d", i), host: hostName, deadline: time.Second, kind: "sound"})
	})
	t.clients.every(1500*time.Millisecond, stop, func(i int) {
		path := "/puxa403/harmful"
		if envInt("SAMEQUERY") == 0 {
			path += fmt.Sprintf("?try=%d", i)
		}
		t.clients.send(request{method: http.MethodPost, path: path, body: "the same body", host: hostName, deadline: time.Second, kind: "harmful"})
	})
	time.Sleep(40 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	n, ok := h.after(3)
	t.say("the request reached runners %d times and crashed %d; %d times later than 3 s after the third crash (allowed: 3)", len(h.arrivals), len(h.crashes), n)
	return ok && n > 3, nil
}

// samePath sends harmful and sound prompts with one path and no body, as in the example of the
// platform's page: they differ in Prompt-Prefix only.
func samePath(t *trial) (bool, error) {
	runners, err := t.startEngines(6)
	if err != nil {
		return false, err
	}
	h := t.crashOn(runners, crashBefore, func(r *http.Request) bool { return holdsPart(r, harmfulPart) })
	alike := func(kind string, i int, prompt string) request {
		q := stream(kind, i, prompt)
		q.path, q.body = "/lohu930/2f", ""
		return q
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	t.clients.every(150*time.Millisecond, stop, func(i int) {
		a := t.clients.send(alike("sound", i, prompt("a0000001", "a0000002", fmt.Sprintf("b0%06x", i))))
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	time.Sleep(8 * time.Second)
	begun := time.Now()
	t.clients.every(1500*time.Millisecond, stop, func(i int) {
		t.clients.send(alike("harmful", i, prompt("a0000001", harmfulPart, fmt.Sprintf("c0%06x", i))))
	})
	time.Sleep(45 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	return t.judgeSound(h, answers, begun), nil
}

// judgeSound judges LOST: the sound requests outside the disruption, which begins at the given
// time, against those from 2 x ContactWindowMs after the fifth crash, or the last one, on.
func (t *trial) judgeSound(h *harm, answers []answer, begun time.Time) bool {
	h.mu.Lock()
	crashes := h.crashes
	h.mu.Unlock()
	from := begun
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contactWindow)
	}
	var outside, during tally
	for _, a := range answers {
		switch {
		case a.sentAt.Before(begun):
			outside.add(a)
		case a.sentAt.After(from):
			during.add(a)
		}
	}
	t.say("%d runners crashed; sound requests with the same first part that began: %d of %d outside, %d of %d from 6 s after the fifth or last crash on",
		len(crashes), outside.begun, outside.sent, during.begun, during.sent)
	return outside.sent >= 20 && during.sent >= 20 && during.share() < outside.share()/2
}
