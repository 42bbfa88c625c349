package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// rigFirstSpareIP is the last part of the address of the first machine that replaces another.
const rigFirstSpareIP = 101

// replaceAll puts empty machines with new names and addresses in the place of hosts that have no
// process. They have not started yet.
func (c *rigCluster) replaceAll(hosts []*rigHost) {
	for _, h := range hosts {
		n := int(c.replaced.Add(1))
		old := h.name()
		h.identity.Store(&rigIdentity{fmt.Sprintf("core-%s-%d", h.zone, rigControls+n), c.ip(rigFirstSpareIP + n - 1)})
		h.mu.Lock()
		h.joining = true
		h.mu.Unlock()
		c.log(h.name(), "replaces "+old, nil)
	}
}

// seeds returns the hosts that the settings of a host name. At the first start all have the same
// ones. A machine that has not started before gets three others that run, without the leader if
// there are as many: nothing promises that the leader is among them.
func (c *rigCluster) seeds(h *rigHost, firstStart bool) []*rigHost {
	if firstStart {
		return c.controls()[:rigSeedCount]
	}
	c.rngMu.Lock()
	order := c.rng.Perm(rigControls)
	c.rngMu.Unlock()
	var out []*rigHost
	for _, i := range order {
		out = append(out, c.hosts[i])
	}
	if h.isJoining() {
		leader := c.leaderIP()
		slices.SortStableFunc(out, func(a, b *rigHost) int { return a.seedRank(h, leader) - b.seedRank(h, leader) })
	}
	return out[:rigSeedCount]
}

// seedRank orders the hosts that a machine may get as seeds when it first starts.
func (h *rigHost) seedRank(joining *rigHost, leader string) int {
	h.mu.Lock()
	running := h.runs()
	h.mu.Unlock()
	switch {
	case h == joining:
		return 3
	case !running:
		return 2
	case h.ip() == leader:
		return 1
	}
	return 0
}

func (h *rigHost) isJoining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.joining
}

// leaderIP returns the address of the leader of the newest term in the logs of the control hosts,
// or an empty text if none is known.
func (c *rigCluster) leaderIP() string {
	leader, newest := "", uint64(0)
	for _, h := range c.controls() {
		if l, term := c.loggedLeader(h); term > newest && l != "" {
			leader, newest = l, term
		}
	}
	return leader
}

// loggedLeader returns the last leader that a host has logged, and its term.
func (c *rigCluster) loggedLeader(h *rigHost) (leader string, term uint64) {
	log, err := os.Open(filepath.Join(c.folder, h.name()+".log"))
	if err != nil {
		return "", 0
	}
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Msg, Leader string
			Term        uint64
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "leadership changed" && line.Leader != "" {
			leader, term = line.Leader, line.Term
		}
	}
	return leader, term
}

// controlAddresses returns the addresses that take announcements now, beginning with another one
// for each number.
func (c *rigCluster) controlAddresses(first int) []string {
	var out []string
	for i := range rigControls {
		out = append(out, c.address(c.hosts[(first+i)%rigControls], rigControlPort))
	}
	return out
}
