package state

import (
	"fmt"
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

// verdict returns what hosts do with requests with a part.
func (l *partLog) verdict(id string) string {
	rec, ok := l.Suspects[PartKey(id)]
	switch {
	case !ok || rec.Part.Cleared:
		return "sent"
	case rec.Barred(l.ClockMS):
		return "refused"
	}
	return "tried"
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
		{"two suspect parts, the later is harmful", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			trial, _ := l.trial(2, "x", "y")
			l.crash(2, "b", trial, "x", "y")
		}, map[string]string{"x": "tried", "y": "refused"}},
		{"two suspect parts, the earlier is harmful", func(l *partLog) {
			l.crash(1, "a", nil, "x", "y")
			trial, _ := l.trial(2, "x", "y")
			l.crash(2, "b", trial, "x", "y")
			trial, _ = l.trial(3, "x")
			l.crash(3, "c", trial, "x")
		}, map[string]string{"x": "refused", "y": "tried"}},
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
