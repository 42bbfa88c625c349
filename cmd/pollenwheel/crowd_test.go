package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenwheel/pollenwheel/platform/platformtest"
)

var crowdsPlayed = flag.Bool("crowds", false, "play the crowds of TestCrowds")

// The limits of the processes that a crowd meets. They are lower than those of a deployment, so
// that a small crowd reaches them. Of the descriptors, some are kept for files.
const (
	crowdEntryMemoryMB   = 128
	crowdControlMemoryMB = 200
	crowdMaxFds          = 500
	crowdReservedFds     = 200
	crowdBodyBytes       = 1 << 20
	crowdHeadBytes       = 16 << 10
)

const (
	// crowdRounds is how often a member of a crowd connects again after its connection was closed.
	crowdRounds = 3
	// crowdBlocked is how long a member waits before it stops sending to a host that does not read,
	// and crowdPause the time between two bytes of a member that sends slowly.
	crowdBlocked = 2 * time.Second
	crowdPause   = 20 * time.Millisecond
	// crowdPatience is how long an ordinary caller waits for an answer, and crowdTries how often it
	// tries.
	crowdPatience = 5 * time.Second
	crowdTries    = 12
)

// crowdDoor is an address that callers can reach, and a request line for it.
type crowdDoor struct {
	name, method, path string
	// port is counted from the first one of a rig.
	port int
	// fields are further header fields.
	fields []string
}

var (
	doorRoute     = crowdDoor{"a route", "POST", "/plain/x", rigFrontPort, nil}
	doorHeld      = crowdDoor{"a route whose server holds requests", "POST", "/held/x", rigFrontPort, nil}
	doorLarge     = crowdDoor{"a route with large answers", "POST", "/large/x", rigFrontPort, nil}
	doorNoRoute   = crowdDoor{"a path without a route", "POST", "/nowhere/x", rigFrontPort, nil}
	doorReady     = crowdDoor{"the readiness check", "GET", "/v1/ready", rigReadyPort, nil}
	doorAnnounce  = crowdDoor{"the announcements", "PUT", platformtest.AnnouncementPath("i-1"), rigControlPort, nil}
	doorConfig    = crowdDoor{"the configuration", "PUT", "/v1/config", rigControlPort, nil}
	doorPeers     = crowdDoor{"the port for other hosts", "PRI", "*", rigPeerPort, nil}
	doorDirectory = crowdDoor{"the directory", "GET", "/v1/resolve?Name=rig.example", rigDirectoryPort, nil}
)

// control reports whether hosts with the control role serve the door.
func (d crowdDoor) control() bool { return d.port == rigControlPort || d.port == rigDirectoryPort }

// head returns the head of a request without the empty line at its end.
func (d crowdDoor) head(id string, fields ...string) string {
	lines := append([]string{
		d.method + " " + d.path + " HTTP/1.1", "Host: " + rigCallerHost, "Request-Id: " + id, "Deadline-Ms: 15000",
	}, append(d.fields, fields...)...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// crowdMember is one connection of a crowd.
type crowdMember struct {
	net.Conn
	door crowdDoor
	id   string
	ctx  context.Context
	// settled tells that the member has done what it came for, but for what it does for ever.
	settled func()
}

// send writes data. It returns false if the host has closed the connection or does not read on.
func (m *crowdMember) send(data []byte) bool {
	_ = m.SetWriteDeadline(time.Now().Add(crowdBlocked))
	_, err := m.Write(data)
	return err == nil
}

// drip writes data byte by byte until the test ends.
func (m *crowdMember) drip(data []byte) {
	m.settled()
	for i := 0; m.ctx.Err() == nil && m.send(data[i%len(data):i%len(data)+1]); i++ {
		sleepOrDone(m.ctx, crowdPause)
	}
}

// shortFields returns header fields of different names, as many as fit into size bytes.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

func lengthField(n int) string { return fmt.Sprint("Content-Length: ", n) }

const chunkedField = "Transfer-Encoding: chunked"

// chunk returns a chunk of n bytes.
func chunk(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// crowd is a number of callers that do the same.
type crowd struct {
	name    string
	members int
	doors   []crowdDoor
	unread  bool
	act     func(m *crowdMember)
}

// Values of crowd.unread, which tells whether the members do not read what they are answered.
const readsAnswers, ignoresAnswers = false, true

var (
	callerDoors = []crowdDoor{doorRoute, doorNoRoute, doorReady}
	allDoors    = []crowdDoor{doorRoute, doorNoRoute, doorReady, doorAnnounce, doorDirectory}
)

// crowds are what callers sent that ended processes of similar systems.
var crowds = []crowd{
	{"bodies in one piece that stop short of their end", 150, allDoors, readsAnswers, func(m *crowdMember) {
		m.send(append([]byte(m.door.head(m.id, lengthField(crowdBodyBytes))+"\r\n"), make([]byte, crowdBodyBytes-1)...))
	}},
	{"bodies in small pieces that stop short of their end", 150, callerDoors, readsAnswers, func(m *crowdMember) {
		ok := m.send([]byte(m.door.head(m.id, lengthField(crowdBodyBytes)) + "\r\n"))
		for sent := 0; ok && sent+700 < crowdBodyBytes; sent += 700 {
			ok = m.send(make([]byte, 700))
		}
	}},
	{"bodies in chunks that stop short of their end", 150, allDoors, readsAnswers, func(m *crowdMember) {
		ok := m.send([]byte(m.door.head(m.id, chunkedField) + "\r\n"))
		for sent := 0; ok && sent+1000 < crowdBodyBytes; sent += 1000 {
			ok = m.send(chunk(1000))
		}
	}},
	{"bodies without end", 50, append(allDoors, doorPeers), readsAnswers, func(m *crowdMember) {
		ok := m.send([]byte(m.door.head(m.id, chunkedField) + "\r\n"))
		for sent := 0; ok && sent < 32*crowdBodyBytes; sent += 1 << 15 {
			ok = m.send(chunk(1 << 15))
		}
	}},
	{"bodies announced far over the limit", 150, callerDoors, readsAnswers, func(m *crowdMember) {
		ok := m.send([]byte(m.door.head(m.id, lengthField(1<<40)) + "\r\n"))
		for sent := 0; ok && sent < 4*crowdBodyBytes; sent += 1 << 15 {
			ok = m.send(make([]byte, 1<<15))
		}
	}},
	{"many short fields in heads without end", 400, allDoors, readsAnswers, func(m *crowdMember) {
		m.send([]byte(m.door.head(m.id) + shortFields(crowdHeadBytes-500)))
	}},
	{"many short fields before bodies that stop short of their end", 400, allDoors, readsAnswers, func(m *crowdMember) {
		m.send([]byte(m.door.head(m.id, lengthField(2)) + shortFields(crowdHeadBytes-500) + "\r\nx"))
	}},
	{"many short fields in requests that wait for their answers", 400, []crowdDoor{doorHeld}, readsAnswers, func(m *crowdMember) {
		m.send([]byte(m.door.head(m.id) + shortFields(crowdHeadBytes-500) + "\r\n"))
	}},
	{"bodies that wait for their answers", 150, []crowdDoor{doorHeld}, readsAnswers, func(m *crowdMember) {
		m.send(append([]byte(m.door.head(m.id, lengthField(crowdBodyBytes))+"\r\n"), make([]byte, crowdBodyBytes)...))
	}},
	{"requests sent ahead", 150, allDoors, ignoresAnswers, func(m *crowdMember) {
		one := []byte(m.door.head(m.id, lengthField(0)) + "\r\n")
		for i := 0; i < 40 && m.send(bytes.Repeat(one, 100)); i++ {
			continue
		}
	}},
	{"large answers that are not read", 150, []crowdDoor{doorLarge}, ignoresAnswers, func(m *crowdMember) {
		m.send(bytes.Repeat([]byte(m.door.head(m.id, lengthField(0))+"\r\n"), 8))
	}},
	{"heads sent slowly", 600, allDoors, readsAnswers, func(m *crowdMember) {
		m.send([]byte(m.door.head(m.id) + "X-Slow: "))
		m.drip([]byte("x"))
	}},
	{"bodies sent slowly", 600, allDoors, readsAnswers, func(m *crowdMember) {
		m.send([]byte(m.door.head(m.id, lengthField(crowdBodyBytes)) + "\r\n"))
		m.drip([]byte("x"))
	}},
	{"heads that stop half-way", 600, append(allDoors, doorPeers), readsAnswers, func(m *crowdMember) { m.send([]byte(m.door.head(m.id)[:30])) }},
	{"connections without a byte", 600, append(allDoors, doorPeers), readsAnswers, func(*crowdMember) {}},
	{"announcements of many short fields", 100, []crowdDoor{doorAnnounce}, readsAnswers, func(m *crowdMember) {
		body := `{"Models":[` + strings.Repeat("{},", crowdBodyBytes/3-10) + `{}]}`
		m.send([]byte(m.door.head(m.id, lengthField(len(body))) + "\r\n" + body))
	}},
	{"configurations of many short fields", 8, []crowdDoor{doorConfig}, readsAnswers, func(m *crowdMember) {
		body := `{"Version":1,"Services":[],"Routes":[` + strings.Repeat("{},", 5<<20) + `{}]}`
		m.send([]byte(m.door.head(m.id, lengthField(len(body))) + "\r\n" + body))
	}},
}

// crowdRun is a crowd in front of one host.
type crowdRun struct {
	t       *testing.T
	address string
	door    crowdDoor
	crowd   crowd
	// members counts those that have not settled, and running those that have not ended.
	members, running sync.WaitGroup
	// refused holds the IDs of requests that were refused with the promise that they never run.
	mu      sync.Mutex
	refused map[string]int
}

// play lets the crowd come and returns once all members have settled. They stay until ctx ends.
func (r *crowdRun) play(ctx context.Context) {
	for i := range r.crowd.members {
		r.members.Add(1)
		settled := sync.OnceFunc(r.members.Done)
		r.running.Go(func() {
			defer settled()
			for round := range crowdRounds {
				r.visit(ctx, fmt.Sprintf("%04x%04x", i, round), settled)
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	r.members.Wait()
}

// visit plays a member on one connection, which it leaves open until the host closes it or ctx
// ends.
func (r *crowdRun) visit(ctx context.Context, id string, settled func()) {
	conn, err := (&net.Dialer{Timeout: crowdBlocked}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	r.crowd.act(&crowdMember{Conn: conn, door: r.door, id: id, ctx: ctx, settled: settled})
	settled()
	if r.crowd.unread {
		<-ctx.Done()
		return
	}
	r.readAnswers(conn, id)
}

// readAnswers reads answers until the connection is closed.
func (r *crowdRun) readAnswers(conn net.Conn, id string) {
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		switch resp.StatusCode {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			r.mu.Lock()
			r.refused[id] = resp.StatusCode
			r.mu.Unlock()
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return
		}
	}
}

// check plays the crowd in front of a process, and an ordinary caller while the crowd stays and
// after it, and checks what the process has used at most.
func (r *crowdRun) check(pid, memoryMB int, ordinary func()) {
	var usage crowdUsage
	var watching sync.WaitGroup
	ended := make(chan struct{})
	watching.Go(func() { usage.watch(pid, ended) })
	ctx, leave := context.WithCancel(r.t.Context())
	r.play(ctx)
	ordinary()
	leave()
	r.running.Wait()
	ordinary()
	close(ended)
	watching.Wait()
	r.t.Logf("at most %d descriptors and %d MB", usage.descriptors, usage.memoryMB)
	if most := crowdMaxFds - crowdReservedFds; usage.descriptors > most {
		r.t.Errorf("%d descriptors, want at most %d", usage.descriptors, most)
	}
	if usage.memoryMB > memoryMB {
		r.t.Errorf("%d MB of memory, want at most %d", usage.memoryMB, memoryMB)
	}
}

// crowdCluster is a rig with one entry host.
type crowdCluster struct {
	*rigCluster
	client *http.Client
	mu     sync.Mutex
	// ran holds the IDs of the requests that the backend server has begun to run.
	ran map[string]bool
}

// newCrowdCluster starts the processes and returns once the entry host serves requests.
func newCrowdCluster(t *testing.T, binary string) *crowdCluster {
	c := &crowdCluster{rigCluster: newRigCluster(t, binary, t.TempDir(), 1, 1), ran: map[string]bool{}, client: &http.Client{
		Timeout: crowdPatience, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	c.entryMemoryMB, c.controlMemoryMB, c.maxFds = crowdEntryMemoryMB, crowdControlMemoryMB, crowdMaxFds
	for _, h := range c.hosts {
		c.start(h, true, rigStarted)
	}
	t.Cleanup(c.close)
	c.startServer(rigPlainService, 0)
	c.startServer(crowdHeldService, 1)
	c.publish(t.Context())
	(&rigRun{rigCluster: c.rigCluster}).awaitReady(t.Context())
	c.awaitServers(t.Context())
	return c
}

// awaitServers waits until the entry host knows the backend servers.
func (c *crowdCluster) awaitServers(ctx context.Context) {
	deadline := time.Now().Add(waitLimit)
	for n := 0; c.send(ctx, doorRoute, c.entries()[0], fmt.Sprintf("eeee%08x", n)) != http.StatusOK; n++ {
		if time.Now().After(deadline) {
			c.t.Fatalf("no request was served within %s of the start", waitLimit)
		}
		sleepOrDone(ctx, crowdPause)
	}
}

// crowdHeldService is the service whose server answers no request.
const crowdHeldService = "held"

// startServer starts the backend server of a service.
func (c *crowdCluster) startServer(service string, number int) {
	server, err := platformtest.Start(c.t.Context(), platformtest.Options{
		Name: fmt.Sprint("i-", service), Service: service, Zone: testDataCentres[0], Address: fmt.Sprintf("%s:%d", c.ip(rigFirstServerIP+number), c.port+rigServerPort),
		ControlHosts: func() []string { return c.controlAddresses(0) }, Interval: rigAnnounceInterval,
		Hold: func(string) bool { return service == crowdHeldService },
		Padding: func(path string) int {
			if strings.HasPrefix(path, "/large/") {
				return crowdBodyBytes
			}
			return 0
		},
		Ran: func(id string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ran[id] = true
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = server.Close() })
}

// publish sends the configuration until a control host has acknowledged it.
func (c *crowdCluster) publish(ctx context.Context) {
	d := rigDocument{Version: 1, Limits: rigLimits{crowdHeadBytes, crowdBodyBytes, 3000, 15000}, Services: []rigService{
		{Name: rigPlainService, HealthPath: "/health", MaxConns: 410, Protocol: "h1"}, {Name: crowdHeldService, HealthPath: "/health", MaxConns: 410, Protocol: "h1"},
	}}
	for name, service := range map[string]string{"plain": rigPlainService, "large": rigPlainService, "held": crowdHeldService} {
		r := rigPlainRoute(name, service, 1)
		r.Kind, r.TimeoutMs = "unsafe", 20000
		d.Routes = append(d.Routes, r)
	}
	o := newRigOperator(c.rigCluster, 0, 1, 0, 0)
	change := o.prepare(false, func(int, uint64) (uint64, []byte) { return 1, mustMarshal(d) })
	o.deliver(ctx, change)
}

// awaitOrdinary sends the ordinary request of a caller of a door, again and again, until it is
// answered.
func (c *crowdCluster) awaitOrdinary(ctx context.Context, door crowdDoor, h *rigHost) {
	doors := []crowdDoor{door}
	if !door.control() {
		doors = []crowdDoor{doorReady, doorRoute}
	}
	if door.port == rigControlPort {
		doors = []crowdDoor{{"the configuration", "GET", "/v1/config", rigControlPort, nil}}
	}
	for i, d := range doors {
		status := 0
		for try := 0; status != http.StatusOK; try++ {
			if try == crowdTries {
				c.t.Errorf("an ordinary request to %s was not answered in %d tries, last status %d", d.name, try, status)
				return
			}
			status = c.send(ctx, d, h, fmt.Sprintf("ffff%02x%06x", i, try))
			sleepOrDone(ctx, crowdPause)
		}
	}
}

// send sends a request and returns the status of its complete answer, or 0.
func (c *crowdCluster) send(ctx context.Context, d crowdDoor, h *rigHost, id string) int {
	req, err := http.NewRequestWithContext(ctx, d.method, "http://"+c.address(h, d.port)+d.path, strings.NewReader("ordinary"))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = rigCallerHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// crowdUsage is the highest use of a process. Memory is in MiB, as in the settings.
type crowdUsage struct{ descriptors, memoryMB int }

// watch records the highest use of a process until done is closed.
func (u *crowdUsage) watch(pid int, done <-chan struct{}) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			u.descriptors = max(u.descriptors, len(entries))
		}
		u.memoryMB = max(u.memoryMB, statusMiB(pid, "VmHWM:"))
		select {
		case <-done:
			return
		case <-time.After(crowdPause):
		}
	}
}

// TestCrowds guards against callers that end a process, or shut out others, by what they send or
// do not read: a process must live, stay within its memory and descriptors, and serve ordinary
// callers, and what it refuses must not have run.
func TestCrowds(t *testing.T) {
	if !*crowdsPlayed {
		t.Skip("runs apart from other load, with -crowds")
	}
	binary := buildBinary(t)
	for _, one := range crowds {
		for _, door := range one.doors {
			t.Run(one.name+" at "+door.name, func(t *testing.T) { playCrowd(t, binary, one, door) })
		}
	}
}

func playCrowd(t *testing.T, binary string, one crowd, door crowdDoor) {
	c := newCrowdCluster(t, binary)
	h, memoryMB := c.entries()[0], crowdEntryMemoryMB
	if door.control() {
		h, memoryMB = c.controls()[0], crowdControlMemoryMB
	}
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	limit := unix.Rlimit{Cur: crowdMaxFds, Max: crowdMaxFds}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	r := &crowdRun{t: t, address: c.address(h, door.port), door: door, crowd: one, refused: map[string]int{}}
	r.check(pid, memoryMB, func() { c.awaitOrdinary(t.Context(), door, h) })
	if n := h.incarnation(); n != 1 {
		t.Errorf("%s was started %d times, want once", h.name(), n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range r.refused {
		if c.ran[id] {
			t.Errorf("request %s ran and was answered %d", id, status)
		}
	}
}
