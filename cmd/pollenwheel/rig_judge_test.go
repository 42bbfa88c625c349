package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"
)

// rigChange is a configuration that an operator has prepared. Its index tells the order of
// the version numbers.
type rigChange struct {
	index   int
	version uint64
	body    []byte
	// unusable is set if the change must never be in force: it is invalid, or other
	// content under a version that is held.
	unusable bool
	// acked is when its first acknowledgement arrived, or zero.
	acked time.Duration
}

// rigProbe is a kind of request to an entry host.
type rigProbe string

const (
	// probeWhich goes to a route of all configurations, whose service and priority tell
	// the configuration in force.
	probeWhich rigProbe = "which"
	// probeAdded and probeRemoved go to the route that the newest acknowledged change added
	// and to the one that it removed; probeNever to one that never was.
	probeAdded   rigProbe = "added"
	probeRemoved rigProbe = "removed"
	probeNever   rigProbe = "never"
)

// rigSight is what one request to an entry host showed of the configuration in force there.
type rigSight struct {
	host, incarnation int
	probe             rigProbe
	path              string
	status            int
	at                rigInterval
	// atLeast and atMost bound the index of the change in force. ran is when a backend
	// server ran the request, or zero.
	atLeast, atMost int
	ran             time.Duration
}

// rigRead is an answer of a control host that holds a configuration.
type rigRead struct {
	host, index int
	sent        time.Duration
}

// rigNothing and rigAnything are the bounds of a sight that shows nothing.
const (
	rigNothing  = -1
	rigAnything = math.MaxInt
)

// rigRule is a line of the rule on the configuration.
type rigRule string

const (
	rigLate      rigRule = "late"
	rigUnserved  rigRule = "added routes not served"
	rigRefused   rigRule = "valid change refused"
	rigUnacked   rigRule = "valid change not acknowledged"
	rigOther     rigRule = "other content under a version held"
	rigOldRead   rigRule = "older version read"
	rigRegress   rigRule = "older version shown again"
	rigInvalid   rigRule = "invalid change acknowledged or obeyed"
	rigLost      rigRule = "not read back at the end"
	rigUnbounded rigRule = "no answer at the time-out"
	rigDenied    rigRule = "404 for a route of all configurations"
	rigEnded     rigRule = "process ended by itself"
)

// rigViolation is one break of a rule.
type rigViolation struct {
	rule rigRule
	text string
}

func (v rigViolation) String() string { return string(v.rule) + ": " + v.text }

// rigRecord collects what operators, callers and readers saw.
type rigRecord struct {
	mu      sync.Mutex
	changes []*rigChange
	// highest is the highest version that was given.
	highest    uint64
	sights     []rigSight
	reads      []rigRead
	violations []rigViolation
	notes      []string
	// held are the requests to a server that never answers, and unanswered those of them
	// without an answer soon after the time-out of their route.
	held, unanswered []rigSight
}

func (r *rigRecord) violate(rule rigRule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, rigViolation{rule, fmt.Sprintf(format, args...)})
}

func (r *rigRecord) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *rigRecord) addSight(s rigSight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sights = append(r.sights, s)
}

func (r *rigRecord) addRead(x rigRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, x)
}

// acknowledge records an acknowledgement of a change.
func (r *rigRecord) acknowledge(c *rigChange, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.acked == 0 {
		c.acked = at
	}
}

// newestAcked returns the acknowledged change with the highest version, or nil.
func (r *rigRecord) newestAcked() *rigChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.changes) - 1; i >= 0; i-- {
		if c := r.changes[i]; c.acked > 0 && !c.unusable {
			return c
		}
	}
	return nil
}

// newestIndex returns the index of the newest change.
func (r *rigRecord) newestIndex() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changes) - 1
}

// byVersion returns the usable change with a version, or nil.
func (r *rigRecord) byVersion(version uint64) *rigChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.changes {
		if c.version == version && !c.unusable {
			return c
		}
	}
	return nil
}

// judge checks the rules that need the whole history. name names the hosts.
func (r *rigRecord) judge(h *rigHistory, name func(host int) string) (strict, stretched int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	strict, stretched = r.judgeLate(h, name)
	r.judgeRegress(h, name)
	r.judgeReads(name)
	r.judgeUnusable(name)
	r.judgeAdded(h)
	r.judgeHeld(h)
	return strict, stretched
}

func (r *rigRecord) add(rule rigRule, format string, args ...any) {
	r.violations = append(r.violations, rigViolation{rule, fmt.Sprintf(format, args...)})
}

// judgeLate looks for requests that were handled as only an older version allows. It returns
// the numbers of requests that were judged by the strict and by the stretched bound.
func (r *rigRecord) judgeLate(h *rigHistory, name func(host int) string) (strict, stretched int) {
	type key struct{ host, index int }
	seen := map[key]bool{}
	for _, s := range r.sights {
		if s.atMost == rigAnything {
			continue
		}
		if h.inTouch(s.host, s.at) {
			strict++
		} else if h.steady(s.host, s.at) {
			stretched++
		}
		for _, c := range r.changes {
			if c.index <= s.atMost || c.unusable || c.acked == 0 || seen[key{s.host, c.index}] {
				continue
			}
			if bound, late := h.overdue(s.host, c.acked, s.at); late {
				seen[key{s.host, c.index}] = true
				r.add(rigLate, "version %d, acknowledged at %.3f s, is not in force at %s (%s) for %s, sent at %.3f s, answered %d at %.3f s; at most version %s is",
					c.version, c.acked.Seconds(), name(s.host), bound, s.path, s.at.from.Seconds(), s.status, s.at.to.Seconds(), r.versionText(s.atMost))
			}
		}
	}
	return strict, stretched
}

// versionText returns the version of a change by its index.
func (r *rigRecord) versionText(index int) string {
	if index < 0 || index >= len(r.changes) {
		return "none"
	}
	return fmt.Sprint(r.changes[index].version)
}

// judgeRegress looks for hosts that showed an older version after a newer one in one
// incarnation of their process.
func (r *rigRecord) judgeRegress(h *rigHistory, name func(host int) string) {
	type key struct{ host, incarnation int }
	shown := map[key][]rigSight{}
	reported := map[key]int{}
	for _, s := range r.sights {
		k := key{s.host, s.incarnation}
		for _, before := range shown[k] {
			if s.atMost >= before.atLeast || s.at.from <= before.ran+rigDowngradeSlack(h, s) || reported[k] >= before.atLeast {
				continue
			}
			reported[k] = before.atLeast
			r.add(rigRegress, "%s showed version %s at %.3f s and at most version %s for %s, sent at %.3f s, answered %d", name(s.host),
				r.versionText(before.atLeast), before.ran.Seconds(), r.versionText(s.atMost), s.path, s.at.from.Seconds(), s.status)
		}
		if s.ran == 0 || s.atLeast < 0 {
			continue
		}
		if list := shown[k]; len(list) == 0 || list[len(list)-1].atLeast < s.atLeast {
			shown[k] = append(list, s)
		}
	}
}

// rigDowngradeSlack is the time after which a version that was shown stays in force.
func rigDowngradeSlack(h *rigHistory, s rigSight) time.Duration {
	if h.fast(rigInterval{s.at.from - rigContactWindow, s.at.to}) {
		return rigDowngrade
	}
	return rigSlowDowngrade
}

// judgeReads looks for reads with an older version than one that had been acknowledged.
func (r *rigRecord) judgeReads(name func(host int) string) {
	for _, x := range r.reads {
		for _, c := range r.changes {
			if c.index > x.index && !c.unusable && c.acked > 0 && x.sent > c.acked+rigConfigApply {
				r.add(rigOldRead, "version %d, acknowledged at %.3f s; %s answered a read of %.3f s with version %s", c.version, c.acked.Seconds(),
					name(x.host), x.sent.Seconds(), r.versionText(x.index))
				break
			}
		}
	}
}

// judgeUnusable looks for changes in force that must never be.
func (r *rigRecord) judgeUnusable(name func(host int) string) {
	seen := map[int]bool{}
	for _, s := range r.sights {
		if s.atLeast != s.atMost || s.atLeast < 0 || s.atLeast >= len(r.changes) || seen[s.atLeast] {
			continue
		}
		if c := r.changes[s.atLeast]; c.unusable {
			seen[s.atLeast] = true
			r.add(rigInvalid, "change %d with version %d, invalid or other content under a version held, is in force at %s at %.3f s", c.index, c.version, name(s.host), s.at.from.Seconds())
		}
	}
}

// Shares of line 2 of the rule.
const (
	rigAddedLeast = 20
	rigAddedShare = 0.25
)

// judgeAdded compares how often added routes are served with the first routes.
func (r *rigRecord) judgeAdded(h *rigHistory) {
	var added, addedServed, first, firstServed float64
	for _, s := range r.sights {
		served := 0.0
		if s.status == http.StatusOK {
			served = 1
		}
		switch {
		case !h.inTouch(s.host, s.at):
		case s.probe == probeWhich:
			first, firstServed = first+1, firstServed+served
		case s.probe == probeAdded:
			added, addedServed = added+1, addedServed+served
		}
	}
	if added >= rigAddedLeast && addedServed/added < rigAddedShare*firstServed/max(1, first) {
		r.add(rigUnserved, "%.0f of %.0f requests on added routes are served, and %.0f of %.0f on the first ones", addedServed, added, firstServed, first)
	}
}

// judgeHeld counts requests that outlast the time-out of their route.
func (r *rigRecord) judgeHeld(h *rigHistory) {
	held, unanswered := 0, 0
	for _, s := range r.held {
		if h.inTouch(s.host, s.at) {
			held++
		}
	}
	for _, s := range r.unanswered {
		if h.inTouch(s.host, s.at) {
			unanswered++
		}
	}
	if unanswered >= 8 && 4*unanswered > held {
		r.add(rigUnbounded, "%d of %d requests have no answer %s after the time-out of their route", unanswered, held, rigTimeoutSlack)
	}
}

// rigTestHistory returns the history of three control hosts and one entry host, host 3, that
// started at 0.
func rigTestHistory(moments ...rigMoment) *rigHistory {
	h := newRigHistory(3, 4)
	for i := range 4 {
		h.add(i, rigMoment{0, rigStarted, true})
	}
	for _, m := range moments {
		h.add(0, m)
	}
	return h
}

// TestRigJudge guards against a rig that counts what the rules allow, or lets pass what they
// forbid.
func TestRigJudge(t *testing.T) {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	sight := func(at float64, index int) rigSight {
		return rigSight{host: 3, status: http.StatusOK, at: rigInterval{second(at), second(at + 0.01)}, atLeast: index, atMost: index, ran: second(at + 0.005)}
	}
	frozen := []rigMoment{{second(19), rigFrozen, false}, {second(21), rigThawed, true}}
	both := newRigHistory(3, 4)
	for i := range 4 {
		both.add(i, rigMoment{0, rigStarted, true})
	}
	for i := range 2 {
		both.add(i, rigMoment{second(19), rigKilled, false})
		both.add(i, rigMoment{second(20), rigStarted, true})
	}
	slowed := rigTestHistory()
	slowed.addSlowed(second(21), second(22))
	for _, c := range []struct {
		name    string
		history *rigHistory
		sights  []rigSight
		reads   []rigRead
		want    []rigRule
	}{
		{"in force in time", rigTestHistory(), []rigSight{sight(22.4, 0), sight(22.6, 1)}, nil, nil},
		{"late", rigTestHistory(), []rigSight{sight(22.6, 0)}, nil, []rigRule{rigLate}},
		{"late only by the strict bound, while the core is unstable", rigTestHistory(frozen...), []rigSight{sight(23, 0)}, nil, nil},
		{"late once the core is stable", rigTestHistory(frozen...), []rigSight{sight(25.1, 0)}, nil, []rigRule{rigLate}},
		{"late by the stretched bound", rigTestHistory(append(frozen, rigMoment{second(27), rigFrozen, false})...), []rigSight{sight(28.6, 0)}, nil, []rigRule{rigLate}},
		{"most of the core was down", both, []rigSight{sight(23.9, 0)}, nil, nil},
		{"late after most of the core was down", both, []rigSight{sight(24.1, 0)}, nil, []rigRule{rigLate}},
		{"on a machine that is too busy", slowed, []rigSight{sight(23, 0)}, nil, nil},
		{"older version shown again", rigTestHistory(), []rigSight{sight(20.1, 1), sight(20.2, 0), sight(20.5, 0)}, nil, []rigRule{rigRegress}},
		{"older version read in time", rigTestHistory(), nil, []rigRead{{0, 0, second(22.4)}}, nil},
		{"older version read", rigTestHistory(frozen...), nil, []rigRead{{0, 0, second(22.6)}}, []rigRule{rigOldRead}},
		{"invalid change in force", rigTestHistory(), []rigSight{sight(20.1, 2)}, nil, []rigRule{rigInvalid}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &rigRecord{sights: c.sights, reads: c.reads, changes: []*rigChange{
				{index: 0, version: 3, acked: second(10)}, {index: 1, version: 5, acked: second(20)}, {index: 2, version: 6, unusable: true},
			}}
			r.judge(c.history, func(int) string { return "host" })
			if len(r.violations) != len(c.want) {
				t.Fatalf("violations %v, want %v", r.violations, c.want)
			}
			for i, rule := range c.want {
				if r.violations[i].rule != rule {
					t.Errorf("violation %v, want %s", r.violations[i], rule)
				}
			}
		})
	}
}
