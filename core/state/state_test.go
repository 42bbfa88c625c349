package state

import (
	"errors"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/config"
)

func configurationNamed(name string) config.Configuration {
	return config.Configuration{Deployment: config.Deployment{Name: name}}
}

// TestConfigureResults guards against a resend that is applied twice, a change that
// is mistaken for another one with the same id, and a version conflict that does
// not name the winning change.
func TestConfigureResults(t *testing.T) {
	cases := []struct {
		name    string
		change  Configure
		version uint64
		code    Code
		winner  string
	}{
		{"first change", Configure{ChangeID: "a", Expected: 0, Next: configurationNamed("x")}, 1, "", ""},
		{"resend of an accepted change", Configure{ChangeID: "a", Expected: 0, Next: configurationNamed("x")}, 1, "", ""},
		{"other change with the same id", Configure{ChangeID: "a", Expected: 0, Next: configurationNamed("y")}, 0, CodeKeyReused, ""},
		{"other change with the same expected version", Configure{ChangeID: "b", Expected: 0, Next: configurationNamed("y")}, 1, CodeVersionConflict, "a"},
		{"next change", Configure{ChangeID: "c", Expected: 1, Next: configurationNamed("z")}, 2, "", ""},
		{"resend after a later change", Configure{ChangeID: "a", Expected: 0, Next: configurationNamed("x")}, 1, "", ""},
		{"expected version above the current one", Configure{ChangeID: "d", Expected: 7, Next: configurationNamed("z")}, 2, CodeVersionConflict, ""},
	}
	s := New()
	for i, c := range cases {
		r := s.Apply(uint64(i+1), Command{Configure: &c.change})
		var rej *Rejection
		errors.As(r.Err(), &rej)
		if rej == nil {
			rej = &Rejection{}
		}
		if r.Version != c.version || rej.Code != c.code || rej.Winner != c.winner {
			t.Errorf("%s: wrong version %d or rejection %+v", c.name, r.Version, rej)
		}
	}
	if s.Config.Deployment.Name != "z" || s.Config.Version != 2 {
		t.Errorf("current configuration: got name %s, version %d; want name z, version 2", s.Config.Deployment.Name, s.Config.Version)
	}
}

// TestPatchEqualsCompleteChange guards against a patch whose result differs from the
// complete next configuration, and against a resend that is not recognised because
// only one of the two commands contains a patch.
func TestPatchEqualsCompleteChange(t *testing.T) {
	first := configurationNamed("x")
	first.Models = []config.Model{{Name: "b"}, {Name: "a"}}
	second := configurationNamed("y")
	second.Models = []config.Model{{Name: "c"}, {Name: "a", MaxReplicas: 2}}
	complete, patched := New(), New()
	for i, next := range []config.Configuration{first, second} {
		id, index := string(rune('a'+i)), uint64(i+1)
		a := Configure{ChangeID: id, Expected: uint64(i), Next: next}
		b := NewConfigure(id, uint64(i), patched.Config, next)
		if b.Patch == nil {
			t.Fatal("the command for the expected version contains no patch")
		}
		if r := complete.Apply(index, Command{Configure: &a}); r.Rejection != nil {
			t.Fatal(r.Rejection)
		}
		if r := patched.Apply(index, Command{Configure: &b}); r.Rejection != nil {
			t.Fatal(r.Rejection)
		}
		resend := NewConfigure(id, uint64(i), patched.Config, next)
		if _, ok := complete.FindAccepted(resend); !ok || resend.Patch != nil {
			t.Errorf("resend of change %s is not recognised or contains a patch", id)
		}
	}
	if complete.Hash() != patched.Hash() {
		t.Errorf("patched configuration %+v, want that of the complete change: %+v", patched.Config, complete.Config)
	}
}

// TestLateClearingKeepsCrashes guards against a late duplicate of the command that clears
// a suspect: it must not clear a crash recorded after the successful trial, or the
// request could crash a third server.
func TestLateClearingKeepsCrashes(t *testing.T) {
	s := New()
	crash := func(server string) *Suspect {
		return &Suspect{Server: server, Incarnation: 1, Fingerprints: []string{"f"}}
	}
	clearing := Command{ClearSuspect: &ClearSuspect{Fingerprint: "f"}}
	for i, c := range []Command{
		{Suspect: crash("a")},
		{Trial: &Trial{Fingerprint: "f", Server: "b", Incarnation: 1}},
		clearing,
		{Suspect: crash("b")},
		clearing,
		{Suspect: crash("c")},
	} {
		s.Apply(uint64(i+1), c)
	}
	if !s.Suspects["f"].Quarantined {
		t.Fatalf("not quarantined after two crashes since the successful trial: %+v", s.Suspects["f"])
	}
}

// TestClaimOfFailedHolder guards against a claim that stays in progress until the end
// of its retention after its holder failed, and against a late outcome that is not
// recorded.
func TestClaimOfFailedHolder(t *testing.T) {
	s := New()
	holder := HostProcess{Host: "h1", Incarnation: 1}
	claim := Claim{Key: "k", Caller: "c", CreatedMS: 1000, Fingerprint: "f", Holder: holder, Nonce: 1, ExpiresMS: 5000}
	other := claim
	other.Holder = HostProcess{Host: "h2", Incarnation: 1}
	outcome := &Outcome{Key: "k", Caller: "c", Holder: holder, Nonce: 1, Status: 200}
	steps := []struct {
		name    string
		command Command
		code    Code
	}{
		{"first claim", Command{UnixMS: 1000, Claim: &claim}, ""},
		{"repeated proposal of the holder", Command{UnixMS: 2000, Claim: &claim}, ""},
		{"resend through another host", Command{UnixMS: 3000, Claim: &other}, CodeClaimHeld},
		{"resend after the holder's deadline", Command{UnixMS: 6000, Claim: &other}, CodeOutcomeUnknown},
		{"late outcome", Command{UnixMS: 7000, Outcome: outcome}, ""},
		{"resend after the late outcome", Command{UnixMS: 8000, Claim: &other}, ""},
	}
	for i, c := range steps {
		var rej *Rejection
		got := Code("")
		if errors.As(s.Apply(uint64(i+1), c.command).Err(), &rej) {
			got = rej.Code
		}
		if got != c.code {
			t.Errorf("%s: rejection code %q, want %q", c.name, got, c.code)
		}
	}
}

// TestClaimsAfterRetentionChange guards against a second execution when the
// retention is raised after claims were removed under a shorter one.
func TestClaimsAfterRetentionChange(t *testing.T) {
	s := New()
	retention := func(seconds int) *Configure {
		c := configurationNamed("x")
		c.Deployment.ClaimRetentionSeconds = seconds
		return &Configure{ChangeID: string(rune('a' + seconds)), Expected: s.Config.Version, Next: c}
	}
	claim := &Claim{Key: "k", Caller: "c", CreatedMS: 1000, Fingerprint: "f"}
	s.Apply(1, Command{Configure: retention(10), UnixMS: 1000})
	if r := s.Apply(2, Command{Claim: claim, UnixMS: 1000}); r.Rejection != nil {
		t.Fatal(r.Rejection)
	}
	s.Apply(3, Command{UnixMS: 20_000})
	s.Apply(4, Command{Configure: retention(100), UnixMS: 20_000})
	if r := s.Apply(5, Command{Claim: claim, UnixMS: 20_000}); r.Rejection == nil || r.Rejection.Code != CodeKeyExpired {
		t.Fatalf("the claim was granted again: %+v", r)
	}
}
