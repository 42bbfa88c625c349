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

// Limits for unaffected calls. Every call that succeeds without the fault must succeed
// with it, and the 99th percentile of the latency may grow by at most a tenth or 20 ms,
// whichever is more.
const (
	isoMaxGrowth       = 0.1
	isoGrowthAllowance = 20 * time.Millisecond
	// isoDetectionTime is how long the hosts may take to move work to other servers
	// after a server or a data centre becomes faulty. Calls that begin later count as
	// unaffected.
	isoDetectionTime = 3 * time.Second
)

// isoFault is one fault and the calls that it may affect.
type isoFault struct {
	name       string
	options    isoOptions
	extraCalls []*isoCall
	inject     func(cl *isoCluster)
	// affects reports whether the fault may affect a call.
	affects func(c *isoCall) bool
	// recovers is set if no call is affected any more after isoDetectionTime.
	recovers bool
	// maxFailed limits the number of affected calls that fail, and maxExchanges
	// the number of exchanges per affected call. Zero means no limit.
	maxFailed    int
	maxExchanges float64
	// checkAffected replaces endsInTime as the check of affected calls that begin
	// after the fault.
	checkAffected func(c *isoCall) string
}

// floodCalls returns 2 s of evenly spaced calls of one team for a model, spread over all
// hosts.
func floodCalls(model, team string, perSecond int) []*isoCall {
	var out []*isoCall
	for i := range 2 * perSecond {
		out = append(out, &isoCall{
			host: i % isoDataCentres, model: model, team: team, at: isoFaultAt + time.Duration(i)*time.Second/time.Duration(perSecond), id: 100000 + i,
		})
	}
	return out
}

func affectsModel(model string) func(c *isoCall) bool {
	return func(c *isoCall) bool { return c.model == model }
}

// engineFault returns a fault of the first engine of the first data centre.
func engineFault(name string, b behaviour) isoFault {
	return isoFault{
		name: "server " + name, recovers: true,
		inject:  func(cl *isoCluster) { cl.servers[0].serverBehaviour.Store(int32(b)) },
		affects: func(c *isoCall) bool { return c.host == 0 && (c.model == "lace" || c.model == "bobbin") },
	}
}

// endsInTime checks that a call ends in time with its answer, a refusal or an error status
// of the server. It returns a description of the violation, or an empty string.
func endsInTime(c *isoCall) string {
	if c.reply.took > isoDeadline+deadlineMargin || !c.succeeded() && c.reply.refusal == nil && c.reply.status != http.StatusInternalServerError {
		return fmt.Sprintf("took %s, status %d, body %s", c.reply.took, c.reply.status, c.reply.body)
	}
	return ""
}

// refusedAsNotRun checks that a call is refused in time with no_quorum and not_run. It
// returns a description of the violation, or an empty string.
func refusedAsNotRun(c *isoCall) string {
	if r := c.reply.refusal; r == nil || r.Code != "no_quorum" || r.Execution != ExecutionNotRun {
		return fmt.Sprintf("status %d, body %s, want no_quorum and not_run", c.reply.status, c.reply.body)
	}
	return endsInTime(c)
}

var isoFaults = []isoFault{
	{
		name: "model fails", options: isoOptions{faultyModel: `"lace"`}, affects: affectsModel("lace"),
		inject: func(cl *isoCluster) { cl.modelBehaves(behaviourError) },
	},
	{
		name: "model hangs", options: isoOptions{faultyModel: `"lace"`}, affects: affectsModel("lace"),
		inject: func(cl *isoCluster) { cl.modelBehaves(behaviourHang) },
	},
	{
		// Without breakers each attempt makes 6 exchanges, because it is resumed
		// 5 times.
		name: "model resets connections", maxExchanges: 2, options: isoOptions{faultyModel: `"lace"`}, affects: affectsModel("lace"),
		inject: func(cl *isoCluster) { cl.modelBehaves(behaviourReset) },
	},
	{
		// An attempt makes 0.6 + 0.4 x 6 exchanges on average, and a tenth of the
		// requests may be retried. The budget starts with 3 retries on each host.
		name: "model resets some connections", maxExchanges: 3.5, options: isoOptions{faultyModel: `"lace"`}, affects: affectsModel("lace"),
		inject: func(cl *isoCluster) { cl.modelBehaves(behaviourResetSome) },
	},
	{
		// Each of 3 hosts has 3 x 6 slots for lace, and a call takes 100 ms on
		// average: 540 calls per second.
		name: "model at ten times its capacity", extraCalls: floodCalls("lace", "loud", 5400),
		affects: func(c *isoCall) bool { return c.team == "loud" },
	},
	{name: "model not loadable", extraCalls: floodCalls("picot", "quiet", 100), affects: affectsModel("picot")},
	engineFault("hangs", behaviourHang),
	engineFault("slow", behaviourSlow),
	engineFault("resets", behaviourReset),
	{
		// The server is demoted after 3 failures for each of two models, and
		// tried again after 5 s. Other hosts sometimes use it as a fallback.
		name: "server fails", maxFailed: 20, inject: func(cl *isoCluster) { cl.servers[0].serverBehaviour.Store(int32(behaviourError)) },
		affects: func(c *isoCall) bool { return c.model == "lace" || c.model == "bobbin" },
	},
	{
		name: "data centre down", recovers: true, inject: func(cl *isoCluster) { cl.down[0].Store(true) },
		affects: func(c *isoCall) bool { return c.host == 0 },
	},
	{
		name: "data centre isolated", inject: func(cl *isoCluster) { cl.isolated[0].Store(true) },
		affects: func(c *isoCall) bool { return c.host == 0 && c.model == "once" }, checkAffected: refusedAsNotRun,
	},
	{
		name: "quorum lost", inject: func(cl *isoCluster) { cl.quorum.Store(false) },
		affects: affectsModel("once"), checkAffected: refusedAsNotRun,
	},
}

func (cl *isoCluster) modelBehaves(b behaviour) {
	for _, s := range cl.servers {
		s.modelBehaviour.Store(int32(b))
	}
}

// latencyGroup holds the latencies of one model without and with the fault.
type latencyGroup struct{ baseline, fault []time.Duration }

// compare returns the violations of the limits for unaffected calls and of the checks of
// affected calls. The summary holds the figures.
func (f isoFault) compare(baseline, calls []*isoCall) (violations []string, summary string) {
	groups := map[string]*latencyGroup{}
	affected, failed, lost := 0, 0, 0
	for i, c := range calls {
		isAffected := f.affects(c) && c.at >= isoFaultAt-isoDeadline
		recovered := f.recovers && c.at > isoFaultAt+isoDetectionTime
		if isAffected && !recovered {
			affected++
			if !c.succeeded() {
				failed++
			}
			check := endsInTime
			if f.checkAffected != nil && c.at > isoFaultAt+10*time.Millisecond {
				check = f.checkAffected
			}
			if s := check(c); s != "" {
				violations = append(violations, fmt.Sprintf("affected call %d of %s at %s: %s", c.id, c.model, c.at, s))
			}
			continue
		}
		baselineCall := baseline[i]
		if !baselineCall.succeeded() && c.team == "quiet" {
			violations = append(violations, fmt.Sprintf("call %d of %s fails even without the fault: %s", c.id, c.model, baselineCall.reply.body))
		}
		if baselineCall.succeeded() && !c.succeeded() {
			lost++
			violations = append(violations, fmt.Sprintf("call %d of %s on host %d at %s failed, but the fault must not affect it: status %d, body %s", c.id, c.model, c.host, c.at, c.reply.status, c.reply.body))
		}
		key := c.model
		if groups[key] == nil {
			groups[key] = &latencyGroup{}
		}
		if baselineCall.succeeded() && c.succeeded() {
			groups[key].baseline = append(groups[key].baseline, baselineCall.reply.took)
			groups[key].fault = append(groups[key].fault, c.reply.took)
		}
	}
	worst := time.Duration(0)
	for name, g := range groups {
		p99Baseline, p99Fault := p99(g.baseline), p99(g.fault)
		worst = max(worst, p99Fault-p99Baseline)
		if p99Fault > p99Baseline+max(isoGrowthAllowance, time.Duration(isoMaxGrowth*float64(p99Baseline))) {
			violations = append(violations, fmt.Sprintf("p99 of %s grew from %s to %s", name, p99Baseline, p99Fault))
		}
	}
	if f.maxFailed > 0 && failed > f.maxFailed {
		violations = append(violations, fmt.Sprintf("%d affected calls failed, more than the limit", failed))
	}
	slices.Sort(violations)
	return violations, fmt.Sprintf("%d unaffected calls failed, largest growth of a p99 %s, %d of %d affected calls failed", lost, worst.Round(time.Millisecond), failed, affected)
}

func p99(took []time.Duration) time.Duration {
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

// isoBaselines holds the calls of the runs without a fault, by seed.
var isoBaselines = map[uint64][]*isoCall{}

func isoBaseline(t *testing.T, seed uint64) []*isoCall {
	if isoBaselines[seed] == nil {
		isoBaselines[seed] = isoPlan(seed)
		isoRun(t, isoOptions{seed: seed}, isoBaselines[seed], nil)
	}
	return isoBaselines[seed]
}

// check runs the planned calls with the fault and compares them with the same calls
// without it.
func (f isoFault) check(t *testing.T, seed uint64, weaken func(o *isoOptions)) (violations []string, summary string) {
	o := f.options
	o.seed = seed
	if weaken != nil {
		weaken(&o)
	}
	baseline := slices.Clone(isoBaseline(t, seed))
	var extra []*isoCall
	for _, c := range f.extraCalls {
		callCopy := *c
		extra = append(extra, &callCopy)
		baseline = append(baseline, &isoCall{})
	}
	calls := isoPlan(seed, extra...)
	exchanges := isoRun(t, o, calls, f.inject)
	violations, summary = f.compare(baseline, calls)
	if f.maxExchanges > 0 {
		n := len(slices.DeleteFunc(calls, func(c *isoCall) bool { return !f.affects(c) }))
		summary += fmt.Sprintf(", %.2f exchanges per affected call", float64(exchanges)/float64(n))
		if float64(exchanges) > f.maxExchanges*float64(n) {
			violations = append(violations, fmt.Sprintf("%d exchanges for %d calls of the faulty model, more than the limit", exchanges, n))
		}
	}
	return violations, summary
}

// Guards against a fault of one model, one backend server, one data centre or the control
// quorum that makes unrelated calls fail or slows them down.
func TestFaultsStayIsolated(t *testing.T) {
	for _, f := range isoFaults {
		t.Run(f.name, func(t *testing.T) {
			for seed := uint64(1); seed <= isoSeedCount(); seed++ {
				violations, summary := f.check(t, seed, nil)
				t.Logf("seed %d: %s", seed, summary)
				for _, s := range violations[:min(len(violations), 5)] {
					t.Errorf("seed %d: %s", seed, s)
				}
			}
		})
	}
}

// minIsoSeeds is the minimum number of seeded runs of each fault.
const minIsoSeeds = 3

// isoSeedCount returns the number of seeded runs of each fault: one for every ten checks
// requested by POLLENWHEEL_FUZZ_CHECKS, because a run takes about as long as ten random
// checks.
func isoSeedCount() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("POLLENWHEEL_FUZZ_CHECKS"), 10, 64)
	return max(minIsoSeeds, n/10)
}

// isoWeakening disables or weakens the mechanism that contains a fault. One of the
// reported violations must contain want.
type isoWeakening struct {
	name, fault, want string
	weaken            func(o *isoOptions)
}

var isoWeakenings = []isoWeakening{
	{"queues per model", "model hangs", "p99", func(o *isoOptions) { o.disabled.modelQueues = true }},
	{"queues per model", "model not loadable", "p99", func(o *isoOptions) { o.disabled.modelQueues = true }},
	{"queues per model", "model at ten times its capacity", "p99", func(o *isoOptions) { o.disabled.modelQueues = true }},
	{"limits per server", "model at ten times its capacity", "of bobbin", func(o *isoOptions) { o.disabled.serverLimits, o.perServer = true, 1000 }},
	{"fairness between teams", "model at ten times its capacity", "of lace", func(o *isoOptions) { o.oneTeam = true }},
	{"demotion of failing servers", "server fails", "affected calls", func(o *isoOptions) { o.disabled.demotion = true }},
	{"breakers", "model resets connections", "exchanges for", func(o *isoOptions) { o.disabled.breakers = true }},
	{"retry budget", "model resets some connections", "exchanges for", func(o *isoOptions) { o.disabled.retryBudget = true }},
	{"probes of stalled servers", "server hangs", "call", func(o *isoOptions) { o.disabled.stallProbes = true }},
	{"breakers and probes", "server resets", "p99", func(o *isoOptions) { o.disabled.stallProbes, o.disabled.breakers = true, true }},
	{"demotion of slow servers", "server slow", "p99", func(o *isoOptions) { o.disabled.demotion = true }},
	{"preference for the host's own data centre", "data centre down", "p99", func(o *isoOptions) { o.hideDataCentre = true }},
	{"preference for the host's own data centre", "data centre isolated", "p99", func(o *isoOptions) { o.hideDataCentre = true }},
	{"claims", "quorum lost", "affected call", func(o *isoOptions) { o.disabled.claims = true }},
	{"claims", "data centre isolated", "affected call", func(o *isoOptions) { o.disabled.claims = true }},
}

// The checks must report a violation for each fault if the mechanism that contains it is
// disabled or weakened.
func TestIsolationChecksDetectDisabledMechanisms(t *testing.T) {
	for _, weakening := range isoWeakenings {
		t.Run(weakening.name+"/"+weakening.fault, func(t *testing.T) {
			faultIndex := slices.IndexFunc(isoFaults, func(f isoFault) bool { return f.name == weakening.fault })
			for seed := uint64(1); seed <= minIsoSeeds; seed++ {
				violations, summary := isoFaults[faultIndex].check(t, seed, weakening.weaken)
				t.Logf("seed %d: %s", seed, summary)
				if i := slices.IndexFunc(violations, func(s string) bool { return strings.Contains(s, weakening.want) }); i >= 0 {
					t.Logf("violation at seed %d, with %d others: %s", seed, len(violations)-1, violations[i])
					return
				}
			}
			t.Errorf("the checks did not detect the weakened mechanism in %d seeds", minIsoSeeds)
		})
	}
}
