package membership

import (
	"maps"
	"slices"
	"time"
)

// SilentAfter is how long a backend server or host may be quiet before it
// counts as silent. Announcements come about once a second.
const SilentAfter = 4 * time.Second

type serverEntry struct {
	server Server
	heard  time.Duration
}

// Table holds the newest record of every host and backend server. It is not
// safe for concurrent use.
type Table struct {
	servers map[string]serverEntry
	hosts   map[string]Host
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]serverEntry{}, hosts: map[string]Host{}}
}

// Announce merges an announcement received at now and reports whether it was
// newer than what was known.
func (t *Table) Announce(now time.Duration, s Server) bool {
	if old, ok := t.servers[s.Name]; ok && !s.Newer(old.server) {
		return false
	}
	t.servers[s.Name] = serverEntry{server: s, heard: now}
	return true
}

// Presence is a backend server with how it is heard from.
type Presence struct {
	Server
	Silent bool
	// Heard is when the newest announcement arrived, on the receiver's clock.
	Heard time.Duration
}

// Servers returns all known backend servers ordered by name.
func (t *Table) Servers(now time.Duration) []Presence {
	out := make([]Presence, 0, len(t.servers))
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		e := t.servers[name]
		out = append(out, Presence{Server: e.server, Silent: now-e.heard > SilentAfter, Heard: e.heard})
	}
	return out
}
