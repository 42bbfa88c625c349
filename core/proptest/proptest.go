// Package proptest runs the property tests of a package with fixed seeds, so
// that every run gives the same result.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Environment variables for long runs. The go command's test cache does not take
// them into account, so such runs need -count=1.
const (
	// ChecksVariable sets the number of test cases. The seed is then random,
	// unless SeedVariable sets it.
	ChecksVariable = "POLLENWHEEL_FUZZ_CHECKS"
	// SeedVariable sets the seed of the random test cases.
	SeedVariable = "POLLENWHEEL_FUZZ_SEED"
)

// Options configure the property tests of a package.
type Options struct {
	// Checks is the number of test cases if ChecksVariable is not set.
	Checks int
	// Steps is the mean number of actions per test case; zero keeps rapid's
	// default.
	Steps int
}

// Main calls Configure, runs the tests and exits the process. A package calls it from
// its TestMain.
func Main(m *testing.M, o Options) {
	Configure(o)
	os.Exit(m.Run())
}

// Configure parses the command line and sets rapid's flags by o and the environment
// variables, except those that are set on the command line.
func Configure(o Options) {
	flag.Parse()
	checks, seed := fmt.Sprint(o.Checks), "1"
	if v := os.Getenv(ChecksVariable); v != "" {
		checks, seed = v, "0" // with 0, rapid chooses a random seed
	}
	if v := os.Getenv(SeedVariable); v != "" {
		seed = v
	}
	setFlag("rapid.checks", checks)
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true")
	if o.Steps > 0 {
		setFlag("rapid.steps", fmt.Sprint(o.Steps))
	}
}

func setFlag(name, value string) {
	onCommandLine := false
	flag.Visit(func(f *flag.Flag) { onCommandLine = onCommandLine || f.Name == name })
	if onCommandLine {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintln(os.Stderr, "proptest:", err)
		os.Exit(2)
	}
}
