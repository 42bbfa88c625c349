package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// partLog applies commands about prompt parts to a state.
type partLog struct {
	*State
	nonce uint64
}

func newPartLog() *partLog { return &partLog{State: New()} }

func (l *partLog) command(c Command) Result { return l.Apply(l.Index+1, c) }

// crash records that a server process ended under a request with the accused parts.
func (l *partLog) crash(server int, fingerprint string, trial *Trial, parts ...string) {
	l.command(Command{Suspect: &Suspect{
		Server: fmt.Sprint("server-", server), Incarnation: 1, Sequence: 1, Fingerprints: []string{fingerprint}, Parts: parts, Trial: trial,
	}})
}

// trial asks for a trial of the parts on a server.
func (l *partLog) trial(server int, parts ...string) (*Trial, Result) {
	l.nonce++
	t := &Trial{Parts: parts, Server: fmt.Sprint("server-", server), Incarnation: 1, Nonce: l.nonce, ExpiresMS: l.ClockMS + 5000}
	return t, l.command(Command{Trial: t})
}

// verdict returns what hosts do with requests with the parts, which are separated by commas.
func (l *partLog) verdict(list string) string {
	parts := strings.Split(list, ",")
	verdict := "sent"
	for _, id := range parts {
		rec, ok := l.Suspects[PartKey(id)]
		switch {
		case !ok || rec.Part.Cleared:
		case rec.Rejects(l.ClockMS, parts):
			return "refused"
		case rec.Suspect(l.ClockMS):
			verdict = "tried"
		}
	}
	return verdict
}

// answer records that an answer to a request with the parts has begun after all crashes.
func (l *partLog) answer(parts ...string) {
	l.command(Command{ClearSuspect: &ClearSuspect{Parts: parts, SeenIndex: l.Index}})
}

// crashUnderTrial records the crash of a server by a request with the accused parts, which ran as
// the trial of some of them.
func (l *partLog) crashUnderTrial(server int, fingerprint string, tried []string, accused ...string) {
	trial, _ := l.trial(server, tried...)
	l.crash(server, fingerprint, trial, accused...)
}

// Guards against a harmful part that is not found, and against sound parts that are
// refused because servers end beside requests with them.
func TestPromptPartIsQuarantinedOnlyByItsOwnTrial(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *partLog)
		want map[string]string
	}{
		{"one crash", func(l *partLog) { l.crash(1, "a", nil, "x") }, map[string]string{"x": "tried"}},
		{"crash of several servers at once", func(l *partLog) {
			for i := range 9 {
				l.crash(i, fmt.Sprint(i), nil, "x")
			}
		}, map[string]string{"x": "tried"}},
		{"crash under trial", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "b", trial, "x")
		}, map[string]string{"x": "refused"}},
		{"crash under trial of the same request", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "a", trial, "x")
		}, map[string]string{"x": "tried"}},
		{"crash under a trial that was cleared before", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}, SeenIndex: l.Index}})
			l.crash(2, "b", trial, "x")
		}, map[string]string{"x": "tried"}},
		{"crash of another server during the trial, then under it", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(3, "b", nil, "x")
			l.crash(2, "c", trial, "x")
		}, map[string]string{"x": "refused"}},
		{"crash under trial that another host reports first", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "b", nil, "x")
			l.crash(2, "c", trial, "x")
		}, map[string]string{"x": "refused"}},
		{"crash beside the trial of another part", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			l.crash(1, "b", nil, "y")
			x, _ := l.trial(2, "x")
			y, _ := l.trial(2, "y")
			l.crash(2, "c", x, "x")
			l.crash(2, "d", y, "y")
		}, map[string]string{"x": "tried", "y": "tried"}},
		{"two suspect parts crash together", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
		}, map[string]string{"x": "tried", "y": "tried", "x,y": "refused", "x,y,z": "refused"}},
		{"two suspect parts, the later is harmful", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.crashUnderTrial(3, "c", []string{"y"}, "y")
		}, map[string]string{"x": "tried", "y": "refused"}},
		{"two suspect parts, the earlier is harmful", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.crashUnderTrial(3, "c", []string{"x"}, "x")
		}, map[string]string{"x": "refused", "y": "tried"}},
		{"two suspect parts, the later is answered", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.answer("y")
		}, map[string]string{"x": "refused", "y": "sent"}},
		{"two suspect parts, the earlier is answered", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.answer("x")
		}, map[string]string{"x": "sent", "y": "refused"}},
		{"two suspect parts, both are answered", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.answer("x", "y")
		}, map[string]string{"x,y": "sent"}},
		{"two suspect parts, one is left by an answer that began before the crash of the other", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.answer("y")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}, SeenIndex: 1}})
		}, map[string]string{"x": "refused", "y": "sent"}},
		{"new part is harmful beside a suspect one that is sound", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			l.crashUnderTrial(2, "b", []string{"x"}, "x", "new")
		}, map[string]string{"x": "tried", "x,new": "refused"}},
		{"harmful part beside others that are new each time", func(l *partLog) {
			l.crash(1, "a", nil, "x", "n1")
			l.crashUnderTrial(2, "b", []string{"x"}, "x", "n2")
			l.crashUnderTrial(3, "c", []string{"x"}, "x", "n3")
		}, map[string]string{"x": "refused", "n1": "tried", "n2": "tried", "n3": "tried"}},
		{"answer to a part of a group, after the end of its quarantine", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			l.crashUnderTrial(2, "b", []string{"x", "y"}, "x", "y")
			l.command(Command{UnixMS: firstQuarantine.Milliseconds()})
			l.answer("y")
		}, map[string]string{"x": "tried", "y": "sent"}},
		{"answer that began before the crash", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}}})
		}, map[string]string{"x": "sent"}},
		{"answer that began before the last two crashes", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			l.crash(2, "b", nil, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}}})
		}, map[string]string{"x": "tried"}},
		{"part known to be answered before, then not any more", func(l *partLog) {
			l.command(Command{Suspect: &Suspect{Server: "server-1", Incarnation: 1, Fingerprints: []string{"a"}, Answered: []string{"x"}}})
			l.crash(2, "b", nil, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}}})
		}, map[string]string{"x": "tried"}},
		{"answer during the quarantine", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "b", trial, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}, SeenIndex: l.Index}})
		}, map[string]string{"x": "sent"}},
		{"lifted by an operator", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "b", trial, "x")
			l.command(Command{ClearSuspect: &ClearSuspect{Parts: []string{"x"}, Lift: true}})
		}, map[string]string{"x": "sent"}},
		{"one crash reported by several hosts", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(1, "b", trial, "x")
		}, map[string]string{"x": "tried"}},
		{"end of the quarantine", func(l *partLog) {
			l.crash(1, "a", nil, "x")
			trial, _ := l.trial(2, "x")
			l.crash(2, "b", trial, "x")
			l.command(Command{UnixMS: firstQuarantine.Milliseconds()})
		}, map[string]string{"x": "tried"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newPartLog()
			c.play(l)
			for id, want := range c.want {
				if got := l.verdict(id); got != want {
					t.Errorf("requests with part %s are %s, want %s", id, got, want)
				}
			}
		})
	}
}

// Guards against two servers that are put at risk at once by the trials of one part, and
// against a crash that two trials on one server leave unexplained again and again.
func TestTrialsOfPromptPartsAreGrantedOneByOne(t *testing.T) {
	l := newPartLog()
	l.crash(1, "a", nil, "x", "y")
	l.crash(1, "b", nil, "z")
	first, granted := l.trial(2, "x")
	_, second := l.trial(3, "y", "x")
	_, shared := l.trial(2, "z")
	if granted.Rejection != nil || second.Rejection == nil || second.Rejection.Code != CodeBusy || shared.Rejection != nil {
		t.Fatalf("first trial %v, second of the same part %v, other part on the same server %v", granted.Rejection, second.Rejection, shared.Rejection)
	}
	first.Release = true
	l.command(Command{Trial: first})
	l.crash(4, "c", nil, "x")
	if _, alone := l.trial(2, "x"); alone.Rejection == nil || alone.Rejection.Code != CodeBusy {
		t.Errorf("a part with two crashes is tried beside another trial: %v", alone.Rejection)
	}
	if _, again := l.trial(3, "x"); again.Rejection != nil {
		t.Errorf("released part is not tried again: %v", again.Rejection)
	}
	if _, sound := l.trial(5, "never seen"); sound.Rejection == nil || sound.Rejection.Code != CodeNotSuspect {
		t.Errorf("trial of a part without a crash: %v", sound.Rejection)
	}
}

// Guards against a quarantine that ends again and again at the cost of a server each
// time, and against one that never ends.
func TestEachFurtherQuarantineOfAPartLastsLonger(t *testing.T) {
	l := newPartLog()
	l.crash(0, "a", nil, "x")
	last := time.Duration(0)
	for i := 1; i <= 20; i++ {
		trial, result := l.trial(i, "x")
		if result.Rejection != nil {
			t.Fatal(result.Rejection)
		}
		l.crash(i, fmt.Sprint("b", i), trial, "x")
		lasts := time.Duration(l.Suspects[PartKey("x")].Part.UntilMS-l.ClockMS) * time.Millisecond
		if lasts < last || lasts > maxQuarantine || lasts < maxQuarantine && lasts <= last {
			t.Fatalf("quarantine %d lasts %v, the one before %v", i, lasts, last)
		}
		last = lasts
		l.command(Command{UnixMS: l.Suspects[PartKey("x")].Part.UntilMS})
	}
}

// Guards against a state that callers fill with ever new prompt parts, and against a
// quarantined part that is forgotten for sound ones.
func TestSuspectsAreBounded(t *testing.T) {
	l := newPartLog()
	l.crash(0, "first", nil, "harmful")
	trial, _ := l.trial(1, "harmful")
	l.crash(1, "second", trial, "harmful")
	for i := range 2 * maxSuspects {
		l.crash(2+i, fmt.Sprint("f", i), nil, fmt.Sprint("p", i))
	}
	if len(l.Suspects) > maxSuspects || l.verdict("harmful") != "refused" {
		t.Errorf("%d suspects, requests with the harmful part are %s", len(l.Suspects), l.verdict("harmful"))
	}
}

// Guards against a sound part that is rejected because it stood beside a harmful one in the
// prompt when both were new: nothing could clear it before the end of the quarantine.
func TestPartBesideAHarmfulOneIsTried(t *testing.T) {
	l := newPartLog()
	l.crash(1, "a", nil, "harmful", "sibling")
	l.crashUnderTrial(2, "b", []string{"harmful", "sibling"}, "harmful", "sibling")
	trial, result := l.trial(3, "sibling")
	if result.Rejection != nil {
		t.Fatalf("trial of the sibling: %v", result.Rejection)
	}
	if _, both := l.trial(4, "harmful", "sibling"); both.Rejection == nil || both.Rejection.Code != CodeQuarantined {
		t.Errorf("trial of both: %v, want %s", both.Rejection, CodeQuarantined)
	}
	l.answer(trial.Parts...)
	if sibling, harmful := l.verdict("sibling"), l.verdict("harmful"); sibling != "sent" || harmful != "refused" {
		t.Errorf("after an answer, requests with the sibling are %s, with the harmful part %s", sibling, harmful)
	}
}

// Guards against a caller that fills the state with the parts of its prompts, and against a
// quarantine of one part that ends because of them.
func TestGroupsOfPartsAreBounded(t *testing.T) {
	l := newPartLog()
	l.crash(1, "a", nil, "harmful")
	l.crashUnderTrial(2, "b", []string{"harmful"}, "harmful")
	for i := range 30 {
		var parts []string
		for j := range maxGroupedParts / 16 {
			parts = append(parts, fmt.Sprint("part-", i, "-", j))
		}
		l.crash(10+2*i, fmt.Sprint("c", i), nil, parts...)
		l.crashUnderTrial(11+2*i, fmt.Sprint("d", i), parts, parts...)
		if newest := strings.Join(parts, ","); l.verdict(newest) != "refused" {
			t.Fatalf("requests of round %d are %s", i, l.verdict(newest))
		}
	}
	total := 0
	for _, rec := range l.Suspects {
		total += len(rec.beside())
	}
	if total > maxGroupedParts || l.verdict("harmful") != "refused" {
		t.Errorf("%d parts in groups, requests with the harmful part are %s", total, l.verdict("harmful"))
	}
}

// Guards against hosts that disagree on a group of parts because they go through the records in
// another order.
func TestGroupsOfPartsDoNotDependOnTheOrderOfRecords(t *testing.T) {
	groups := [][]string{{"a", "b"}, {"c", "d"}, {"b", "e"}, {"d", "f", "a"}, {"e", "c"}}
	var first *partLog
	for range 50 {
		l := newPartLog()
		for i, parts := range groups {
			l.crash(10*i, fmt.Sprint("x", i), nil, parts...)
			l.crashUnderTrial(10*i+1, fmt.Sprint("y", i), parts, parts...)
		}
		l.answer("d")
		if first == nil {
			first = l
		}
		if !slices.Equal(l.quarantinedParts(), first.quarantinedParts()) || l.Hash() != first.Hash() {
			t.Fatalf("quarantined %v, and %v by another host", l.quarantinedParts(), first.quarantinedParts())
		}
	}
}
