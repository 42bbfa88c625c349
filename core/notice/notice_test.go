package notice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/ratelimit"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

var testProcess = Process{Server: "s", Incarnation: 1}

func newTestTable(seed uint64) *Table {
	rng := rand.New(rand.NewPCG(seed, 1))
	return NewTable(ratelimit.NewClient(func() int { return 8 }, rng), rng)
}

// TestPause guards against requests to a server that wants none, against a pause that never
// ends, and against a host that returns with many requests at once.
func TestPause(t *testing.T) {
	table := newTestTable(1)
	table.Record(1*sec, 900*ms, testProcess, Notice{Pause: 2 * sec})
	for at := 1 * sec; at < 3*sec; at += 10 * ms {
		if table.Wanted(at, testProcess) {
			t.Fatalf("a request is sent at %s, in a pause from 1 s to 3 s", at)
		}
	}
	if d := table.UntilWanted(1*sec, testProcess); d < 2*sec || d > 2500*ms {
		t.Errorf("the pause is expected to last %s, want 2 s and at most a quarter more", d)
	}
	back := 3500 * ms
	if !table.Wanted(back, testProcess) {
		t.Fatal("no request is sent after the pause")
	}
	table.Take(back, testProcess, 1)
	if table.Wanted(back+ms, testProcess) {
		t.Error("a second request is sent before the first one after the pause is answered")
	}
	table.Record(back+100*ms, back, testProcess, Notice{})
	if !table.Wanted(back+100*ms, testProcess) {
		t.Error("no request is sent after an answer without a pause")
	}
}

// TestLostTrialAfterAPause guards against a server that gets no requests any more because the
// answer to the first one after its pause was lost.
func TestLostTrialAfterAPause(t *testing.T) {
	table := newTestTable(1)
	table.Record(0, 0, testProcess, Notice{Pause: 1 * sec})
	table.Take(2*sec, testProcess, 1)
	if table.Wanted(2900*ms, testProcess) || !table.Wanted(3*sec, testProcess) {
		t.Error("the next request is not sent one second after the first")
	}
}

// TestAnswerUnderWayDoesNotEndAPause guards against a pause that ends with an answer to a request
// that was sent before it.
func TestAnswerUnderWayDoesNotEndAPause(t *testing.T) {
	table := newTestTable(1)
	table.Record(1*sec, 900*ms, testProcess, Notice{Pause: 2 * sec})
	table.Record(1500*ms, 950*ms, testProcess, Notice{})
	if table.Wanted(2*sec, testProcess) {
		t.Error("a request is sent in the pause")
	}
}

// TestHostsReturnOneAfterAnother guards against hosts that were refused together and fall on a
// server at the same moment after its pause.
func TestHostsReturnOneAfterAnother(t *testing.T) {
	const hosts = 100
	returned := map[time.Duration]int{}
	for host := range uint64(hosts) {
		table := newTestTable(host)
		table.Record(0, 0, testProcess, Notice{Pause: 4 * sec})
		at := 4 * sec
		for ; !table.Wanted(at, testProcess); at += 100 * ms {
			if at > 6*sec {
				t.Fatal("a host does not return")
			}
		}
		returned[at]++
	}
	for at, n := range returned {
		if n > hosts/4 {
			t.Errorf("%d of %d hosts return within 100 ms of %s", n, hosts, at)
		}
	}
}

// TestLeaving guards against requests to a server that says that it leaves, and against a new
// process under the same name that gets none.
func TestLeaving(t *testing.T) {
	table := newTestTable(1)
	if changes := table.Record(0, 0, testProcess, Notice{Leaving: true}); len(changes) != 1 || changes[0].Kind != KindLeaving {
		t.Errorf("changes %v, want that the server leaves", changes)
	}
	if changes := table.Record(1*sec, 1*sec, testProcess, Notice{Leaving: true}); len(changes) != 0 {
		t.Errorf("changes %v for what is known", changes)
	}
	table.Record(2*sec, 2*sec, testProcess, Notice{})
	if table.Wanted(time.Hour, testProcess) {
		t.Error("a request is sent to a server that leaves")
	}
	if !table.Wanted(time.Hour, Process{Server: "s", Incarnation: 2}) {
		t.Error("a new process under the name of one that left gets no requests")
	}
}

// TestStatements guards against limits that other hosts were told and that are missing from what
// operators see, and against requests and refusals that are not counted for them.
func TestStatements(t *testing.T) {
	table := newTestTable(1)
	told := ratelimit.Sighting{Process: testProcess, Named: true, PerSecond: 2}
	table.ApplyReply(1*sec, 1*sec, ratelimit.Reply{Version: 1, Limits: []ratelimit.Sighting{told}})
	table.RecordSent(2*sec, testProcess)
	table.RecordRefusal(2*sec, testProcess)
	want := Statement{Process: testProcess, Limited: true, PerSecond: 2, Sent: 1, Refused: 1}
	if got := table.Statements(2 * sec); len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	table.RecordSent(2*sec, Process{Server: "silent"})
	if n := len(table.Statements(2 * sec)); n != 1 {
		t.Errorf("%d servers are listed, want only the one that says something", n)
	}
}

// TestInvalidValuesAreReportedOnce guards against a log line for each answer of a server whose
// values cannot be read, and against a limit that such a value ends.
func TestInvalidValuesAreReportedOnce(t *testing.T) {
	table := newTestTable(1)
	table.Record(0, 0, testProcess, Notice{LimitNamed: true, PerSecond: 3})
	reported := 0
	for i := range 100 {
		at := time.Duration(i+1) * sec
		n := Read(Fields{Limit: Field{"Limit", []string{"many"}}})
		reported += len(table.Record(at, at, testProcess, n))
	}
	if reported != 1 {
		t.Errorf("%d lines for 100 answers, want one", reported)
	}
	if !table.Limits.Limited(testProcess) {
		t.Error("a limit that cannot be read ended the one before")
	}
}

// TestTableIsBounded guards against memory that grows with each server process that ever said
// something.
func TestTableIsBounded(t *testing.T) {
	table := newTestTable(1)
	for i := range uint64(3 * maxServers) {
		table.Record(time.Duration(i)*ms, 0, Process{Server: "s", Incarnation: i}, Notice{Leaving: true, LimitNamed: true})
	}
	if n := len(table.servers); n > maxServers {
		t.Errorf("%d servers are kept, want at most %d", n, maxServers)
	}
}
