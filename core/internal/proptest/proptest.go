// Package proptest runs property tests with a fixed seed, so that every run
// gives the same verdict.
package proptest

import (
	"flag"
	"os"
	"testing"
)

const (
	// seed of every run without POLLENWHEEL_FUZZ_CHECKS.
	seed = "20261204"
	// ChecksVariable sets a larger number of histories and a random seed.
	ChecksVariable = "POLLENWHEEL_FUZZ_CHECKS"
)

// Main sets the property test flags, unless they are given on the command
// line, and runs the tests.
//
// Checks is the number of histories and steps their mean length.
func Main(m *testing.M, checks, steps string) {
	flag.Parse()
	set("rapid.steps", steps)
	if v := os.Getenv(ChecksVariable); v != "" {
		set("rapid.checks", v)
	} else {
		set("rapid.checks", checks)
		set("rapid.seed", seed)
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}
