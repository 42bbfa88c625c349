// Package proptest runs the property tests of a package with fixed seeds, so
// that every run gives the same verdict.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Environment variables of the long runs. The test cache does not see them, so
// they need -count=1.
const (
	// ChecksVariable sets the number of histories, with a random seed.
	ChecksVariable = "POLLENWHEEL_FUZZ_CHECKS"
	// SeedVariable sets the seed.
	SeedVariable = "POLLENWHEEL_FUZZ_SEED"
)

// Options of a package's property tests.
type Options struct {
	// Checks is the number of histories without ChecksVariable.
	Checks int
	// Steps is the mean length of a history of actions; zero keeps rapid's.
	Steps int
}

// Main sets rapid's flags, unless they are given on the command line, and runs
// the tests.
func Main(m *testing.M, o Options) {
	Configure(o)
	os.Exit(m.Run())
}

// Configure sets rapid's flags, unless they are given on the command line.
func Configure(o Options) {
	flag.Parse()
	checks, seed := fmt.Sprint(o.Checks), "1"
	if v := os.Getenv(ChecksVariable); v != "" {
		checks, seed = v, "0"
	}
	if v := os.Getenv(SeedVariable); v != "" {
		seed = v
	}
	set("rapid.checks", checks)
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	if o.Steps > 0 {
		set("rapid.steps", fmt.Sprint(o.Steps))
	}
}

func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintln(os.Stderr, "proptest:", err)
		os.Exit(2)
	}
}
