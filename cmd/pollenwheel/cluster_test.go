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

// TestProcesses guards against a deployment that works only while all hosts run in
// one process. Seven hosts in three data centres serve cold and warm requests, and
// continue to serve while each host is stopped in turn, and while the leader is
// killed, frozen or partitioned by a stalled link.
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
	stopVersionWatch := d.watchVersions()

	d.serveColdAndWarm(ctx)
	d.checkAddressLists()
	d.stopEachHost(ctx)
	d.disturbLeader("killed", func(p *process) { d.kill(p) }, func(p *process) { d.start(p) })
	d.disturbLeader("frozen", func(p *process) { d.sendSignal(p, syscall.SIGSTOP) }, func(p *process) { d.sendSignal(p, syscall.SIGCONT) })
	d.disturbLeader("partitioned", func(p *process) { p.link.setStalled(true) }, func(p *process) { p.link.setStalled(false) })
	stopVersionWatch()
}

// awaitVersion waits until every host is ready with the accepted configuration version.
func (d *deployment) awaitVersion() {
	d.t.Helper()
	for _, p := range d.processes {
		d.await(fmt.Sprintf("version %d on %s", d.acceptedVersion.Load(), p.settings.Host), func() bool {
			r, err := d.readiness(p)
			return err == nil && r.Ready && r.Version == d.acceptedVersion.Load()
		})
	}
}

// serveColdAndWarm sends the first request for one model through each host, and
// then a request for every model through every host.
func (d *deployment) serveColdAndWarm(ctx context.Context) {
	d.t.Helper()
	for i, p := range d.processes {
		if err := d.sendStream(ctx, p, d.models[i], 3); err != nil {
			d.t.Fatalf("cold request through %s: %v", p.settings.Host, err)
		}
	}
	for _, p := range d.processes {
		for _, m := range d.models {
			if err := d.sendStream(ctx, p, m, 3); err != nil {
				d.t.Fatalf("warm request for %s through %s: %v", m, p.settings.Host, err)
			}
		}
	}
}

// checkAddressLists waits until the address list of every host names all hosts,
// beginning with those of the requested data centre.
func (d *deployment) checkAddressLists() {
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

// isListed reports whether any host still lists p for callers. A host other than p
// that does not answer counts as listing it.
func (d *deployment) isListed(p *process) bool {
	for _, other := range d.processes {
		var a host.AddressAnswer
		if err := d.get(other, "/v1/addresses", &a); err != nil && other != p {
			return true
		}
		for _, address := range a.Addresses {
			if address.Host == p.settings.Host {
				return true
			}
		}
	}
	return false
}

// stopEachHost sends SIGTERM to each host in turn while streams run through all
// hosts. No stream may be interrupted.
func (d *deployment) stopEachHost(ctx context.Context) {
	d.t.Helper()
	for _, p := range d.processes {
		results := make(chan error, 3*len(d.processes))
		for i, entry := range d.processes {
			for range 3 {
				go func() { results <- d.sendStream(ctx, entry, d.models[i], 100) }()
			}
		}
		d.await("the streams run", func() bool { return d.runningRequests() >= 3*len(d.processes) })
		d.sendSignal(p, syscall.SIGTERM)
		d.await(p.settings.Host+" is out of the address lists", func() bool { return !d.isListed(p) })
		for range cap(results) {
			if err := <-results; err != nil {
				d.t.Errorf("SIGTERM to %s: a stream was interrupted: %v", p.settings.Host, err)
			}
		}
		if err := <-p.exited; err != nil {
			d.t.Errorf("%s exited with an error: %v", p.settings.Host, err)
		}
		d.start(p)
		d.awaitReady(p)
	}
}

// runningRequests returns the number of requests that the engines run.
func (d *deployment) runningRequests() int {
	n := 0
	for _, e := range d.engines {
		n += e.NextAnnouncement().Load.Running
	}
	return n
}

func (d *deployment) sendSignal(p *process, s syscall.Signal) {
	d.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		var exitErr error
		select {
		case exitErr = <-p.exited:
		default:
		}
		d.t.Fatalf("%s to %s: %v; exit error of the process: %v", s, p.settings.Host, err, exitErr)
	}
}

// kill ends a process with SIGKILL and waits for its exit.
func (d *deployment) kill(p *process) {
	p.down.Store(true)
	p.kills.Add(1)
	d.sendSignal(p, syscall.SIGKILL)
	if err := <-p.exited; err == nil {
		d.t.Errorf("%s exited before it was killed", p.settings.Host)
	}
}

// awaitLeader waits until the status of a host names a leader, and returns its process.
func (d *deployment) awaitLeader() *process {
	d.t.Helper()
	var found *process
	d.await("a leader is known", func() bool {
		for _, p := range d.processes {
			var s admin.StatusAnswer
			if err := d.get(p, "/v1/admin/status", &s); err != nil {
				continue
			}
			for _, candidate := range d.processes {
				if candidate.settings.Host == s.Control.Leader {
					found = candidate
				}
			}
		}
		return found != nil
	})
	return found
}

// hasNewLeader reports whether the status of one of the others names a leader that
// is not old.
func (d *deployment) hasNewLeader(old *process, others []*process) bool {
	for _, p := range others {
		var s admin.StatusAnswer
		if err := d.get(p, "/v1/admin/status", &s); err == nil && s.Control.Leader != "" && s.Control.Leader != old.settings.Host {
			return true
		}
	}
	return false
}

// disturbLeader injects a fault into the leader while requests run, applies a
// change through the other hosts, and removes the fault.
func (d *deployment) disturbLeader(fault string, inject, remove func(*process)) {
	d.t.Helper()
	leader := d.awaitLeader()
	load := d.startCallerLoad(4)
	d.await("requests are served", func() bool { return load.served.Load() > 10 })
	inject(leader)
	var others []*process
	for _, p := range d.processes {
		if p != leader {
			others = append(others, p)
		}
	}
	d.await("another host leads", func() bool { return d.hasNewLeader(leader, others) })
	d.apply(int(d.acceptedVersion.Load())+1, others...)
	before := load.served.Load()
	d.await("requests are served while the leader is "+fault, func() bool { return load.served.Load() > before+50 })
	remove(leader)
	d.awaitReady(leader)
	d.awaitVersion()
	load.stop()
	d.t.Logf("leader %s %s: %d requests served, %d attempts retried, %d requests lost", leader.settings.Host, fault,
		load.served.Load(), load.retried.Load(), load.lost.Load())
}
