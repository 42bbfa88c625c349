// Package burn counts requests against service-level objectives and reports how
// fast each objective's error budget is spent. The functions take the current
// time as an argument; the package reads no clock.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Window is a time span over which a burn rate is computed.
type Window struct {
	Name string
	Span time.Duration
}

// Windows lists the windows of a report, shortest first.
var Windows = [...]Window{
	{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour},
}

// Indexes into Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
	windowCount
)

// bucketCount is the number of buckets in the ring of one window. The sum of a
// window covers at least 59 of 60 buckets, so at most 1.7% of the span is
// missing.
const bucketCount = 60

// Count holds the number of requests (Total) and how many of them met the
// objective (Good).
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Add returns the sum of c and o.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// Event is one finished request.
type Event struct {
	Service string
	// OK is false if the request failed or was refused for a reason that the
	// caller did not cause.
	OK bool
	// Cold is set if the request waited for its model to load.
	Cold bool
	// FirstToken is the time until the first byte of the response.
	FirstToken time.Duration
}

type bucket struct {
	index int64
	Count
}

// ring is a ring buffer of counts for the last bucketCount intervals of one
// window.
type ring [bucketCount]bucket

// bucketIndex returns the number of the interval of w that contains now.
func bucketIndex(now time.Duration, w Window) int64 { return int64(now / (w.Span / bucketCount)) }

// add adds c to the bucket of an interval, and first clears a bucket of an older
// interval. Counts for an interval older than the bucket's are dropped.
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

// countsByAge returns the counts of the window that ends at index, newest first.
// Unused buckets have index 0 and a count of zero.
func (r *ring) countsByAge(index int64) []Count {
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
	for _, c := range r.countsByAge(index) {
		total = total.Add(c)
	}
	return total
}

// Recorder counts the requests of one host. It uses about 6 KB of memory per
// objective. It is not safe for concurrent use.
type Recorder struct {
	objectives map[string]config.Objective
	rings      map[string]*[windowCount]ring
}

// NewRecorder returns a Recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{objectives: map[string]config.Objective{}, rings: map[string]*[windowCount]ring{}}
}

// SetObjectives replaces the objectives. Objectives that remain configured keep
// their counts; a new threshold applies only to requests recorded afterwards.
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

// Record counts a request that finished at now for every objective of its
// service that applies to it.
func (r *Recorder) Record(now time.Duration, e Event) {
	for _, kind := range config.ObjectiveKinds {
		id := config.Objective{Service: e.Service, Kind: kind}.ID()
		o, ok := r.objectives[id]
		if !ok || !appliesTo(kind, e) {
			continue
		}
		c := Count{Total: 1}
		if meetsObjective(o, e) {
			c.Good = 1
		}
		for i, w := range Windows {
			r.rings[id][i].add(bucketIndex(now, w), c)
		}
	}
}

// appliesTo reports whether an objective of this kind covers the request e. The
// time to the first token of cold requests has a separate objective.
func appliesTo(kind config.ObjectiveKind, e Event) bool {
	switch kind {
	case config.ObjectiveFirstToken:
		return !e.Cold
	case config.ObjectiveColdStart:
		return e.Cold
	}
	return true
}

func meetsObjective(o config.Objective, e Event) bool {
	if o.Kind == config.ObjectiveAvailability {
		return e.OK
	}
	return e.OK && e.FirstToken <= time.Duration(o.ThresholdMS)*time.Millisecond
}

// Series holds the counts of one objective.
type Series struct {
	Service string               `json:"service"`
	Kind    config.ObjectiveKind `json:"kind"`
	// Windows holds one count for each element of the package variable Windows.
	Windows [windowCount]Count `json:"windows"`
	// History holds the counts of 60 equal intervals of the last 6 h, newest
	// first.
	History []Count `json:"history"`
}

func (s Series) objectiveID() string { return config.Objective{Service: s.Service, Kind: s.Kind}.ID() }

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
		s.History = r.rings[id][window6h].countsByAge(bucketIndex(now, Windows[window6h]))
		out.Series = append(out.Series, s)
	}
	return out
}

// Merge adds up the snapshots of several hosts. The hosts may have different
// objectives.
func Merge(snapshots ...Snapshot) Snapshot {
	sums := map[string]Series{}
	for _, snapshot := range snapshots {
		for _, s := range snapshot.Series {
			sums[s.objectiveID()] = addSeries(sums[s.objectiveID()], s)
		}
	}
	var out Snapshot
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		out.Series = append(out.Series, sums[id])
	}
	return out
}

func addSeries(a, b Series) Series {
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

func (s Snapshot) seriesByID(id string) Series {
	i, found := slices.BinarySearchFunc(s.Series, id, func(series Series, id string) int { return cmp.Compare(series.objectiveID(), id) })
	if !found {
		return Series{}
	}
	return s.Series[i]
}
