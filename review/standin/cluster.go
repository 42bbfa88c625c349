package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// The values of a small deployment, as its settings give them.
const (
	controlHosts     = 3
	entryMemoryMB    = 284
	controlMemoryMB  = 280
	heartbeat        = 1200 * time.Millisecond
	configApply      = 2 * time.Second
	contactWindow    = 3 * time.Second
	processStartWait = 20 * time.Second
	maxDescriptors   = 4100
)

var zones = []string{"waco", "temple", "bryan"}

// host is one process of the product.
type host struct {
	name, ip, zone string
	control        bool
	memoryMB       int

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// cluster is a deployment of the product on loopback addresses.
type cluster struct {
	rec     *record
	root    string
	folder  string
	subnet  string
	port    int
	hosts   []*host
	runners []*runner
	version int
}

// newCluster starts three control hosts and the given number of entry hosts.
func newCluster(rec *record, entryHosts int) (*cluster, error) {
	root, err := filepath.Abs(".")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, folder: folder}
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	for i := range controlHosts {
		c.hosts = append(c.hosts, &host{name: "core-" + zones[i] + "-1", ip: c.ip(i + 1), zone: zones[i], control: true, memoryMB: controlMemoryMB})
	}
	for i := range entryHosts {
		c.hosts = append(c.hosts, &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: c.ip(i + 11), zone: zones[i%len(zones)], memoryMB: entryMemoryMB})
	}
	for _, h := range c.hosts {
		if err := c.startHost(h, true); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// chooseAddresses looks for a subnet of 127.0.0.0/8 and ports that are free.
func (c *cluster) chooseAddresses() error {
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		c.port = 20000 + 40*rand.IntN(250)
		free := true
		for offset := range 24 {
			for _, ip := range []string{c.ip(1), c.ip(11), "127.0.0.1"} {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(c.port+offset)))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (c *cluster) ip(n int) string { return c.subnet + fmt.Sprint(n) }

func (c *cluster) controlAddress(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, c.port+20) }
func (c *cluster) directoryAddress(h *host) string { return fmt.Sprintf("%s:%d", h.ip, c.port+21) }
func (c *cluster) frontAddress(h *host) string     { return fmt.Sprintf("%s:%d", h.ip, c.port+22) }
func (c *cluster) readyAddress(h *host) string     { return fmt.Sprintf("%s:%d", h.ip, c.port+23) }

func (c *cluster) controls() []*host { return c.hosts[:controlHosts] }
func (c *cluster) entries() []*host  { return c.hosts[controlHosts:] }

// entry returns the entry host that client n uses.
func (c *cluster) entry(n int) *host { return c.entries()[n%len(c.entries())] }

// settings returns the settings file of a process.
func (c *cluster) settings(h *host, firstStart bool) string {
	var seeds []string
	for _, x := range c.controls() {
		seeds = append(seeds, `"`+c.controlAddress(x)+`"`)
	}
	var b strings.Builder
	class, serves, listen, data, disk := "front", `"front"`, "", "", 0
	if h.control {
		class, serves, disk = "core", `"control","directory"`, 128
		data = fmt.Sprintf("DataDir = %q\n", filepath.Join(c.folder, h.name))
		listen = fmt.Sprintf("Control = %q\nDirectory = %q\n", c.controlAddress(h), c.directoryAddress(h))
	} else {
		listen = fmt.Sprintf("Front = %q\nReady = %q\n", c.frontAddress(h), c.readyAddress(h))
	}
	fmt.Fprintf(&b, "Node = %q\nRole = %q\nMachineClass = %q\nServes = [%s]\nIp = %q\nZone = %q\nRegion = \"central-tx\"\n", h.name, class, class, serves, h.ip, h.zone)
	fmt.Fprintf(&b, "PortRange = [%d,%d]\nSeeds = [%s]\nFirstStart = %t\nCountsAsLoss = %t\n%s", c.port, c.port+15, strings.Join(seeds, ","), firstStart, h.control, data)
	fmt.Fprintf(&b, "Discovery = \"registry\"\nEntry = \"directory\"\nBeatIntervalMs = 1200\nConfigMode = \"highest\"\n[Listen]\n%s", listen)
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = %d\nMaxFds = %d\nLinkMbps = 1000.0\nDiskMb = %d\n", h.memoryMB, maxDescriptors, disk)
	b.WriteString("[Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\nMaxStretchMs = 5000\nBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 56\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nFencingRequired = true\nLeaseMs = 3000\nThawSlackMs = 300\nCeilingWindowS = 5\nCeilingFactor = 1.1\nttl_max_s = 5\n")
	return b.String()
}

// startHost starts a process with the command of the deploy file.
func (c *cluster) startHost(h *host, firstStart bool) error {
	path := filepath.Join(c.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(c.settings(h, firstStart)), 0o600); err != nil {
		return err
	}
	if h.control {
		if err := os.MkdirAll(filepath.Join(c.folder, h.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(c.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The shell sets the limit of descriptors that the settings name and is replaced by the
	// program.
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" platform`, maxDescriptors), filepath.Join(c.root, "target", "pollenwheel"))
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "POLLENWHEEL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		c.rec.line("%s: process %d has ended: %v", h.name, cmd.Process.Pid, err)
		close(ended)
	}()
	c.rec.line("%s: process %d was started", h.name, cmd.Process.Pid)
	return nil
}

// pid returns the process ID of a host, or zero if its process has ended.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	select {
	case <-h.ended:
		return 0
	default:
		return h.cmd.Process.Pid
	}
}

// kill ends the process of a host as the platform does, and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// stop ends all processes and runners, and removes the folder of the case.
func (c *cluster) stop() {
	for _, x := range c.runners {
		x.crash()
	}
	for _, h := range c.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// newHTTPClient returns a client that opens a connection for each call.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

var operator = newHTTPClient(2 * time.Second)

// publish sends a configuration to the control hosts in turn until one acknowledges it.
func (c *cluster) publish(document map[string]any) error {
	c.version += 3
	document["Version"] = c.version
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	last := error(nil)
	for i, end := 0, time.Now().Add(processStartWait); time.Now().Before(end); i++ {
		h := c.controls()[i%controlHosts]
		req, err := http.NewRequest(http.MethodPut, "http://"+c.controlAddress(h)+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := operator.Do(req)
		if err != nil {
			last = err
			time.Sleep(200 * time.Millisecond)
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.rec.line("operator: configuration %d to %s: %d %s", c.version, h.name, resp.StatusCode, bytes.TrimSpace(answer))
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		if resp.StatusCode < 500 {
			return fmt.Errorf("configuration %d was refused: %s", c.version, answer)
		}
		last = fmt.Errorf("status %d", resp.StatusCode)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged: %w", c.version, last)
}

// waitReady waits until all entry hosts say that they are ready.
func (c *cluster) waitReady() error {
	end := time.Now().Add(processStartWait)
	for _, h := range c.entries() {
		for !c.isReady(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (c *cluster) isReady(h *host) bool {
	resp, err := operator.Get("http://" + c.readyAddress(h) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of a process without the pages of files, in MB.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb := 0.0
			_, _ = fmt.Sscan(strings.TrimSpace(rest), &kb)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory plays the platform: a process that uses more than its MemoryMb is killed and
// is started again after a short delay. It returns when ctx ends. It calls seen with each
// figure in MB, and killed with the one at which the process is killed.
func (c *cluster) limitMemory(ctx context.Context, h *host, killed func(mb float64), seen func(mb float64)) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		pid := h.pid()
		if pid == 0 {
			continue
		}
		mb := residentMB(pid)
		seen(mb)
		if mb <= float64(h.memoryMB) {
			continue
		}
		c.rec.note("platform: %s uses %.0f MB of its %d MB and is killed", h.name, mb, h.memoryMB)
		h.kill()
		killed(mb)
		time.Sleep(500 * time.Millisecond)
		if ctx.Err() == nil {
			if err := c.startHost(h, false); err != nil {
				c.rec.note("platform: %s: %v", h.name, err)
			}
		}
	}
}
