// Command review-standin-2 runs one case of the second review: it starts a small deployment of the
// program under review, stand-ins of runners, clients and the operator, and judges one rule.
//
// Usage, from the root of the repository: review-standin-2 CASE RECORD. With TROUBLE=0 in the
// environment the disruption is left out. The exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is one case. It returns whether the rule was broken, or an error if it could not run.
type scenario func(t *trial) (broken bool, err error)

// trial is one run of a case.
type trial struct {
	fleet   *fleet
	rec     *record
	clients *clients
	// trouble is false if the disruption is left out.
	trouble bool
	runners []*runner
}

var scenarios = map[string]struct {
	fronts int
	run    scenario
}{
	"long-prompt":   {3, longPrompt},
	"sibling-part":  {3, siblingPart},
	"begun-answer":  {3, begunAnswer},
	"query":         {3, queryRequest},
	"pause":         {2, longPause},
	"leave-and-end": {3, leaveAndEnd},
	"encoded-slash": {2, encodedSlash},
	"same-path":     {3, samePath},
	"safe-events":   {2, safeEvents},
	"adapters":      {3, adapterSlots},
	"first-start":   {2, firstStart},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	f, err := newFleet(s.fronts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	rec := &record{w: out, begun: time.Now()}
	t := &trial{fleet: f, rec: rec, clients: newClients(f, rec), trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := s.run(t)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			rec.add("could-not-run", "err", r.err)
			fmt.Println("could not run:", r.err)
			return 2
		}
		rec.add("result", "trouble", t.trouble, "broken", r.broken)
		if r.broken {
			return 1
		}
		return 0
	case <-interrupts:
		return 2
	case <-time.After(118 * time.Second):
		fmt.Println("could not run: too long")
		return 2
	}
}

// say writes a line of the verdict to the record and to the standard output.
func (t *trial) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.rec.add("verdict", "text", fmt.Sprintf("%q", text))
	fmt.Println(text)
}
