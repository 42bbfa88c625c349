package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// watchMemory records the highest resident memory of each host's processes, without the
// pages of files.
func (c *rigCluster) watchMemory(done <-chan struct{}) {
	for {
		for _, h := range c.hosts {
			h.mu.Lock()
			if h.cmd != nil {
				h.peakRSSMiB = max(h.peakRSSMiB, residentMiB(h.cmd.Process.Pid))
			}
			h.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// residentMiB returns the resident memory of a process without the pages of files.
func residentMiB(pid int) int { return statusMiB(pid, "RssAnon:") }

// statusMiB returns a size from the status of a process, or 0 if the process has ended.
func statusMiB(pid int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), field)
	kib := 0
	_, _ = fmt.Sscan(rest, &kib)
	return kib >> 10
}

// peakMiB returns the highest resident memory of the processes of some hosts.
func peakMiB(hosts []*rigHost) int {
	peak := 0
	for _, h := range hosts {
		h.mu.Lock()
		peak = max(peak, h.peakRSSMiB)
		h.mu.Unlock()
	}
	return peak
}
