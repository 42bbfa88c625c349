package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
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

// leaver is a runner that holds a rare model and leaves.
type leaver struct {
	runner  *runner
	process *process
	mu      sync.Mutex
	// acked is when the leave notice was acknowledged, and late are the times after that at which
	// requests reached the runner.
	acked time.Time
	late  []time.Duration
}

// startLeaver starts a runner that holds one of the rare models.
func (t *trial) startLeaver(held string) (*leaver, error) {
	l := &leaver{runner: t.addRunners("huvo11a", 1)[0]}
	l.runner.onRequest = func(_ *process, _ *http.Request) verdict {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.acked.IsZero() {
			l.late = append(l.late, time.Since(l.acked))
		}
		return serve
	}
	if err := l.runner.start(held); err != nil {
		return nil, err
	}
	l.process = l.runner.current
	return l, nil
}

// leave sends the leave notice to a control host and reports whether it was acknowledged.
func (l *leaver) leave(t *trial, host *node, onAnswer func()) bool {
	conn, err := net.Dial("tcp", net.JoinHostPort(host.ip, strconv.Itoa(t.fleet.portControl)))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	l.process.stopAnnouncing()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "DELETE /v1/instances/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", l.process.id); err != nil {
		return false
	}
	buf := make([]byte, 512)
	n, err := conn.Read(buf)
	if err != nil || n < 12 || string(buf[9:12]) != "200" {
		return false
	}
	onAnswer()
	l.mu.Lock()
	l.acked = time.Now()
	l.mu.Unlock()
	t.rec.add("leave-acknowledged", "runner", l.process.id, "by", host.name)
	return true
}

// leaveAndEnd lets two of fourteen runners leave, which hold a rare model each, and kills the control
// host that acknowledges that right after its first answer. The host comes back after a second.
func leaveAndEnd(t *trial) (bool, error) {
	if _, err := t.startEngines(12); err != nil {
		return false, err
	}
	const rounds = 10
	broken, acknowledged := 0, 0
	for round := range rounds {
		var leavers []*leaver
		for _, held := range []string{rare, rarer} {
			l, err := t.startLeaver(held)
			if err != nil {
				return false, err
			}
			leavers = append(leavers, l)
		}
		time.Sleep(3 * time.Second)
		host := t.fleet.controls[round%len(t.fleet.controls)]
		var once sync.Once
		var wg sync.WaitGroup
		var first atomic.Int64
		for _, l := range leavers {
			wg.Go(func() {
				if l.leave(t, host, func() {
					if t.trouble {
						once.Do(func() { host.signal(syscall.SIGKILL) })
					}
				}) {
					first.Add(1)
				}
			})
		}
		wg.Wait()
		acknowledged += int(first.Load())
		time.Sleep(time.Second)
		if t.trouble {
			<-host.exited
			t.rec.add("killed", "host", host.name)
			if err := t.fleet.start(host); err != nil {
				return false, err
			}
		}
		time.Sleep(3500 * time.Millisecond)
		for i, held := range []string{rare, rarer} {
			for _, f := range t.fleet.fronts {
				q := stream("rare", 10*round+i, prompt("a0000001", "b0000001"))
				q.model, q.deadline = held, 2*time.Second
				t.clients.sendTo(f, q)
			}
			l := leavers[i]
			l.process.crash()
			l.mu.Lock()
			if len(l.late) > 0 {
				broken++
				t.say("round %d: %d requests reached %s, %v after the acknowledgement", round, len(l.late), l.process.id, l.late)
			}
			l.mu.Unlock()
		}
	}
	if acknowledged == 0 {
		return false, fmt.Errorf("no leave notice was acknowledged")
	}
	t.say("%d leave notices were acknowledged; requests reached %d of these runners later than DrainMs after it", acknowledged, broken)
	return broken > 0, nil
}
