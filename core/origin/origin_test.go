package origin

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// TestAnswer guards against an origin that is guessed although several are possible, and
// against a resumption that is refused although only one is.
func TestAnswer(t *testing.T) {
	reported := Origin{"a", "v1"}
	for _, c := range []struct {
		name     string
		question Question
		admitted Admitted
		want     Answer
	}{
		{"reported", Question{1, []string{"a"}}, Admitted{"a": {"v1", "v2"}}, Answer{Known: true, Origin: reported}},
		{"reported, its version is retired", Question{1, []string{"a"}}, Admitted{"a": {"v2"}}, Answer{Known: true, Origin: reported}},
		{"not reported, one version", Question{2, []string{"a"}}, Admitted{"a": {"v2"}}, Answer{Known: true, Inferred: true, Origin: Origin{"a", "v2"}}},
		{"not reported, two versions", Question{2, []string{"a"}}, Admitted{"a": {"v1", "v2"}}, Answer{}},
		{"not reported, servers name no version", Question{2, []string{"a"}}, Admitted{}, Answer{Known: true, Inferred: true, Origin: Origin{"a", ""}}},
		{"not reported, the route has two services", Question{2, []string{"a", "b"}}, Admitted{"a": {"v1"}, "b": {"v1"}}, Answer{}},
		{"not reported, the route has no service", Question{2, nil}, Admitted{"a": {"v1"}}, Answer{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.Add(0, Record{1, reported, sec})
			if got := table.Answer(c.question, c.admitted); got != c.want {
				t.Errorf("answer %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestStreamKeepsItsFirstOrigin guards against a second report that moves a stream to another
// origin, and against a stream that is resumed again and again and expires meanwhile.
func TestStreamKeepsItsFirstOrigin(t *testing.T) {
	table := NewTable()
	table.Add(0, Record{1, Origin{"a", "v1"}, sec})
	table.Add(0, Record{1, Origin{"a", "v2"}, 3 * sec})
	table.Add(2*sec, Record{2, Origin{"a", "v2"}, 9 * sec})
	if got := table.Answer(Question{Stream: 1}, nil); got.Origin.Version != "v1" {
		t.Errorf("origin %+v, want the first one", got)
	}
	table.Add(4*sec, Record{3, Origin{"a", "v2"}, 9 * sec})
	if got := table.Answer(Question{Stream: 1}, nil); got.Known || table.Len() != 2 {
		t.Errorf("answer %+v and %d streams after the expiry, want none and 2", got, table.Len())
	}
}

// TestTablesAreBounded guards against streams that fill the memory of a host or of the leader.
func TestTablesAreBounded(t *testing.T) {
	table, journal := NewTable(), NewJournal()
	for i := range StreamID(maxTableRecords + 10) {
		table.Add(0, Record{i, Origin{"a", "v1"}, sec})
		journal.Add(0, Record{i, Origin{"a", "v1"}, sec})
	}
	if _, oldest := table.records[0]; table.Len() != maxTableRecords || oldest {
		t.Errorf("the table holds %d streams, the oldest: %v; want the newest %d", table.Len(), oldest, maxTableRecords)
	}
	if n := journal.table.Len(); n > maxJournalRecords || len(journal.unsent) > maxJournalRecords {
		t.Errorf("the journal holds %d streams, %d of them unsent, want at most %d", n, len(journal.unsent), maxJournalRecords)
	}
}

// TestJournalTellsEveryLeader guards against streams that a new leader, or one that a report
// did not reach, never learns of.
func TestJournalTellsEveryLeader(t *testing.T) {
	j := NewJournal()
	j.Add(0, Record{1, Origin{"a", "v1"}, 9 * sec})
	first := j.Take(sec)
	if len(first) != 1 || first[0].Expires != 8*sec {
		t.Fatalf("report %+v, want one stream that expires in 8 s", first)
	}
	j.RecordFailure(first)
	if again := j.Take(sec); len(again) != 1 {
		t.Fatalf("report %+v after a failure, want the stream again", again)
	}
	j.RecordReply(1)
	j.Take(sec)
	j.RecordReply(1)
	if j.HasUnsent() {
		t.Error("the same leader is told again")
	}
	j.RecordReply(2)
	if got := j.Take(2 * sec); len(got) != 1 {
		t.Errorf("report %+v to a new leader, want the stream", got)
	}
	if j.RecordReply(3); len(j.Take(10*sec)) != 0 || !j.Empty(10*sec) {
		t.Error("an expired stream is reported")
	}
}

// TestRegistry guards against streams that begin at a version before it is admitted for all
// hosts, against a version that is forgotten while its streams may be resumed, and against
// announcements that fill the replicated state.
func TestRegistry(t *testing.T) {
	v1, v2 := Origin{"a", "v1"}, Origin{"a", "v2"}
	many := Admitted{}
	for i := range maxVersions {
		many["a"] = append(many["a"], fmt.Sprintf("w%02d", i))
	}
	for _, c := range []struct {
		name      string
		admitted  Admitted
		seen      map[Origin]time.Duration
		announced []Origin
		want      []Change
	}{
		{"first version", Admitted{}, nil, []Origin{v1, v1}, []Change{{Origin: v1}}},
		{"further version", Admitted{"a": {"v1"}}, nil, []Origin{v1, v2}, []Change{{Origin: v2}}},
		{"all admitted", Admitted{"a": {"v1", "v2"}}, nil, []Origin{v1, v2}, nil},
		{"not announced for a short time", Admitted{"a": {"v1", "v2"}}, map[Origin]time.Duration{v1: sec}, []Origin{v2}, nil},
		{"not announced since before this leader", Admitted{"a": {"v1", "v2"}}, nil, []Origin{v2}, nil},
		{"not announced for long", Admitted{"a": {"v1", "v2"}}, map[Origin]time.Duration{v1: -sec}, []Origin{v2}, []Change{{v1, true}}},
		{"too many", many, nil, []Origin{v1}, []Change{{Origin{"a", "w00"}, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry()
			for o, at := range c.seen {
				r.seen[o] = at
			}
			got := r.Step(retention, c.admitted, c.announced)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("changes %+v, want %+v", got, c.want)
			}
			if again := r.Step(retention+repeatAfter/2, c.admitted, c.announced); len(again) > 0 {
				t.Errorf("changes %+v are proposed again at once", again)
			}
			if again := r.Step(retention+2*repeatAfter, c.admitted, c.announced); len(again) != len(c.want) {
				t.Errorf("changes %+v after a proposal without effect, want %+v", again, c.want)
			}
		})
	}
}
