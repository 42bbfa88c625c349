package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// safeEvents sends safe requests whose answers are a series of events. Runners break off some of
// them.
func safeEvents(t *trial) (bool, error) {
	if err := t.fleet.startAll(configuration(1)); err != nil {
		return false, err
	}
	runners := t.addRunners("wuno96b", 3)
	for i, r := range runners {
		r.onRequest = func(_ *process, _ *http.Request) verdict {
			// One runner of three breaks off two answers in a hundred.
			if t.trouble && i == 0 && rand.Float64() < 0.02 {
				return breakOff
			}
			return wholeEvents
		}
		if err := r.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	whole, failed, wrong := 0, 0, 0
	for i := range 1500 {
		a := t.clients.send(request{method: http.MethodGet, path: fmt.Sprintf("/cufi504/%d", i), host: hostName, deadline: time.Second, kind: "sound"})
		of := map[string]bool{}
		for _, line := range a.data {
			name, _, _ := strings.Cut(strings.TrimPrefix(line, "data: i-"), "-")
			of[name] = true
		}
		switch {
		case a.status != http.StatusOK || a.err != nil:
			failed++
		case len(a.data) != eventsOfAStream || len(of) != 1:
			wrong++
			t.rec.add("wrong-answer", "id", a.id, "status", a.status, "complete", a.err == nil, "data", strings.Join(a.data, ";"))
		default:
			whole++
		}
	}
	t.say("answers with status 200 that ended as complete: %d whole, %d that are not the whole answer of one run; %d failed or broken off", whole, wrong, failed)
	return wrong > 0, nil
}

// encodedSlash sends requests that must not run twice, with an encoded slash in the path. The
// route of their path is the unsafe one; with the slash decoded the path would be that of a safe one.
func encodedSlash(t *trial) (bool, error) {
	if err := t.fleet.startAll(configuration(1)); err != nil {
		return false, err
	}
	runners := t.addRunners("wuno96b", 3)
	var mu sync.Mutex
	runs := map[string]int{}
	for i, r := range runners {
		r.onRequest = func(_ *process, _ *http.Request) verdict {
			// One runner of three loses three answers in a hundred.
			if t.trouble && i == 0 && rand.Float64() < 0.03 {
				return loseAnswer
			}
			return serve
		}
		r.onRun = func(_ *process, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.Header.Get("Request-Id")]++
		}
		if err := r.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	path := "/puxa403/look%%2F%d"
	if envInt("PLAIN") == 1 {
		path = "/puxa403/look-%d"
	}
	statuses := map[int]int{}
	for i := range 1200 {
		a := t.clients.send(request{
			method: http.MethodPost, path: fmt.Sprintf(path, i), body: fmt.Sprint("order ", i), host: hostName, deadline: time.Second, kind: "unsafe",
		})
		statuses[a.status]++
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			t.rec.add("ran-twice", "id", id, "runs", n)
		}
	}
	t.say("%d requests of an unsafe route ran, %d of them more than once; answers by status: %v", len(runs), twice, statuses)
	return twice > 0, nil
}
