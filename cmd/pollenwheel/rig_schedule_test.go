package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Faults of the rig, beside those of the soak.
const (
	// faultHangup replaces the settings file, whose seeds change, and sends SIGHUP.
	faultHangup soakFault = "settings changed, hung up"
	// faultKillHangup kills a process and sends SIGHUP to its successor shortly after its
	// start.
	faultKillHangup soakFault = "killed, hung up after its start"
	// faultEmpty kills processes and empties their data folders.
	faultEmpty soakFault = "killed, disk emptied"
	// faultEmptyKillCore and faultEmptyKillAll also kill the other control hosts, or all
	// other processes, at the same moment.
	faultEmptyKillCore soakFault = "killed, disk emptied, all other control hosts killed"
	faultEmptyKillAll  soakFault = "killed, disk emptied, all other processes killed"
	faultKillCore      soakFault = "all control hosts killed"
	faultKillAll       soakFault = "all processes killed"
	// faultReplace and faultReplaceStopped put an empty machine at another address in the
	// place of a control host, which is killed or stopped as planned.
	faultReplace        soakFault = "killed, replaced by an empty machine"
	faultReplaceStopped soakFault = "stopped, replaced by an empty machine"
)

// rigScene is one entry of the schedule of a seed.
type rigScene struct {
	at, duration time.Duration
	fault        soakFault
	hosts        []int
}

func (s rigScene) describe(c *rigCluster) string {
	names := ""
	for _, i := range s.hosts {
		names += " " + c.hosts[i].name()
	}
	return fmt.Sprintf("%7.3f%s: %s, for %s", s.at.Seconds(), names, s.fault, s.duration.Round(time.Millisecond))
}

const (
	// rigSceneMargin covers the time that a start takes. A stop takes up to the grace
	// period; that of a control host takes less.
	rigSceneMargin = 500 * time.Millisecond
	rigCoreStop    = 2 * time.Second
	rigFirstScene  = time.Second
)

// rigSchedule makes the schedule of a seed.
type rigSchedule struct {
	rng    *rand.Rand
	length time.Duration
	// replaceShare is the share, in percent, of the scenes of the core that replace hosts.
	replaceShare int
	// lostUntil is until when a control host counts as lost: for rigCatchUp after its
	// fault.
	lostUntil [rigControls]time.Duration
	scenes    []rigScene
}

// rigReplaceDraw is the draw of a scene that replaces control hosts.
const rigReplaceDraw = 100

// newRigSchedule returns the scenes of a seed in the order of their beginning. No more control
// hosts are lost at the same time than tolerated, unless all are killed at once.
func newRigSchedule(seed uint64, length time.Duration, entries, replaceShare int) []rigScene {
	s := &rigSchedule{rng: rand.New(rand.NewPCG(seed, 0)), length: length, replaceShare: replaceShare}
	for at := rigFirstScene; at < length; at += s.coreGap() {
		s.addCoreScene(at)
	}
	core := s.scenes
	s.scenes = nil
	s.addEntryScenes(entries)
	return mergeScenes(core, s.scenes)
}

// mergeScenes merges two lists in the order of their beginning.
func mergeScenes(a, b []rigScene) []rigScene {
	var out []rigScene
	for len(a) > 0 && len(b) > 0 {
		if a[0].at <= b[0].at {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}

// between returns a random duration.
func (s *rigSchedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// coreGap returns the time from the beginning of one fault in the core to that of the next:
// short, or long enough for hosts to get in touch again.
func (s *rigSchedule) coreGap() time.Duration {
	if s.rng.IntN(100) < 40 {
		return s.between(300*time.Millisecond, 2*time.Second)
	}
	return s.between(5*time.Second, 9*time.Second)
}

func (s *rigSchedule) lostAt(at time.Duration) int {
	n := 0
	for _, until := range s.lostUntil {
		if until > at {
			n++
		}
	}
	return n
}

// addCoreScene adds a fault of control hosts, or nothing where more hosts would be lost than
// tolerated.
func (s *rigSchedule) addCoreScene(at time.Duration) {
	scene := rigScene{at: at}
	lost, count := s.lostAt(at), 1+s.rng.IntN(rigTolerated)
	var free []int
	for _, i := range s.rng.Perm(rigControls) {
		if s.lostUntil[i] <= at {
			free = append(free, i)
		}
	}
	n := s.rng.IntN(100)
	if s.replaceShare > 0 && s.rng.IntN(100) < s.replaceShare {
		n = rigReplaceDraw
	}
	switch {
	case n == rigReplaceDraw:
		scene.fault, scene.duration = faultReplace, s.between(200*time.Millisecond, 2*time.Second)
		if s.rng.IntN(2) == 0 {
			scene.fault, count = faultReplaceStopped, 1
		}
	case n < 10:
		scene.fault, scene.hosts = faultHangup, []int{s.rng.IntN(rigControls)}
		s.scenes = append(s.scenes, scene)
		return
	case lost == 0 && n < 25:
		scene.fault, count, scene.duration = faultKillCore, rigControls, s.between(100*time.Millisecond, 900*time.Millisecond)
	case lost == 0 && n < 32:
		scene.fault, count, scene.duration = faultKillAll, rigControls, s.between(100*time.Millisecond, 900*time.Millisecond)
	case lost == 0 && n < 50:
		scene.fault, scene.duration = faultEmpty, s.between(200*time.Millisecond, 2*time.Second)
	case n < 72:
		scene.fault, scene.duration = faultFreeze, s.between(200*time.Millisecond, 6*time.Second)
	case n < 80:
		scene.fault, count, scene.duration = faultStop, 1, s.between(200*time.Millisecond, time.Second)
	default:
		scene.fault, scene.duration = faultKill, s.between(200*time.Millisecond, 3*time.Second)
	}
	if count < rigControls {
		count = min(count, rigTolerated-lost)
	}
	if count < 1 {
		return
	}
	scene.hosts = free[:count]
	s.markLost(scene)
	s.scenes = append(s.scenes, scene)
}

func (s *rigSchedule) markLost(scene rigScene) {
	end := scene.at + scene.duration + rigSceneMargin + rigCatchUp
	if scene.fault == faultStop || scene.fault == faultReplaceStopped {
		end += rigCoreStop
	}
	for _, i := range scene.hosts {
		s.lostUntil[i] = end
	}
}

// rigEntryFaults are the faults of single entry hosts.
var rigEntryFaults = []soakFault{faultKill, faultFreeze, faultStop, faultHangup, faultKillHangup}

// addEntryScenes adds faults of entry hosts. Those of one host don't overlap.
func (s *rigSchedule) addEntryScenes(entries int) {
	busy := make([]time.Duration, entries)
	pause := 6 * time.Second / time.Duration(max(1, entries))
	for at := rigFirstScene; at < s.length; at += s.between(pause/4, 2*pause) {
		i := s.rng.IntN(entries)
		if busy[i] > at {
			continue
		}
		scene := rigScene{at: at, hosts: []int{rigControls + i}, duration: s.between(200*time.Millisecond, 4*time.Second)}
		scene.fault = rigEntryFaults[s.rng.IntN(len(rigEntryFaults))]
		busy[i] = at + scene.duration + rigGrace
		s.scenes = append(s.scenes, scene)
	}
}

// rigFinalFaults are the faults that may end a run.
var rigFinalFaults = []soakFault{faultKillAll, faultEmpty, faultEmptyKillCore, faultEmptyKillAll, faultKillCore}

// newFinalScene returns the fault that ends the run of a seed.
func newFinalScene(seed uint64) rigScene {
	rng := rand.New(rand.NewPCG(seed, 3))
	scene := rigScene{fault: rigFinalFaults[int(seed)%len(rigFinalFaults)], duration: time.Duration(100+rng.IntN(800)) * time.Millisecond}
	scene.hosts = rng.Perm(rigControls)
	if scene.fault != faultKillAll && scene.fault != faultKillCore {
		scene.hosts = scene.hosts[:rigTolerated]
	}
	return scene
}

// takesMost reports whether a fault takes most of the control hosts.
func (s rigScene) takesMost() bool { return s.fault != faultEmpty }

// inject plays the scenes of a schedule, each at its time after begin.
func (c *rigCluster) inject(ctx context.Context, scenes []rigScene) {
	begin := time.Now()
	var group sync.WaitGroup
	for _, s := range scenes {
		sleepOrDone(ctx, time.Until(begin.Add(s.at)))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { c.play(s) })
	}
	group.Wait()
}

// play injects the fault of a scene and ends it.
func (c *rigCluster) play(s rigScene) {
	hosts := make([]*rigHost, 0, len(c.hosts))
	for _, i := range s.hosts {
		hosts = append(hosts, c.hosts[i])
	}
	switch s.fault {
	case faultHangup:
		c.hangUp(hosts[0])
		return
	case faultFreeze:
		c.freeze(hosts, s.duration)
		return
	case faultStop:
		c.stop(hosts[0])
	case faultKillHangup:
		c.kill(hosts[0])
		defer c.hangUpAfter(hosts[0], s.duration/rigHangupShare)
	case faultKill, faultKillCore:
		c.killAll(hosts)
	case faultKillAll:
		hosts = c.hosts
		c.killAll(hosts)
	case faultEmpty, faultEmptyKillCore, faultEmptyKillAll:
		hosts = c.empty(s)
	case faultReplace:
		c.killAll(hosts)
		c.replaceAll(hosts)
	case faultReplaceStopped:
		c.stop(hosts[0])
		c.replaceAll(hosts)
	}
	time.Sleep(s.duration)
	for _, h := range hosts {
		c.start(h, false, rigStarted)
	}
}

// empty kills the hosts of a scene, and the others that its fault names, and empties the data
// folders of the former. It returns all hosts that it killed.
func (c *rigCluster) empty(s rigScene) []*rigHost {
	var hosts []*rigHost
	for i, h := range c.hosts {
		named := slices.Contains(s.hosts, i)
		if named || s.fault == faultEmptyKillCore && h.control || s.fault == faultEmptyKillAll {
			hosts = append(hosts, h)
		}
	}
	c.killAll(hosts)
	for _, i := range s.hosts {
		c.emptyDisk(c.hosts[i])
	}
	return hosts
}

// hangUp changes the settings file of a host and tells its process.
func (c *rigCluster) hangUp(h *rigHost) {
	if err := c.writeSettings(h, false); err != nil {
		c.t.Errorf("settings of %s: %v", h.name(), err)
		return
	}
	c.log(h.name(), string(faultHangup), nil)
	h.signal(syscall.SIGHUP, false)
}

// rigHangupShare makes the time from a start to a hang-up of up to 0.2 s from the duration of
// a scene.
const rigHangupShare = 20

// hangUpAfter hangs a host up after a while.
func (c *rigCluster) hangUpAfter(h *rigHost, while time.Duration) {
	time.Sleep(while)
	c.hangUp(h)
}

// TestRigSchedule guards against a schedule that loses more control hosts, or more disks, than
// the rules allow, which would show violations that are none.
func TestRigSchedule(t *testing.T) {
	seen := map[soakFault]bool{}
	for seed := range uint64(200) {
		type loss struct{ from, until time.Duration }
		lost := map[int]loss{}
		for _, s := range newRigSchedule(seed, time.Minute, 6, 20) {
			seen[s.fault] = true
			if s.hosts[0] >= rigControls || s.fault == faultHangup {
				continue
			}
			all := s.fault == faultKillCore || s.fault == faultKillAll
			others := 0
			for _, l := range lost {
				if l.until > s.at {
					others++
				}
			}
			switch {
			case all && (others > 0 || s.duration >= time.Second):
				t.Errorf("seed %d: all control hosts killed while %d are lost", seed, others)
			case s.fault == faultEmpty && others > 0:
				t.Errorf("seed %d: disks emptied while %d control hosts are lost", seed, others)
			case !all && others+len(s.hosts) > rigTolerated:
				t.Errorf("seed %d: %d control hosts lost at %s", seed, others+len(s.hosts), s.at)
			}
			for _, i := range s.hosts {
				lost[i] = loss{s.at, s.at + s.duration + rigCatchUp}
			}
		}
	}
	for _, f := range []soakFault{faultKill, faultFreeze, faultStop, faultHangup, faultKillHangup, faultEmpty, faultKillCore, faultKillAll, faultReplace, faultReplaceStopped} {
		if !seen[f] {
			t.Errorf("no schedule has the fault %q", f)
		}
	}
}
