package entry

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The bounds on unaffected calls: every call that succeeds without the fault
// succeeds with it, and the 99th percentile grows by at most a tenth or 20 ms.
const (
	isoGrowth = 0.1
	isoSlack  = 20 * time.Millisecond
	// isoDetect is how long after the start of a fault of a server or of a data
	// centre its hosts may take to move work to other servers. Calls
	// that begin later count as unaffected.
	isoDetect = 3 * time.Second
)

// isoFault is one fault and what it may touch.
type isoFault struct {
	name    string
	options isoOptions
	extra   []*isoCall
	inject  func(w *isoWorld)
	// touched reports whether the fault may affect a call at all.
	touched func(c *isoCall) bool
	// recovers is set if touched calls are unaffected after isoDetect.
	recovers bool
	// maxBad bounds the touched calls without an answer, and maxRuns the
	// exchanges per call of the faulty model; zero means no bound.
	maxBad  int
	maxRuns float64
	// after checks the calls that the fault touches.
	after func(c *isoCall) string
}

// flood are the calls of one team for a model on all hosts, evenly spaced.
func flood(model, team string, perSecond int) []*isoCall {
	var out []*isoCall
	for i := range 2 * perSecond {
		out = append(out, &isoCall{
			host: i % isoSites, model: model, team: team, at: isoFaultAt + time.Duration(i)*time.Second/time.Duration(perSecond), id: 100000 + i,
		})
	}
	return out
}

func ofModel(model string) func(c *isoCall) bool {
	return func(c *isoCall) bool { return c.model == model }
}

// engineFault makes the first engine of the first data centre misbehave.
func engineFault(name string, b behaviour) isoFault {
	return isoFault{
		name: "server " + name, recovers: true,
		inject:  func(w *isoWorld) { w.servers[0].server.Store(int32(b)) },
		touched: func(c *isoCall) bool { return c.host == 0 && (c.model == "lace" || c.model == "bobbin") },
	}
}

// endsInTime checks that a touched call ends in time with its answer or a
// typed refusal.
func endsInTime(c *isoCall) string {
	if c.reply.took > isoDeadline+deadlineMargin || !c.good() && c.reply.refusal == nil && c.reply.status != http.StatusInternalServerError {
		return fmt.Sprintf("took %s, %d %s", c.reply.took, c.reply.status, c.reply.body)
	}
	return ""
}

func onceIsNotRun(c *isoCall) string {
	if r := c.reply.refusal; r == nil || r.Code != "no_quorum" || r.Execution != NotRun {
		return fmt.Sprintf("%d %s", c.reply.status, c.reply.body)
	}
	return endsInTime(c)
}

var isoFaults = []isoFault{
	{
		name: "model fails", options: isoOptions{faulty: `"lace"`}, touched: ofModel("lace"),
		inject: func(w *isoWorld) { w.modelBehaves(fails) },
	},
	{
		name: "model hangs", options: isoOptions{faulty: `"lace"`}, touched: ofModel("lace"),
		inject: func(w *isoWorld) { w.modelBehaves(hangs) },
	},
	{
		// Without breakers each attempt has 6 exchanges, as it is resumed 5 times.
		name: "model cuts", maxRuns: 2, options: isoOptions{faulty: `"lace"`}, touched: ofModel("lace"),
		inject: func(w *isoWorld) { w.modelBehaves(resets) },
	},
	{
		// 0.6 + 0.4 x 6 exchanges per attempt, and a tenth may be retried; the
		// budget begins with 3 retries on each host.
		name: "model cuts some answers", maxRuns: 3.5, options: isoOptions{faulty: `"lace"`}, touched: ofModel("lace"),
		inject: func(w *isoWorld) { w.modelBehaves(cutsSome) },
	},
	{
		// Each of 3 hosts has 3 x 6 slots for lace, and a call takes 100 ms on
		// average: 540 calls per second.
		name: "model at ten times its capacity", extra: flood("lace", "loud", 5400),
		touched: func(c *isoCall) bool { return c.team == "loud" },
	},
	{name: "model not loadable", extra: flood("picot", "quiet", 100), touched: ofModel("picot")},
	engineFault("hangs", hangs),
	engineFault("slow", isSlow),
	engineFault("resets", resets),
	{
		// The server is demoted after 3 failures for each of two models, and
		// tried again after 5 s. Other hosts fall back on it at times.
		name: "server fails", maxBad: 20, inject: func(w *isoWorld) { w.servers[0].server.Store(int32(fails)) },
		touched: func(c *isoCall) bool { return c.model == "lace" || c.model == "bobbin" },
	},
	{
		name: "data centre vanishes", recovers: true, inject: func(w *isoWorld) { w.down[0].Store(true) },
		touched: func(c *isoCall) bool { return c.host == 0 },
	},
	{
		name: "data centre isolated", inject: func(w *isoWorld) { w.isolated[0].Store(true) },
		touched: func(c *isoCall) bool { return c.host == 0 && c.model == "once" }, after: onceIsNotRun,
	},
	{
		name: "quorum lost", inject: func(w *isoWorld) { w.quorum.Store(false) },
		touched: ofModel("once"), after: onceIsNotRun,
	},
}

func (w *isoWorld) modelBehaves(b behaviour) {
	for _, s := range w.servers {
		s.model.Store(int32(b))
	}
}

// isoGroup is what the oracle compares separately.
type isoGroup struct{ base, fault []time.Duration }

// verdict lists the violations among unaffected calls and of the rule for
// touched ones. The summary holds the figures.
func (f isoFault) verdict(base, calls []*isoCall) (faults []string, summary string) {
	groups := map[string]*isoGroup{}
	touched, bad, lost := 0, 0, 0
	for i, c := range calls {
		isTouched := f.touched(c) && c.at >= isoFaultAt-isoDeadline
		settled := f.recovers && c.at > isoFaultAt+isoDetect
		if isTouched && !settled {
			touched++
			if !c.good() {
				bad++
			}
			check := endsInTime
			if f.after != nil && c.at > isoFaultAt+10*time.Millisecond {
				check = f.after
			}
			if s := check(c); s != "" {
				faults = append(faults, fmt.Sprintf("touched call %d of %s at %s: %s", c.id, c.model, c.at, s))
			}
			continue
		}
		b := base[i]
		if !b.good() && c.team == "quiet" {
			faults = append(faults, fmt.Sprintf("call %d of %s fails without the fault: %s", c.id, c.model, b.reply.body))
		}
		if b.good() && !c.good() {
			lost++
			faults = append(faults, fmt.Sprintf("lost call %d of %s on host %d at %s: %d %s", c.id, c.model, c.host, c.at, c.reply.status, c.reply.body))
		}
		key := c.model
		if groups[key] == nil {
			groups[key] = &isoGroup{}
		}
		if b.good() && c.good() {
			groups[key].base = append(groups[key].base, b.reply.took)
			groups[key].fault = append(groups[key].fault, c.reply.took)
		}
	}
	worst := time.Duration(0)
	for name, g := range groups {
		was, is := p99(g.base), p99(g.fault)
		worst = max(worst, is-was)
		if is > was+max(isoSlack, time.Duration(isoGrowth*float64(was))) {
			faults = append(faults, fmt.Sprintf("p99 of %s grew from %s to %s", name, was, is))
		}
	}
	if f.maxBad > 0 && bad > f.maxBad {
		faults = append(faults, fmt.Sprintf("%d touched calls without an answer", bad))
	}
	slices.Sort(faults)
	return faults, fmt.Sprintf("%d unaffected calls lost, largest growth of a p99 %s, %d of %d touched calls without an answer", lost, worst.Round(time.Millisecond), bad, touched)
}

func p99(took []time.Duration) time.Duration {
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

// isoBases keeps the runs without a fault by their seed.
var isoBases = map[uint64][]*isoCall{}

func isoBase(t *testing.T, seed uint64) []*isoCall {
	if isoBases[seed] == nil {
		isoBases[seed] = isoPlan(seed)
		isoRun(t, isoOptions{seed: seed}, isoBases[seed], nil)
	}
	return isoBases[seed]
}

// check runs a fault and compares it with the same calls without it.
func (f isoFault) check(t *testing.T, seed uint64, weaken func(o *isoOptions)) (faults []string, summary string) {
	o := f.options
	o.seed = seed
	if weaken != nil {
		weaken(&o)
	}
	base := slices.Clone(isoBase(t, seed))
	var extra []*isoCall
	for _, c := range f.extra {
		one := *c
		extra = append(extra, &one)
		base = append(base, &isoCall{})
	}
	calls := isoPlan(seed, extra...)
	runs := isoRun(t, o, calls, f.inject)
	faults, summary = f.verdict(base, calls)
	if f.maxRuns > 0 {
		n := len(slices.DeleteFunc(calls, func(c *isoCall) bool { return !f.touched(c) }))
		summary += fmt.Sprintf(", %.2f exchanges per touched call", float64(runs)/float64(n))
		if float64(runs) > f.maxRuns*float64(n) {
			faults = append(faults, fmt.Sprintf("%d exchanges for %d calls", runs, n))
		}
	}
	return faults, summary
}

// Guards against a fault of one model, one backend server, one data centre or
// the control quorum that costs calls elsewhere their answer or their latency.
func TestFaultsStayIsolated(t *testing.T) {
	for _, f := range isoFaults {
		t.Run(f.name, func(t *testing.T) {
			for seed := uint64(1); seed <= isoRuns(); seed++ {
				faults, summary := f.check(t, seed, nil)
				t.Logf("seed %d: %s", seed, summary)
				for _, s := range faults[:min(len(faults), 5)] {
					t.Errorf("seed %d: %s", seed, s)
				}
			}
		})
	}
}

// isoSeeds is the number of seeded runs of each fault.
const isoSeeds = 3

// isoRuns is one run for every ten checks that are asked for, as a run takes
// about as long as ten random checks.
func isoRuns() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("POLLENWHEEL_FUZZ_CHECKS"), 10, 64)
	return max(isoSeeds, n/10)
}

// isoOff is a mechanism that is switched off or weakened under a fault that it
// contains. want is part of what the oracle must report.
type isoOff struct {
	name, fault, want string
	weaken            func(o *isoOptions)
}

var isoOffs = []isoOff{
	{"queues per model", "model hangs", "p99", func(o *isoOptions) { o.off.queues = true }},
	{"queues per model", "model not loadable", "p99", func(o *isoOptions) { o.off.queues = true }},
	{"queues per model", "model at ten times its capacity", "p99", func(o *isoOptions) { o.off.queues = true }},
	{"limits per server", "model at ten times its capacity", "of bobbin", func(o *isoOptions) { o.off.perServer, o.perServer = true, 1000 }},
	{"fairness between teams", "model at ten times its capacity", "of lace", func(o *isoOptions) { o.oneTeam = true }},
	{"demotion of failing servers", "server fails", "touched calls", func(o *isoOptions) { o.off.pace = true }},
	{"breakers", "model cuts", "exchanges for", func(o *isoOptions) { o.off.breakers = true }},
	{"retry budget", "model cuts some answers", "exchanges for", func(o *isoOptions) { o.off.retryBudget = true }},
	{"probes of silent servers", "server hangs", "call", func(o *isoOptions) { o.off.stalls = true }},
	{"breakers and probes", "server resets", "p99", func(o *isoOptions) { o.off.stalls, o.off.breakers = true, true }},
	{"demotion of slow servers", "server slow", "p99", func(o *isoOptions) { o.off.pace = true }},
	{"preference of the own data centre", "data centre vanishes", "p99", func(o *isoOptions) { o.oneSite = true }},
	{"preference of the own data centre", "data centre isolated", "p99", func(o *isoOptions) { o.oneSite = true }},
	{"claims", "quorum lost", "touched call", func(o *isoOptions) { o.off.claims = true }},
	{"claims", "data centre isolated", "touched call", func(o *isoOptions) { o.off.claims = true }},
}

// The oracle must report each fault when the mechanism that contains it is
// missing.
func TestIsolationOracleSeesMissingMechanisms(t *testing.T) {
	for _, m := range isoOffs {
		t.Run(m.name+"/"+m.fault, func(t *testing.T) {
			at := slices.IndexFunc(isoFaults, func(f isoFault) bool { return f.name == m.fault })
			for seed := uint64(1); seed <= isoSeeds; seed++ {
				faults, summary := isoFaults[at].check(t, seed, m.weaken)
				t.Logf("seed %d: %s", seed, summary)
				if i := slices.IndexFunc(faults, func(s string) bool { return strings.Contains(s, m.want) }); i >= 0 {
					t.Logf("seen at seed %d, with %d others: %s", seed, len(faults)-1, faults[i])
					return
				}
			}
			t.Errorf("the oracle saw nothing in %d seeds", isoSeeds)
		})
	}
}
