package evidence

import (
	"fmt"
	"reflect"
	"testing"
)

// Guards against a part that is accused although an answer has begun since its last
// crash, and against one that is excused by an older answer.
func TestSplit(t *testing.T) {
	b := NewBegun()
	b.Record([]string{"shared", "old"}, 5)
	b.Record([]string{"shared"}, 9)
	lastCrash := map[string]uint64{"shared": 9, "old": 6}
	answered, accused := b.Split([]string{"shared", "old", "unknown"}, func(p string) uint64 { return lastCrash[p] })
	if !reflect.DeepEqual(answered, []string{"shared"}) || !reflect.DeepEqual(accused, []string{"old", "unknown"}) {
		t.Errorf("answered %v, accused %v", answered, accused)
	}
}

// Guards against a memory that callers fill with ever new parts, and against a part that
// is forgotten while it is in use.
func TestMemoryIsBounded(t *testing.T) {
	b := NewBegun()
	for i := range 10 * maxParts {
		b.Record([]string{"shared", fmt.Sprint(i)}, uint64(i))
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
