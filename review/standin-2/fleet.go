package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment of the program under review: three control hosts and some entry
// hosts, each a process of its own with settings as the platform writes them.
type fleet struct {
	dir      string
	zones    []string
	controls []*node
	fronts   []*node

	portFront, portReady, portControl, portDirectory, portPeer int
	// base is the second byte of the loopback addresses, so that two runs do not meet.
	base byte

	client *http.Client
}

// node is one process of the deployment.
type node struct {
	name, zone, ip string
	control        bool
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

// newFleet chooses free ports and writes the settings.
func newFleet(fronts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-standin-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, zones: []string{"za", "zb", "zc"}, client: &http.Client{
		Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	f.base = byte(1 + os.Getpid()%200)
	for i := range 3 {
		f.controls = append(f.controls, &node{name: fmt.Sprintf("core-%s-1", f.zones[i]), zone: f.zones[i], ip: f.ip(i, 1), control: true})
	}
	for i := range fronts {
		z := i % 3
		f.fronts = append(f.fronts, &node{name: fmt.Sprintf("front-%s-%d", f.zones[z], 1+i/3), zone: f.zones[z], ip: f.ip(z, 11+i/3)})
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	for _, n := range f.nodes() {
		if err := f.writeSettings(n, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.base, zone+1, host) }

func (f *fleet) nodes() []*node { return append(append([]*node{}, f.controls...), f.fronts...) }

// choosePorts finds a block of ports that is free on all addresses.
func (f *fleet) choosePorts() error {
	for try := range 50 {
		first := 20000 + (os.Getpid()*37+try*211)%9000
		free := true
		ips := []string{"127.0.0.1"}
		for _, n := range f.nodes() {
			ips = append(ips, n.ip)
		}
		for _, ip := range ips {
			for p := first; p < first+8 && free; p++ {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(p)))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			f.portFront, f.portReady, f.portControl, f.portDirectory, f.portPeer = first, first+1, first+2, first+3, first+4
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

const settingsText = `Node = "%s"
Role = "%s"
MachineClass = "%s"
Serves = [%s]
Ip = "%s"
Zone = "%s"
Region = "thies"
PortRange = [%d,%d]
Seeds = [%s]
FirstStart = %v
CountsAsLoss = %v
%sDiscovery = "registry"
Entry = "directory"
BeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"]
ConfigMode = "highest"

[Zones]
za = "thies"
zb = "thies"
zc = "thies"

[Listen]
%s

[Limits]
CpuShare = %s
Cores = 1
MemoryMb = %d
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = %d

[Tolerate]
Machines = 1
Zones = 0
Regions = 0

[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxStretchMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 54
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
FencingRequired = true
LeaseMs = 3000
ThawSlackMs = 300
CeilingWindowS = 5
CeilingFactor = 1.1
ttl_max_s = 5
`

func (f *fleet) writeSettings(n *node, firstStart bool) error {
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, f.portControl)))
	}
	role, class, serves, data, cpu, memory, disk := "entry", "front", `"front"`, "", "0.4", 284, 0
	listen := fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"", n.ip, f.portFront, n.ip, f.portReady)
	if n.control {
		role, class, serves, cpu, memory, disk = "control", "core", `"control","directory"`, "0.96", 280, 128
		folder := filepath.Join(f.dir, n.name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		data = fmt.Sprintf("DataDir = %q\n", folder)
		listen = fmt.Sprintf("Control = \"%s:%d\"\nDirectory = \"%s:%d\"", n.ip, f.portControl, n.ip, f.portDirectory)
	}
	text := fmt.Sprintf(settingsText, n.name, role, class, serves, n.ip, n.zone, f.portPeer, f.portPeer+3,
		strings.Join(seeds, ","), firstStart, n.control, data, listen, cpu, memory, disk)
	n.settings = filepath.Join(f.dir, n.name+".toml")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/pollenwheel", "platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C.UTF-8", "POLLENWHEEL_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	// The process ends with this one, whatever happens.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return n.cmd != nil
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes() {
		if n.cmd != nil && n.cmd.Process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
			_ = n.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// startAll starts all processes and publishes a configuration, until all entry hosts are ready.
func (f *fleet) startAll(config []byte) error {
	for _, n := range f.nodes() {
		if err := f.start(n); err != nil {
			return err
		}
	}
	// The settings are those of a first start only until then.
	if err := f.publish(config, 15*time.Second); err != nil {
		return err
	}
	for _, n := range f.nodes() {
		if err := f.writeSettings(n, false); err != nil {
			return err
		}
	}
	return f.waitReady(15 * time.Second)
}

// publish sends a configuration until it is acknowledged.
func (f *fleet) publish(config []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		n := f.controls[i%len(f.controls)]
		status, _, err := f.call(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/config", n.ip, f.portControl), config)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, n := range f.fronts {
			status, _, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", n.ip, f.portReady), nil)
			if err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.fronts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all entry hosts became ready")
}

// call makes one call of the platform and returns the status and the body.
func (f *fleet) call(method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	begun time.Time
}

func (r *record) add(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s", time.Since(r.begun).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		_, _ = fmt.Fprintf(r.w, " %v=%v", fields[i], fields[i+1])
	}
	_, _ = fmt.Fprintln(r.w)
}

func toJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
