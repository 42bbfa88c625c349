package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func envInt(name string) int {
	n, _ := strconv.Atoi(os.Getenv(name))
	return n
}

// longPause lets a runner turn a request away for 75 s.
func longPause(t *trial) (bool, error) {
	runners, err := t.startEngines(1)
	if err != nil {
		return false, err
	}
	const pause = 75 * time.Second
	type arrival struct {
		at    time.Time
		front string
	}
	var mu sync.Mutex
	var arrivals []arrival
	told := map[string]time.Time{}
	begun := time.Now().Add(2 * time.Second)
	runners[0].onRequest = func(p *process, r *http.Request) verdict {
		mu.Lock()
		defer mu.Unlock()
		front := r.Header.Get("X-Front")
		now := time.Now()
		arrivals = append(arrivals, arrival{now, front})
		at, paused := told[front]
		switch {
		case !t.trouble || now.Before(begun) || paused && now.Sub(at) >= pause:
			return serve
		case !paused:
			told[front] = now
			p.pause = strconv.Itoa(int(pause.Seconds()))
			return refusePause
		}
		return refuse
	}
	stop := make(chan struct{})
	t.clients.every(500*time.Millisecond, stop, func(i int) {
		n := t.fleet.fronts[i%len(t.fleet.fronts)]
		t.clients.sendTo(n, stream("sound", i, prompt("a0000001", fmt.Sprintf("b0%06x", i))))
	})
	time.Sleep(82 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	broken := false
	for front, at := range told {
		n := 0
		for _, a := range arrivals {
			if a.front == front && a.at.After(at.Add(500*time.Millisecond)) && a.at.Before(at.Add(pause)) {
				n++
			}
		}
		t.say("%s was told to pause for %v; %d requests reached the runner from it between 0.5 s after and the end (allowed: 2)", front, pause, n)
		broken = broken || n > 2
	}
	return broken, nil
}

// leaveAndEnd lets a runner that holds a rare model leave, and kills the control host that has
// acknowledged that right after its answer. The host comes back after a second.
func leaveAndEnd(t *trial) (bool, error) {
	others, err := t.startEngines(3)
	if err != nil {
		return false, err
	}
	_ = others
	rounds, broken := 10, 0
	for round := range rounds {
		r := t.addRunners("huvo11a", 1)[0]
		r.copies = []string{model, rare}
		if err := r.start(rare); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
		p := r.current
		var mu sync.Mutex
		var late []time.Duration
		var acked time.Time
		r.onRequest = func(_ *process, _ *http.Request) verdict {
			mu.Lock()
			defer mu.Unlock()
			if !acked.IsZero() {
				late = append(late, time.Since(acked))
			}
			return serve
		}
		host := t.fleet.controls[round%3]
		conn, err := net.Dial("tcp", net.JoinHostPort(host.ip, strconv.Itoa(t.fleet.portControl)))
		if err != nil {
			return false, err
		}
		p.stopAnnouncing()
		if _, err := fmt.Fprintf(conn, "DELETE /v1/instances/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", p.id); err != nil {
			return false, err
		}
		buf := make([]byte, 512)
		n, err := conn.Read(buf)
		if t.trouble {
			host.signal(syscall.SIGKILL)
		}
		mu.Lock()
		acked = time.Now()
		mu.Unlock()
		if err != nil || n < 12 || string(buf[9:12]) != "200" {
			return false, fmt.Errorf("the leave notice was not acknowledged: %q %v", buf[:n], err)
		}
		_ = conn.Close()
		t.rec.add("leave-acknowledged", "runner", p.id, "by", host.name)
		time.Sleep(time.Second)
		if t.trouble {
			<-host.exited
			if err := t.fleet.start(host); err != nil {
				return false, err
			}
		}
		time.Sleep(3500 * time.Millisecond)
		for _, f := range t.fleet.fronts {
			q := stream("rare", round, prompt("a0000001", "b0000001"))
			q.model, q.deadline = rare, 2*time.Second
			t.clients.sendTo(f, q)
		}
		p.crash()
		mu.Lock()
		t.say("round %d: %d requests reached the runner, %v after the acknowledgement", round, len(late), late)
		if len(late) > 0 {
			broken++
		}
		mu.Unlock()
	}
	return broken > 0, nil
}
