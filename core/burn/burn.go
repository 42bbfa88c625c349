// Package burn counts requests against service-level objectives and reports how
// fast each objective's error budget is spent. It reads no clock.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Window is a span over which a burn rate is taken.
type Window struct {
	Name string
	Span time.Duration
}

// Windows are the spans of a report, shortest first.
var Windows = [...]Window{
	{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour},
}

// Positions in Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
	windowCount
)

// bucketCount is the number of ring buckets of one window. A window's sum is
// short of its span by at most one bucket, which is 1.7%.
const bucketCount = 60

// Count is a number of requests and how many of them met the objective.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// Event is one finished request.
type Event struct {
	Service string
	// OK is false for requests that failed or were refused through no fault of
	// the caller.
	OK bool
	// Cold marks a request that waited for its model to load.
	Cold bool
	// FirstToken is the time to the first byte of the answer.
	FirstToken time.Duration
}

type bucket struct {
	index int64
	Count
}

// ring counts the last bucketCount intervals of one window.
type ring [bucketCount]bucket

func bucketIndex(now time.Duration, w Window) int64 { return int64(now / (w.Span / bucketCount)) }

func (r *ring) add(index int64, c Count) {
	b := &r[index%bucketCount]
	if b.index > index {
		return
	}
	if b.index < index {
		*b = bucket{index: index}
	}
	b.Count = b.Add(c)
}

// byAge returns the counts of the window that ends at index, newest first.
// Unused buckets have index 0 and count nothing.
func (r *ring) byAge(index int64) []Count {
	out := make([]Count, bucketCount)
	for _, b := range r {
		if age := index - b.index; age >= 0 && age < bucketCount {
			out[age] = out[age].Add(b.Count)
		}
	}
	return out
}

func (r *ring) sum(index int64) Count {
	var total Count
	for _, c := range r.byAge(index) {
		total = total.Add(c)
	}
	return total
}

// Recorder counts the requests of one host. It takes about 6 KB for each
// objective. It is not safe for concurrent use.
type Recorder struct {
	objectives map[string]config.Objective
	rings      map[string]*[windowCount]ring
}

// NewRecorder returns a recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{objectives: map[string]config.Objective{}, rings: map[string]*[windowCount]ring{}}
}

// SetObjectives replaces the objectives. Counts of objectives that stay are
// kept; a new threshold applies to later requests only.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	rings := map[string]*[windowCount]ring{}
	r.objectives = map[string]config.Objective{}
	for _, o := range objectives {
		id := o.ID()
		r.objectives[id] = o
		if rings[id] = r.rings[id]; rings[id] == nil {
			rings[id] = new([windowCount]ring)
		}
	}
	r.rings = rings
}

// Record counts a request that finished at now, against every objective of its
// service that applies to it.
func (r *Recorder) Record(now time.Duration, e Event) {
	for _, kind := range config.ObjectiveKinds {
		id := config.Objective{Service: e.Service, Kind: kind}.ID()
		o, ok := r.objectives[id]
		if !ok || !applies(kind, e) {
			continue
		}
		c := Count{Total: 1}
		if good(o, e) {
			c.Good = 1
		}
		for i, w := range Windows {
			r.rings[id][i].add(bucketIndex(now, w), c)
		}
	}
}

// applies reports whether requests such as e count for an objective. Cold
// requests have an objective of their own for the time to the first token.
func applies(kind config.ObjectiveKind, e Event) bool {
	switch kind {
	case config.ObjectiveFirstToken:
		return !e.Cold
	case config.ObjectiveColdStart:
		return e.Cold
	}
	return true
}

func good(o config.Objective, e Event) bool {
	if o.Kind == config.ObjectiveAvailability {
		return e.OK
	}
	return e.OK && e.FirstToken <= time.Duration(o.ThresholdMS)*time.Millisecond
}

// Series holds the counts of one objective.
type Series struct {
	Service string               `json:"service"`
	Kind    config.ObjectiveKind `json:"kind"`
	// Windows has one count for each of Windows.
	Windows [windowCount]Count `json:"windows"`
	// History divides the last 6 h into 60 intervals, newest first.
	History []Count `json:"history"`
}

func (s Series) id() string { return config.Objective{Service: s.Service, Kind: s.Kind}.ID() }

// Snapshot holds the counts of one or more hosts, ordered by service and kind.
type Snapshot struct {
	Series []Series `json:"series"`
}

// Snapshot returns the counts as of now.
func (r *Recorder) Snapshot(now time.Duration) Snapshot {
	var out Snapshot
	for _, id := range slices.Sorted(maps.Keys(r.objectives)) {
		s := Series{Service: r.objectives[id].Service, Kind: r.objectives[id].Kind}
		for i, w := range Windows {
			s.Windows[i] = r.rings[id][i].sum(bucketIndex(now, w))
		}
		s.History = r.rings[id][window6h].byAge(bucketIndex(now, Windows[window6h]))
		out.Series = append(out.Series, s)
	}
	return out
}

// Merge adds the counts of hosts. Hosts may know different objectives.
func Merge(snapshots ...Snapshot) Snapshot {
	sums := map[string]Series{}
	for _, snapshot := range snapshots {
		for _, s := range snapshot.Series {
			sums[s.id()] = add(sums[s.id()], s)
		}
	}
	var out Snapshot
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		out.Series = append(out.Series, sums[id])
	}
	return out
}

func add(a, b Series) Series {
	out := Series{Service: b.Service, Kind: b.Kind, History: make([]Count, bucketCount)}
	for i := range out.Windows {
		out.Windows[i] = a.Windows[i].Add(b.Windows[i])
	}
	for _, history := range [][]Count{a.History, b.History} {
		for i, c := range history[:min(len(history), bucketCount)] {
			out.History[i] = out.History[i].Add(c)
		}
	}
	return out
}

func (s Snapshot) find(id string) Series {
	i, found := slices.BinarySearchFunc(s.Series, id, func(one Series, id string) int { return cmp.Compare(one.id(), id) })
	if !found {
		return Series{}
	}
	return s.Series[i]
}
