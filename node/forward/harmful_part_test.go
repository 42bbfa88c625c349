package forward

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// The limits of the platform's rules: crashes after which a harmful part must be known,
// the time until this is in force on all hosts, and further arrivals at servers.
const (
	allowedCrashes  = 5
	inForceWithin   = 3 * time.Second
	allowedArrivals = 3
)

// harmfulPartLoads are the loads under which a harmful part must be contained.
var harmfulPartLoads = map[string]crashWorldOptions{
	"1 in 20":                    {seed: 1, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05},
	"1 in 100":                   {seed: 2, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.01},
	"1 in 5":                     {seed: 3, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.2},
	"1 in 5, many hosts":         {seed: 4, hosts: 40, servers: 30, perSecond: 110, harmfulShare: 0.2},
	"before a shared part":       {seed: 5, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, harmfulFirst: true},
	"beside unrelated crashes":   {seed: 6, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, crashEvery: 700 * time.Millisecond, crashTogether: 1},
	"beside the loss of a rack":  {seed: 7, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, crashEvery: 4 * time.Second, crashTogether: 4},
	"one host only":              {seed: 8, hosts: 1, servers: 9, perSecond: 36, harmfulShare: 0.05},
	"three harmful parts":        {seed: 10, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.1, harmfulParts: 3},
	"the log fails for 4 s":      {seed: 14, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.2, logDownFrom: 4 * time.Second, logDownUntil: 8 * time.Second},
	"beside a new shared part":   {seed: 19, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, harmfulRenewed: true},
	"before 70 shared parts":     {seed: 21, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, promptParts: 70},
	"before 1,000, many hosts":   {seed: 22, hosts: 40, servers: 30, perSecond: 110, harmfulShare: 0.05, promptParts: 1000},
	"beside one, many hosts":     {seed: 20, hosts: 40, servers: 30, perSecond: 110, harmfulShare: 0.2, harmfulRenewed: true},
	"the same request each time": {seed: 9, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, contentHarmful: true},
}

// harmfulModelLoads are the loads under which a harmful model or adapter must be contained.
var harmfulModelLoads = map[string]crashWorldOptions{
	"a model":                {seed: 15, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, harmfulModel: true},
	"a model, many hosts":    {seed: 16, hosts: 40, servers: 30, perSecond: 110, harmfulShare: 0.1, harmfulModel: true},
	"an adapter":             {seed: 17, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.05, harmfulAdapter: true},
	"a model, the log fails": {seed: 18, hosts: 8, servers: 9, perSecond: 36, harmfulShare: 0.2, harmfulModel: true, logDownFrom: 4 * time.Second, logDownUntil: 8 * time.Second},
}

func TestHarmfulPromptPartStopsReachingServers(t *testing.T) { testContainment(t, harmfulPartLoads) }

// TestHarmfulModelStopsReachingServers guards against a model or an adapter, for example with
// damaged weights, that crashes one server after another whatever the prompt.
func TestHarmfulModelStopsReachingServers(t *testing.T) { testContainment(t, harmfulModelLoads) }

func testContainment(t *testing.T, loads map[string]crashWorldOptions) {
	for name, o := range loads {
		t.Run(name, func(t *testing.T) {
			o.harmfulFrom, o.harmfulUntil, o.duration = 4*time.Second, 26*time.Second, 30*time.Second
			synctest.Test(t, func(t *testing.T) {
				w := runCrashWorld(t, o)
				t.Logf("%d servers crashed, %d harmful arrivals, %d proposals", len(w.crashes), len(w.arrivals), w.log.proposals)
				checkHarmfulPartContained(t, w)
			})
		})
	}
}

// checkHarmfulPartContained checks the two rules on requests with a harmful part. Hosts
// without the log are not bound by them, but each stops after a crash that it has seen.
func checkHarmfulPartContained(t *testing.T, w *crashWorld) {
	t.Helper()
	if len(w.crashes) == 0 {
		t.Fatal("no server crashed")
	}
	logUp := w.opts.logDownUntil + time.Second
	if n := len(w.crashes); w.opts.logDownUntil > 0 && n > w.opts.hosts+allowedCrashes {
		t.Errorf("%d servers crashed while the log was down and after, want at most %d", n, w.opts.hosts+allowedCrashes)
	}
	known := time.Duration(0)
	for i := range max(1, w.opts.harmfulParts) {
		part := fmt.Sprint(harmfulPrefix, i)
		if w.opts.contentHarmful || w.opts.harmfulModel || w.opts.harmfulAdapter {
			part = ""
		}
		var crashes []time.Duration
		for _, c := range w.crashes {
			if c.part == part {
				crashes = append(crashes, c.at)
			}
		}
		if len(crashes) == 0 {
			continue
		}
		knownPart := max(logUp, crashes[min(len(crashes), allowedCrashes)-1])
		known = max(known, knownPart)
		late := 0
		for _, a := range w.arrivals {
			if a.part == part && a.at > knownPart+inForceWithin {
				late++
			}
		}
		if len(crashes) >= allowedCrashes && late > allowedArrivals {
			t.Errorf("part %q reached servers %d times later than %v after crash %d, want at most %d", part, late, inForceWithin, allowedCrashes, allowedArrivals)
		}
	}
	before, begunBefore := w.sound(0, w.opts.harmfulFrom)
	beside, begunBeside := w.sound(known-time.Second+2*inForceWithin, w.opts.harmfulUntil)
	if begunBeside*before*2 < begunBefore*beside {
		t.Errorf("of %d sound requests beside the harmful ones, %d began at the first attempt; of %d before, %d did", beside, begunBeside, before, begunBefore)
	}
}

func TestUnrelatedCrashesBarNoPartThatManyRequestsShare(t *testing.T) {
	for name, o := range map[string]crashWorldOptions{
		"one server at a time": {seed: 11, crashEvery: 300 * time.Millisecond, crashTogether: 1},
		"racks":                {seed: 12, crashEvery: 2 * time.Second, crashTogether: 5},
		"all servers at once":  {seed: 13, crashEvery: 5 * time.Second, crashTogether: 9},
	} {
		t.Run(name, func(t *testing.T) {
			o.hosts, o.servers, o.perSecond, o.duration = 8, 9, 36, 30*time.Second
			synctest.Test(t, func(t *testing.T) {
				w := runCrashWorld(t, o)
				t.Logf("%d parts were barred, %d proposals", len(w.log.barred), w.log.proposals)
				for _, part := range []string{"first-0", "first-1", "first-2", state.ModelPart("models", "m")} {
					if w.log.barred[part] {
						t.Errorf("part %s, which a third of all requests share or more, was barred", part)
					}
				}
			})
		})
	}
}

// Guards against a part of a prompt that can never be a suspect, because of its place or its ID,
// and against a caller that fills the records of all hosts with long IDs.
func TestEachPartOfAPromptCanBeASuspect(t *testing.T) {
	long := strings.Repeat("x", maxPartBytes+1)
	parts := append(numbered(1000), long, long+"y", "last", "part-0")
	got := judgedParts(parts)
	if want := len(parts) - 1; len(got) != want || got[0] != "part-0" || got[want-1] != "last" {
		t.Fatalf("%d of %d different parts can be suspects", len(got), want)
	}
	if a, b := got[1000], got[1001]; len(a) > maxPartBytes || len(b) > maxPartBytes || a == b || a == long[:len(a)] {
		t.Errorf("long IDs are recorded as %q and %q", a, b)
	}
	if again := judgedParts([]string{long}); again[0] != got[1000] {
		t.Errorf("a long ID is recorded as %q and as %q", got[1000], again[0])
	}
	if got := judgedParts([]string{state.ModelPart("models", "m")}); len(got) != 0 {
		t.Errorf("a caller makes the model %q a suspect by the name of a prompt part", got)
	}
	if got := judgedParts(nil); len(got) != 0 {
		t.Errorf("parts %q of a prompt without parts", got)
	}
}

// Guards against log lines and refusals that grow with the prompt of a caller.
func TestListsOfPartsAreBounded(t *testing.T) {
	parts := judgedParts(strings.Fields(strings.Repeat("0123456789abcdef", 4) + " " + strings.Join(numbered(4000), " ")))
	if n := len(listParts(parts)); n > 2*maxListedParts*maxPartBytes {
		t.Errorf("a log line lists %d bytes of parts", n)
	}
	if n := len(describeQuarantine(parts[0], parts[1:])); n > 1000 {
		t.Errorf("a refusal has %d bytes", n)
	}
	if got := listParts([]string{"a", "b"}); got != "a b" {
		t.Errorf("two parts are listed as %q", got)
	}
}

func numbered(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("part-", i))
	}
	return out
}
