package state

import "testing"

// TestLateReleaseKeepsLaterClaim guards against a second execution: a late release
// of an earlier claim must not end a later claim of the same holder on the same
// key.
func TestLateReleaseKeepsLaterClaim(t *testing.T) {
	s := New()
	holder := HostProcess{Host: "entry-1", Incarnation: 1}
	claim := func(nonce uint64) Command {
		return Command{UnixMS: 1000, Claim: &Claim{Key: "1000.a", CreatedMS: 1000, Holder: holder, Nonce: nonce}}
	}
	release := func(nonce uint64) Command {
		return Command{Outcome: &Outcome{Key: "1000.a", Holder: holder, Nonce: nonce, NotRun: true}}
	}
	steps := []struct {
		name string
		c    Command
		want Code
	}{
		{"first claim", claim(1), ""},
		{"release of the first claim", release(1), ""},
		{"second claim", claim(2), ""},
		{"late duplicate of the first release", release(1), CodeStale},
		{"resend while the second claim is open", claim(3), CodeClaimHeld},
		{"unknown outcome by another host", Command{Outcome: &Outcome{Key: "1000.a", Holder: holder, Unknown: true}}, ""},
		{"resend after the unknown outcome", claim(4), CodeOutcomeUnknown},
	}
	for i, step := range steps {
		got := Code("")
		if r := s.Apply(uint64(i+1), step.c); r.Rejection != nil {
			got = r.Rejection.Code
		}
		if got != step.want {
			t.Fatalf("%s: rejection code %q, want %q", step.name, got, step.want)
		}
	}
}

// TestTrialExpiresAndIgnoresLateRelease guards against a server that stays blocked
// by the trial of a host that failed, and against a late release that ends another
// trial.
func TestTrialExpiresAndIgnoresLateRelease(t *testing.T) {
	s := New()
	trial := func(nonce uint64, server string, expires int64) *Trial {
		return &Trial{Fingerprint: "f", Server: server, Incarnation: 1, Nonce: nonce, ExpiresMS: expires}
	}
	release := *trial(1, "runner-1", 2000)
	release.Release = true
	steps := []struct {
		name string
		c    Command
		want Code
	}{
		{"suspect", Command{UnixMS: 1000, Suspect: &Suspect{Server: "runner-9", Incarnation: 1, Fingerprints: []string{"f"}}}, ""},
		{"first trial", Command{Trial: trial(1, "runner-1", 2000)}, ""},
		{"second trial", Command{Trial: trial(2, "runner-2", 3000)}, CodeBusy},
		{"second trial after the first expired", Command{UnixMS: 2001, Trial: trial(2, "runner-2", 3000)}, ""},
		{"late release of the first trial", Command{Trial: &release}, ""},
		{"third trial", Command{Trial: trial(3, "runner-3", 4000)}, CodeBusy},
	}
	for i, step := range steps {
		got := Code("")
		if r := s.Apply(uint64(i+1), step.c); r.Rejection != nil {
			got = r.Rejection.Code
		}
		if got != step.want {
			t.Fatalf("%s: rejection code %q, want %q", step.name, got, step.want)
		}
	}
}
