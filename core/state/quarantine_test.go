package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// partOracle plays requests with some of a few parts one after another, as one host sends them. One
// part is harmful: each server that gets a request with it crashes.
type partOracle struct {
	*partLog
	harmful  string
	sent     int
	crashes  int
	answered map[string]uint64
}

// request sends a request with the parts, and returns what became of it.
func (o *partOracle) request(parts []string) string {
	o.sent++
	verdict := o.verdict(strings.Join(parts, ","))
	if verdict == "refused" {
		return verdict
	}
	var trial *Trial
	if verdict == "tried" {
		var suspects []string
		for _, id := range parts {
			if o.verdict(id) != "sent" {
				suspects = append(suspects, id)
			}
		}
		granted, result := o.trial(o.sent, suspects...)
		if result.Rejection != nil {
			return "refused"
		}
		trial = granted
	}
	if slices.Contains(parts, o.harmful) {
		o.crashes++
		o.command(Command{Suspect: o.suspectFor(parts, trial)})
		return "crashed"
	}
	for _, id := range parts {
		o.answered[id] = o.Index
	}
	if trial != nil {
		o.answer(trial.Parts...)
	}
	return "answered"
}

// suspectFor returns the record of a crash under a request: parts that were answered since their last
// crash are excused.
func (o *partOracle) suspectFor(parts []string, trial *Trial) *Suspect {
	c := &Suspect{Server: fmt.Sprint("server-", o.sent), Incarnation: 1, Sequence: 1, Fingerprints: []string{fmt.Sprint("f", o.sent)}, Trial: trial}
	for _, id := range parts {
		if at, ok := o.answered[id]; ok && at >= o.Suspects[PartKey(id)].LastIndex {
			c.Answered = append(c.Answered, id)
		} else {
			c.Parts = append(c.Parts, id)
		}
	}
	return c
}

// Guards against sound requests that are refused, and harmful ones that go on to crash servers, in
// whatever order and company the parts of prompts come. With one harmful part that explains all
// crashes, no request without it is ever refused, and each crash tells at least one part apart.
func TestOnlyRequestsWithTheHarmfulPartAreRefused(t *testing.T) {
	pool := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		o := &partOracle{partLog: newPartLog(), harmful: pool[rng.IntN(len(pool))], answered: map[string]uint64{}}
		limit := 0
		for range 300 {
			var parts []string
			for _, i := range rng.Perm(len(pool))[:1+rng.IntN(5)] {
				parts = append(parts, pool[i])
			}
			if limit == 0 && slices.Contains(parts, o.harmful) {
				// The first crash accuses, the second forms a group, and each further one is
				// of a request without some part of the group.
				limit = 2 + 4
			}
			if got := o.request(parts); got == "refused" && !slices.Contains(parts, o.harmful) {
				t.Fatalf("seed %d: a request with %v is refused, although only %s is harmful; quarantined: %v", seed, parts, o.harmful, o.quarantinedParts())
			}
			if o.crashes > limit && limit > 0 {
				t.Fatalf("seed %d: %d servers crashed, want at most %d", seed, o.crashes, limit)
			}
		}
		if o.crashes == 0 {
			t.Fatalf("seed %d: no request with the harmful part", seed)
		}
		if got := o.verdict(o.harmful); o.crashes > 1 && got != "refused" {
			t.Errorf("seed %d: at the end, requests with the harmful part alone are %s", seed, got)
		}
	}
}
