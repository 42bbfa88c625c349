// Command standin runs one case of the review: it starts the product's processes on
// loopback addresses, plays the platform, the clients and the runners, and judges what
// these have seen.
//
// Exit status: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario is one case.
type scenario struct {
	entryHosts int
	// play plays the case and reports whether the rule was broken.
	play func(r *record, c *cluster, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"drop-model":   {2, dropModel},
	"endless-body": {3, endlessBody},
	"other-writer": {2, otherWriter},
	"two-crashes":  {2, twoCrashes},
	"idle-clients": {2, idleClients},
}

// timeLimit ends a case that hangs, before the two minutes that a script may take.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(rec, scenarios[name].entryHosts)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return 2
	}
	defer c.stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[name].play(rec, c, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.note("the case could not run: %v", r.err)
			return 2
		case r.broken:
			rec.note("RESULT: the rule was broken")
			return 1
		}
		rec.note("RESULT: the rule held")
		return 0
	case <-signals:
		rec.note("the case was interrupted")
	case <-time.After(timeLimit):
		rec.note("the case took too long")
	}
	return 2
}
