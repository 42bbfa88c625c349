package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"

	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/host"
)

const controlHosts = 3

// TestProcesses guards against a deployment that works only in one process:
// seven hosts over three data centres serve cold and warm requests, and go on
// while each host stops, and while the control leader is killed, frozen or cut
// off by a link that stalls.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(t, 7)
	for _, p := range d.processes {
		d.awaitReady(p)
	}
	d.startEngines(ctx, 3)
	d.apply(1, d.processes...)
	d.awaitVersion()
	stopWatch := d.watchVersions()

	d.serveColdAndWarm(ctx)
	d.checkAddresses()
	d.stopEachHost(ctx)
	d.disturbLeader("killed", func(p *process) { d.kill(p) }, func(p *process) { d.start(p) })
	d.disturbLeader("frozen", func(p *process) { d.signal(p, syscall.SIGSTOP) }, func(p *process) { d.signal(p, syscall.SIGCONT) })
	d.disturbLeader("cut off", func(p *process) { p.link.stall(true) }, func(p *process) { p.link.stall(false) })
	stopWatch()
}

func (d *deployment) awaitVersion() {
	d.t.Helper()
	for _, p := range d.processes {
		d.await(fmt.Sprintf("version %d on %s", d.accepted.Load(), p.settings.Host), func() bool {
			r, err := d.readiness(p)
			return err == nil && r.Ready && r.Version == d.accepted.Load()
		})
	}
}

// serveColdAndWarm sends the first request for a model through each host, and
// then one for every model through every host.
func (d *deployment) serveColdAndWarm(ctx context.Context) {
	d.t.Helper()
	for i, p := range d.processes {
		if err := d.stream(ctx, p, d.models[i], 3); err != nil {
			d.t.Fatalf("cold request through %s: %v", p.settings.Host, err)
		}
	}
	for _, p := range d.processes {
		for _, m := range d.models {
			if err := d.stream(ctx, p, m, 3); err != nil {
				d.t.Fatalf("warm request for %s through %s: %v", m, p.settings.Host, err)
			}
		}
	}
}

func (d *deployment) checkAddresses() {
	d.t.Helper()
	for _, p := range d.processes {
		d.await(p.settings.Host+" lists all hosts, those of bryan first", func() bool {
			var a host.AddressAnswer
			if err := d.get(p, "/v1/addresses?data_centre=bryan", &a); err != nil || len(a.Addresses) != len(d.processes) {
				return false
			}
			return a.KeepSeconds == 1 && a.Addresses[0].DataCentre == "bryan" && a.Addresses[1].DataCentre == "bryan"
		})
	}
}

// listed reports whether any host but p lists p for callers.
func (d *deployment) listed(p *process) bool {
	for _, other := range d.processes {
		var a host.AddressAnswer
		if err := d.get(other, "/v1/addresses", &a); err != nil && other != p {
			return true
		}
		for _, x := range a.Addresses {
			if x.Host == p.settings.Host {
				return true
			}
		}
	}
	return false
}

// stopEachHost sends SIGTERM to each host in turn while streams run through all
// of them. None may be cut.
func (d *deployment) stopEachHost(ctx context.Context) {
	d.t.Helper()
	for _, p := range d.processes {
		results := make(chan error, 3*len(d.processes))
		for i, through := range d.processes {
			for range 3 {
				go func() { results <- d.stream(ctx, through, d.models[i], 100) }()
			}
		}
		d.await("the streams run", func() bool { return d.running() >= 3*len(d.processes) })
		d.signal(p, syscall.SIGTERM)
		d.await(p.settings.Host+" is out of the address lists", func() bool { return !d.listed(p) })
		for range cap(results) {
			if err := <-results; err != nil {
				d.t.Errorf("SIGTERM to %s: a stream was cut: %v", p.settings.Host, err)
			}
		}
		if err := <-p.exited; err != nil {
			d.t.Errorf("%s ended with %v", p.settings.Host, err)
		}
		d.start(p)
		d.awaitReady(p)
	}
}

// running is the number of requests that the engines run.
func (d *deployment) running() int {
	n := 0
	for _, e := range d.engines {
		n += e.Announcement().Load.Running
	}
	return n
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	d.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		var exit error
		select {
		case exit = <-p.exited:
		default:
		}
		d.t.Fatalf("%s to %s: %v; the process had ended with: %v", s, p.settings.Host, err, exit)
	}
}

func (d *deployment) kill(p *process) {
	p.down.Store(true)
	p.killed.Add(1)
	d.signal(p, syscall.SIGKILL)
	if err := <-p.exited; err == nil {
		d.t.Errorf("%s ended by itself before it was killed", p.settings.Host)
	}
}

// leader returns the process that a host of the majority believes to lead.
func (d *deployment) leader() *process {
	d.t.Helper()
	var out *process
	d.await("a leader is known", func() bool {
		for _, p := range d.processes {
			var s admin.StatusAnswer
			if err := d.get(p, "/v1/admin/status", &s); err != nil {
				continue
			}
			for _, x := range d.processes {
				if x.settings.Host == s.Control.Leader {
					out = x
				}
			}
		}
		return out != nil
	})
	return out
}

// otherLeads reports whether one of the others knows a leader that is not old.
func (d *deployment) otherLeads(old *process, others []*process) bool {
	for _, p := range others {
		var s admin.StatusAnswer
		if err := d.get(p, "/v1/admin/status", &s); err == nil && s.Control.Leader != "" && s.Control.Leader != old.settings.Host {
			return true
		}
	}
	return false
}

// disturbLeader breaks the leader while requests run, applies a change through
// the other hosts, and ends the fault.
func (d *deployment) disturbLeader(fault string, begin, end func(*process)) {
	d.t.Helper()
	leader := d.leader()
	load := d.startCallers(4)
	d.await("requests are served", func() bool { return load.served.Load() > 10 })
	begin(leader)
	var others []*process
	for _, p := range d.processes {
		if p != leader {
			others = append(others, p)
		}
	}
	d.await("another host leads", func() bool { return d.otherLeads(leader, others) })
	d.apply(int(d.accepted.Load())+1, others...)
	before := load.served.Load()
	d.await("requests are served while the leader is "+fault, func() bool { return load.served.Load() > before+50 })
	end(leader)
	d.awaitReady(leader)
	d.awaitVersion()
	load.stop()
	d.t.Logf("leader %s %s: %d requests served, %d tries repeated, %d lost", leader.settings.Host, fault,
		load.served.Load(), load.retried.Load(), load.lost.Load())
}
