package notice

import (
	"math"
	"net/http"
	"testing"
	"time"
)

// TestRead guards against a limit or a pause that is taken from a value that cannot be read,
// and against one that is missed.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   []string
		leaving []string
		pause   []string
		refused bool
		want    Notice
		invalid int
	}{
		{name: "nothing"},
		{name: "limit", limit: []string{"3.7"}, want: Notice{LimitNamed: true, PerSecond: 3.7}},
		{name: "limit of zero", limit: []string{"0"}, want: Notice{LimitNamed: true}},
		{name: "limit without digits before the point", limit: []string{".5"}, want: Notice{LimitNamed: true, PerSecond: .5}},
		{name: "limit with spaces", limit: []string{" 2 "}, want: Notice{LimitNamed: true, PerSecond: 2}},
		{name: "the same limit twice", limit: []string{"2", "2"}, want: Notice{LimitNamed: true, PerSecond: 2}},
		{name: "two limits", limit: []string{"2", "3"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "negative limit", limit: []string{"-1"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "empty limit", limit: []string{""}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "only a point", limit: []string{"."}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "no number", limit: []string{"many"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "not a number", limit: []string{"NaN"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "endless limit", limit: []string{"Inf"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "hexadecimal limit", limit: []string{"0x10"}, want: Notice{LimitInvalid: true}, invalid: 1},
		{name: "huge limit", limit: []string{"1e999"}, want: Notice{LimitNamed: true, PerSecond: math.MaxFloat64}},
		{name: "leaving", leaving: []string{"1"}, want: Notice{Leaving: true}},
		{name: "not leaving", leaving: []string{"0"}, invalid: 1},
		{name: "pause", pause: []string{"1.5"}, refused: true, want: Notice{Pause: 1500 * time.Millisecond}},
		{name: "huge pause", pause: []string{"1e300"}, refused: true, want: Notice{Pause: MaxPause}},
		{name: "pause beside an answer that ran", pause: []string{"1.5"}},
		{name: "negative pause", pause: []string{"-1"}, refused: true, invalid: 1},
		{name: "pause that is a date", pause: []string{"Fri, 04 Dec 2026 00:00:00 GMT"}, refused: true, invalid: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{"L": c.limit, "G": c.leaving, "P": c.pause}
			got := Read(Fields{
				Limit: Field{"L", h.Values("L")}, Leaving: Field{"G", h.Values("G")}, Pause: Field{"P", h.Values("P")}, Refused: c.refused,
			})
			if len(got.Invalid) != c.invalid {
				t.Errorf("%d invalid values, want %d", len(got.Invalid), c.invalid)
			}
			if got.LimitNamed != c.want.LimitNamed || got.PerSecond != c.want.PerSecond || got.Leaving != c.want.Leaving ||
				got.Pause != c.want.Pause || got.LimitInvalid != c.want.LimitInvalid {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// FuzzRead guards against values of a faulty server that set a limit or a pause which is no number,
// negative or endless, or that fill the log.
func FuzzRead(f *testing.F) {
	for _, value := range []string{"3.7", "-1", "NaN", "1e999", "0x10", "1e-400", " 2 ", "1e+", "٣"} {
		f.Add(value, value, true)
	}
	f.Fuzz(func(t *testing.T, limit, pause string, refused bool) {
		n := Read(Fields{Limit: Field{"L", []string{limit}}, Pause: Field{"P", []string{pause}}, Refused: refused})
		if !(n.PerSecond >= 0) || n.LimitNamed == n.LimitInvalid {
			t.Errorf("limit %q: %+v", limit, n)
		}
		if n.Pause < 0 || n.Pause > MaxPause || n.Pause > 0 && !refused {
			t.Errorf("pause %q: %s", pause, n.Pause)
		}
		for _, v := range n.Invalid {
			if len(v.Value) > maxLoggedValue {
				t.Errorf("a value of %d bytes is kept", len(v.Value))
			}
		}
	})
}
