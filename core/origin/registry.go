package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// retention is how long a software version stays admitted after the last server that
	// names it was seen. Until then callers may resume streams that it began, and hosts that
	// have lost the leader may still send it requests.
	retention = 10 * time.Minute
	// repeatAfter is how long a change that was proposed may take until it is proposed again.
	repeatAfter = 500 * time.Millisecond
	// maxVersions bounds the admitted versions of one service, since the names come from
	// announcements.
	maxVersions = 16
)

// Change admits a software version, or retires one that no server has any more.
type Change struct {
	Origin
	Retire bool
}

// Registry decides on a leader which software versions are admitted. It is not safe for
// concurrent use.
type Registry struct {
	seen     map[Origin]time.Duration
	proposed map[Change]time.Duration
}

// NewRegistry returns a registry that has seen no server.
func NewRegistry() *Registry {
	return &Registry{seen: map[Origin]time.Duration{}, proposed: map[Change]time.Duration{}}
}

// Step returns the changes that are due, given the admitted versions and those that servers
// announce now. Servers that name no version are not announced.
func (r *Registry) Step(now time.Duration, admitted Admitted, announced []Origin) []Change {
	for _, o := range announced {
		r.seen[o] = now
	}
	var out []Change
	for _, o := range announced {
		list := admitted[o.Service]
		if slices.Contains(list, o.Version) {
			continue
		}
		if len(list) < maxVersions {
			out = append(out, Change{Origin: o})
		} else if old, ok := r.longestUnseen(now, o.Service, list); ok {
			out = append(out, Change{Origin: old, Retire: true})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(admitted)) {
		for _, version := range admitted[service] {
			o := Origin{service, version}
			if _, ok := r.seen[o]; !ok {
				// The servers of the version may have left before this leader began.
				r.seen[o] = now
			}
			if now-r.seen[o] > retention {
				out = append(out, Change{Origin: o, Retire: true})
			}
		}
	}
	return r.withoutRepetitions(now, out)
}

// longestUnseen returns the version of a service that no server names now and whose servers
// were seen last the longest time ago.
func (r *Registry) longestUnseen(now time.Duration, service string, versions []string) (Origin, bool) {
	oldest := slices.MinFunc(versions, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.seen[Origin{service, a}], r.seen[Origin{service, b}]), cmp.Compare(a, b))
	})
	o := Origin{service, oldest}
	return o, r.seen[o] < now
}

// withoutRepetitions returns the changes that were not proposed lately, and notes them as
// proposed.
func (r *Registry) withoutRepetitions(now time.Duration, changes []Change) []Change {
	var out []Change
	for _, c := range changes {
		if at, ok := r.proposed[c]; ok && now-at < repeatAfter {
			continue
		}
		r.proposed[c] = now
		out = append(out, c)
	}
	maps.DeleteFunc(r.proposed, func(_ Change, at time.Duration) bool { return now-at >= repeatAfter })
	return out
}
