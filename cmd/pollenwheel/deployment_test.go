package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/host"
	"github.com/pollenwheel/pollenwheel/node/settings"
	"github.com/pollenwheel/pollenwheel/standin/engine"
	"github.com/pollenwheel/pollenwheel/standin/plain"
)

// waitLimit limits every wait, so that a test fails instead of hanging.
const waitLimit = 90 * time.Second

const (
	operatorKey = "operator-key"
	callerKey   = "caller-key"
)

var testDataCentres = []string{"waco", "temple", "bryan"}

// process is one pollenwheel process and its settings.
type process struct {
	settings     settings.Settings
	settingsFile string
	binary       string
	log          *os.File
	cmd          *exec.Cmd
	exited       chan error
	// link forwards the connections of other hosts to the peer address of a control
	// host. It is nil without the control role.
	link *forwarder
	// starts is the number of starts of the process; versionAtStart is the highest
	// configuration version that was accepted before the latest start.
	starts         atomic.Int64
	versionAtStart atomic.Uint64
	// kills is the number of SIGKILLs sent; down is set by kill, and cleared by
	// killLeader when the process is ready again.
	kills atomic.Int64
	down  atomic.Bool
}

// deployment is a set of pollenwheel processes with stand-in engines.
type deployment struct {
	t         *testing.T
	processes []*process
	engines   []*engine.Engine
	client    *http.Client
	// acceptedVersion is the highest configuration version that an answer reported.
	acceptedVersion atomic.Uint64
	models          []string
	// adjust, if set, changes the configuration before it is applied.
	adjust func(*config.Configuration)
	// plainFaults are the faults of the plain servers.
	plainFaults plain.Faults
}

func buildBinary(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pollenwheel")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// freeAddresses returns n addresses with ports that the kernel chose. Their IP is
// a loopback address derived from the process id, because an outgoing connection may
// take a port that is free on 127.0.0.1 before a host listens on it.
func freeAddresses(t testing.TB, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		// All listeners stay open until the last port is chosen, so that no port
		// is chosen twice.
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// newDeployment starts hosts in three data centres. The first controlHosts hosts have
// the control role.
func newDeployment(t *testing.T, hosts int) *deployment {
	return newLimitedDeployment(t, hosts, func(*settings.Settings) {})
}

// newLimitedDeployment starts hosts like newDeployment, whose settings limit changes.
func newLimitedDeployment(t *testing.T, hosts int, limit func(*settings.Settings)) *deployment {
	d := &deployment{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	binary, folder := buildBinary(t), t.TempDir()
	addresses := freeAddresses(t, 2*hosts)
	var peers, voters []settings.Peer
	for i := range hosts {
		p := &process{binary: binary, settingsFile: filepath.Join(folder, fmt.Sprintf("host-%d.ini", i))}
		p.settings = settings.Settings{
			Host: fmt.Sprintf("host-%d", i), DataCentre: testDataCentres[i%len(testDataCentres)],
			CallerAddress: addresses[2*i], PeerAddress: addresses[2*i+1], AddressListTTL: time.Second,
			BootstrapKeySHA256: admin.HashKey(operatorKey), LogLevel: settings.LogInfo,
		}
		if i < controlHosts {
			p.settings.Control = true
			p.settings.DataFolder = filepath.Join(folder, p.settings.Host)
			p.link = newForwarder(t, p.settings.PeerAddress)
			p.settings.AdvertisedPeerAddress = p.link.address()
			voter := settings.Peer{Name: p.settings.Host, Address: p.link.address()}
			voters, peers = append(voters, voter), append(peers, voter)
		}
		d.processes = append(d.processes, p)
	}
	for _, p := range d.processes {
		p.settings.Peers = peers
		if p.settings.Control {
			p.settings.Voters = voters
		}
		limit(&p.settings)
		if err := os.WriteFile(p.settingsFile, settings.Format(p.settings), 0o600); err != nil {
			t.Fatal(err)
		}
		d.start(p)
	}
	t.Cleanup(d.close)
	for i := range hosts {
		d.models = append(d.models, fmt.Sprintf("model-%d", i))
	}
	return d
}

func (d *deployment) start(p *process) {
	d.t.Helper()
	var err error
	if p.log == nil {
		if p.log, err = os.Create(p.settingsFile + ".log"); err != nil {
			d.t.Fatal(err)
		}
	}
	p.versionAtStart.Store(d.acceptedVersion.Load())
	p.cmd = exec.Command(p.binary, "run", p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p.starts.Add(1)
	cmd, exited := p.cmd, make(chan error, 1)
	p.exited = exited
	go func() { exited <- cmd.Wait() }()
}

// close ends all processes, and prints their logs if the test has failed.
func (d *deployment) close() {
	for _, e := range d.engines {
		_ = e.Close()
	}
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	if !d.t.Failed() {
		return
	}
	for _, p := range d.processes {
		data, err := os.ReadFile(p.log.Name())
		if err == nil {
			d.t.Logf("log of %s:\n%s", p.settings.Host, data)
		}
	}
}

// startEngines starts n engines, each of which begins its announcements with another
// host.
func (d *deployment) startEngines(ctx context.Context, n int) {
	d.t.Helper()
	for i := range n {
		var hosts []string
		for _, p := range d.processes {
			hosts = append(hosts, p.settings.CallerAddress)
		}
		e, err := engine.Start(ctx, engine.Options{
			Name: fmt.Sprintf("engine-%d", i), Service: "lace-assist", DataCentre: testDataCentres[i%len(testDataCentres)],
			Listen: "127.0.0.1:0", Hosts: append(hosts[i%len(hosts):], hosts[:i%len(hosts)]...),
			MemoryMiB: 80_000, ChecksFencing: true, LoadTime: 50 * time.Millisecond, TokenTime: 20 * time.Millisecond,
		})
		if err != nil {
			d.t.Fatal(err)
		}
		d.engines = append(d.engines, e)
	}
}

// await waits until condition returns true. If the wait limit passes, the test fails
// with the description of the condition.
func (d *deployment) await(description string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("waited %s for: %s", waitLimit, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get sends a GET request to a host and decodes the answer into out.
func (d *deployment) get(p *process, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.CallerAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// readiness returns the answer of a host about its readiness and its configuration
// version.
func (d *deployment) readiness(p *process) (out host.ReadyAnswer, err error) {
	err = d.get(p, "/readyz", &out)
	return out, err
}

func (d *deployment) awaitReady(p *process) {
	d.t.Helper()
	d.await(p.settings.Host+" is ready", func() bool {
		r, err := d.readiness(p)
		return err == nil && r.Ready
	})
}

// configuration returns the configuration of a generation. The deployment name
// differs between generations, so that applying each one changes something.
func (d *deployment) configuration(generation int) config.Configuration {
	c := config.Configuration{
		Deployment: config.Deployment{Name: fmt.Sprintf("test-%d", generation), ColdStartWeight: 1, IdleHourWeight: 1},
		Services:   []config.Service{{Name: "lace-assist", Kind: config.KindEngine}},
		Callers: []config.Caller{
			{Name: "operators", Team: "platform", Role: config.RoleOperator, KeySHA256: admin.HashKey(operatorKey)},
			{Name: "lace", Team: "lace", Role: config.RoleCaller, KeySHA256: admin.HashKey(callerKey)},
		},
	}
	for _, name := range d.models {
		c.Models = append(c.Models, config.Model{
			Name: name, Service: "lace-assist", Version: "1", MemoryMiB: 8_000, KVMiB: 2_000, MaxReplicas: 2, QueueLimit: 100,
		})
	}
	if d.adjust != nil {
		d.adjust(&c)
	}
	return c
}

// apply sends one change through the hosts in turn until it is accepted.
func (d *deployment) apply(generation int, through ...*process) {
	d.t.Helper()
	expected := d.acceptedVersion.Load()
	c := d.configuration(generation)
	body, err := json.Marshal(admin.ApplyRequest{ChangeID: fmt.Sprintf("change-%d", generation), Expected: &expected, Configuration: &c})
	if err != nil {
		d.t.Fatal(err)
	}
	var version uint64
	attempt := 0
	d.await(fmt.Sprintf("change %d is accepted", generation), func() bool {
		p := through[attempt%len(through)]
		attempt++
		version, err = d.postConfiguration(p, body)
		return err == nil
	})
	if version != expected+1 {
		d.t.Fatalf("change %d has version %d after version %d", generation, version, expected)
	}
	d.acceptedVersion.Store(version)
}

// postConfiguration sends a change to a host and returns the version that the change
// got. A conflict fails the test, because only the test applies changes.
func (d *deployment) postConfiguration(p *process, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/admin/configuration", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusConflict {
		d.t.Errorf("a change was refused with a conflict: %s", data)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("change not accepted: status %d, body %s", resp.StatusCode, data)
	}
	var a admin.ApplyAnswer
	err = json.Unmarshal(data, &a)
	return a.Version, err
}
