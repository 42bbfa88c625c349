package evidence

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a part that is accused although an answer has begun since its last
// crash, and against one that is excused by an old answer.
func TestSplit(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		name       string
		answeredAt time.Duration
		index      uint64
		crashes    Crashes
		accused    bool
	}{
		{"never answered", 0, 0, Crashes{}, true},
		{"answered long ago, no crash", time.Second, 1, Crashes{}, false},
		{"answered since the last crash", time.Second, 9, Crashes{LastIndex: 9}, false},
		{"answered before the last crash", time.Second, 8, Crashes{LastIndex: 9}, true},
		{"answered just before the last crash", now - freshFor + 1, 8, Crashes{LastIndex: 9}, false},
		{"cleared by another host", 0, 0, Crashes{LastIndex: 9, HasCleared: true, SinceCleared: freshFor - 1}, false},
		{"cleared by another host long ago", 0, 0, Crashes{LastIndex: 9, HasCleared: true, SinceCleared: freshFor}, true},
		{"cleared by a host whose clock is ahead", 0, 0, Crashes{LastIndex: 9, HasCleared: true, SinceCleared: -1}, true},
	} {
		b := NewBegun()
		if c.answeredAt > 0 {
			b.Record(c.answeredAt, []string{"part"}, c.index)
		}
		answered, accused := b.Split(now, []string{"part"}, func(string) Crashes { return c.crashes })
		if len(accused) > 0 != c.accused || len(answered)+len(accused) != 1 {
			t.Errorf("%s: answered %v, accused %v", c.name, answered, accused)
		}
	}
}

// Guards against a memory that callers fill with ever new parts, and against a part that
// is forgotten while it is in use.
func TestMemoryIsBounded(t *testing.T) {
	b := NewBegun()
	for i := range 10 * maxParts {
		b.Record(0, []string{"shared", fmt.Sprint(i)}, uint64(i))
		if len(b.recent)+len(b.older) > 2*maxParts {
			t.Fatalf("%d parts are remembered", len(b.recent)+len(b.older))
		}
		if index, ok := b.Index("shared"); !ok || index != uint64(i) {
			t.Fatalf("part in use after %d others: index %d, %v", i, index, ok)
		}
	}
	if _, ok := b.Index("0"); ok {
		t.Error("the oldest part is still remembered")
	}
}

// Guards against a sound part that stays a suspect although this host knows an answer,
// against an old answer that clears a harmful part, and against repeated reports.
func TestRefutes(t *testing.T) {
	b := NewBegun()
	b.Record(0, []string{"part"}, 5)
	for _, c := range []struct {
		name                     string
		part                     string
		refutingIndex, lastIndex uint64
		want                     bool
	}{
		{"unknown part", "other", 0, 7, false},
		{"answer before the crash that it would have to follow", "part", 6, 7, false},
		{"answer after it", "part", 5, 7, true},
		{"same crash again", "part", 5, 7, false},
		{"next crash", "part", 5, 8, true},
	} {
		if index, ok := b.Refutes(c.part, c.refutingIndex, c.lastIndex); ok != c.want || ok && index != 5 {
			t.Errorf("%s: index %d, %v, want %v", c.name, index, ok, c.want)
		}
	}
}
