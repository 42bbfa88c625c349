package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
)

func configurationFile(replicas string) string {
	return `[deployment thies]

[service scribe]
kind = engine

[model atlas]
service = scribe
version = 1
memory_mib = 100
max_replicas = ` + replicas + `

[caller ops]
team = operators
role = operator
key_sha256 = ` + admin.HashKey("operator") + `

[objective scribe/availability]
target = 0.99
`
}

// expect checks the exit code, and that stdout or stderr contains want.
func expect(t *testing.T, code int, stdout, stderr string, wantCode int, want string) {
	t.Helper()
	if code != wantCode || !strings.Contains(stdout+stderr, want) {
		t.Errorf("exit code %d, want %d and %q\nstdout: %s\nstderr: %s", code, wantCode, want, stdout, stderr)
	}
}

// TestApplyResends guards against a change that is applied twice, or reported as
// failed, after its answer was lost.
func TestApplyResends(t *testing.T) {
	tl := newTool(t)
	tl.deployment.answersToLose = 3
	file := tl.writeFile("c.ini", configurationFile("2"))
	code, stdout, stderr := tl.run("apply", file, "--expected", "0", "--wait")
	expect(t, code, stdout, stderr, exitOK, "is version 1\nin force on nord-1, sud-1\n")
	if tl.deployment.state.Config.Version != 1 || tl.deployment.requests < 4 {
		t.Errorf("version %d after %d requests", tl.deployment.state.Config.Version, tl.deployment.requests)
	}
	code, again, stderr := tl.run("apply", file, "--expected", "0")
	expect(t, code, again, stderr, exitOK, "is version 1\n")
	if tl.deployment.state.Config.Version != 1 {
		t.Errorf("repeating the command made version %d", tl.deployment.state.Config.Version)
	}
}

// TestFirstApplyResends guards against a first change that is reported as refused
// when it is resent, because the bootstrap key is valid only until that change is
// applied.
func TestFirstApplyResends(t *testing.T) {
	tl := newToolWithKey(t, "first")
	tl.deployment.answersToLose = 3
	file := tl.writeFile("c.ini", configurationFile("2"))
	code, stdout, stderr := tl.run("apply", file, "--expected", "0")
	expect(t, code, stdout, stderr, exitOK, "is version 1\n")
	code, stdout, stderr = tl.run("apply", file, "--expected", "0", "--wait")
	expect(t, code, stdout, stderr, exitRefused, "the change is version 1, but it is not known to be in force everywhere")
	code, stdout, stderr = tl.run("apply", tl.writeFile("d.ini", configurationFile("3")), "--expected", "1")
	expect(t, code, stdout, stderr, exitRefused, "the bootstrap key ended with the first configuration")
}

// TestApplyWaitTimesOut guards against a wait that succeeds before every host has
// the new version.
func TestApplyWaitTimesOut(t *testing.T) {
	tl := newTool(t)
	tl.deployment.hosts[1].CallerAddress = closedAddress(t)
	code, stdout, stderr := tl.run("apply", tl.writeFile("c.ini", configurationFile("2")), "--expected", "0", "--wait")
	expect(t, code, stdout, stderr, exitNoAnswer, "the change is version 1, but it is not known to be in force everywhere: these hosts do not have it yet: sud-1")
	expect(t, code, stdout, stderr, exitNoAnswer, "1 of 2 hosts have version 1; waiting for sud-1")
}

// TestApplyConflict guards against operators who overwrite each other's changes.
func TestApplyConflict(t *testing.T) {
	tl := newTool(t)
	first, second := tl.writeFile("first.ini", configurationFile("2")), tl.writeFile("second.ini", configurationFile("3"))
	code, stdout, stderr := tl.run("apply", first, "--expected", "0", "--change-id", "monday")
	expect(t, code, stdout, stderr, exitOK, "change monday is version 1")
	code, stdout, stderr = tl.run("apply", second, "--expected", "0", "--change-id", "tuesday")
	expect(t, code, stdout, stderr, exitConflict, "change tuesday was not applied: expected version 0, current version is 1; change monday replaced")
	code, stdout, stderr = tl.run("--output", "json", "apply", second, "--expected", "0", "--change-id", "tuesday")
	var f failure
	if err := json.Unmarshal([]byte(stderr), &f); err != nil || stdout != "" || code != exitConflict || f.ExitCode != code ||
		f.Refusal == nil || f.Refusal.Winner != "monday" || f.Refusal.Version != 1 {
		t.Errorf("conflict as JSON: exit code %d, error %v, stderr: %s", code, err, stderr)
	}
	code, stdout, stderr = tl.run("apply", tl.writeFile("third.ini", "[configuration]\nversion = 1\n"+configurationFile("3")))
	expect(t, code, stdout, stderr, exitOK, "is version 2")
}

// TestFailures guards against failures without an error message or with the wrong
// exit code.
func TestFailures(t *testing.T) {
	tl := newTool(t)
	validFile := tl.writeFile("c.ini", configurationFile("2"))
	invalidFile := tl.writeFile("bad.ini", configurationFile("-1"))
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"unknown command":              {[]string{"frobnicate"}, exitInvalid, "frobnicate"},
		"unknown output":               {[]string{"status", "--output", "xml"}, exitInvalid, "xml"},
		"missing file":                 {[]string{"validate", "none.ini"}, exitInvalid, "none.ini"},
		"invalid file":                 {[]string{"validate", invalidFile}, exitInvalid, "max_replicas = \"-1\": must be a whole number from 0"},
		"invalid file is not sent":     {[]string{"apply", invalidFile, "--expected", "0"}, exitInvalid, "max_replicas"},
		"missing expected version":     {[]string{"apply", validFile}, exitInvalid, "use --expected"},
		"invalid expected version":     {[]string{"apply", validFile, "--expected", "x"}, exitInvalid, "must be a version"},
		"invalid change id":            {[]string{"apply", validFile, "--expected", "0", "--change-id", "a b"}, exitInvalid, "--change-id must be"},
		"file that cannot be created":  {[]string{"generate", tl.writeFile("d.ini", decisions), "--file", "/dev/null/x"}, exitLocal, "/dev/null/x"},
		"unknown host":                 {[]string{"drain", "est-1"}, exitRefused, "no host has the name est-1"},
		"address with a host name":     {[]string{"status", "--address", "localhost:1"}, exitInvalid, "must be an IP address"},
		"missing key file":             {[]string{"status", "--key-file", "none"}, exitInvalid, "none"},
		"questionnaire without a team": {[]string{"questionnaire", "--file", "x.ini"}, exitInvalid, "--team"},
		"existing questionnaire":       {[]string{"questionnaire", "--team", "a", "--file", validFile}, exitInvalid, "exists"},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := tl.run(c.args...)
			expect(t, code, stdout, stderr, c.code, c.want)
		})
	}
	tl.key = "wrong"
	code, stdout, stderr := tl.run("status")
	expect(t, code, stdout, stderr, exitRefused, "the key is not known")
	tl.key = ""
	code, stdout, stderr = tl.run("status")
	expect(t, code, stdout, stderr, exitInvalid, "no operator key")
	tl.key, tl.addresses = "operator", nil
	code, stdout, stderr = tl.run("status")
	expect(t, code, stdout, stderr, exitInvalid, "no host is named")
	tl.addresses = []string{closedAddress(t)}
	code, stdout, stderr = tl.run("apply", validFile, "--expected", "0")
	expect(t, code, stdout, stderr, exitNoAnswer, "repeating the command is safe")
	if tl.deployment.state.Index != 0 {
		t.Errorf("%d commands were committed", tl.deployment.state.Index)
	}
}

const decisions = `[deployment thies]

[service scribe]
kind = engine
max_replicas = 1

[operator ops]
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
`

// TestRetryOnNextHost guards against a command that fails because the first host
// does not answer.
func TestRetryOnNextHost(t *testing.T) {
	tl := newTool(t)
	tl.addresses = append([]string{closedAddress(t)}, tl.addresses...)
	code, stdout, stderr := tl.run("hosts")
	expect(t, code, stdout, stderr, exitOK, "nord-1")
	if !strings.Contains(stderr, "connection refused") {
		t.Errorf("no progress message about the host that did not answer: %s", stderr)
	}
}

func TestDiff(t *testing.T) {
	tl := newTool(t)
	first, second := tl.writeFile("first.ini", configurationFile("2")), tl.writeFile("second.ini", configurationFile("3"))
	code, stdout, stderr := tl.run("diff", second, "--base", first)
	expect(t, code, stdout, stderr, exitDifferent, "~ models[atlas].max_replicas = 3 (was 2)\n1 changes")
	tl.run("apply", first, "--expected", "0")
	code, stdout, stderr = tl.run("diff", second)
	expect(t, code, stdout, stderr, exitDifferent, "compared with version 1\n~ models[atlas].max_replicas = 3 (was 2)\n")
	code, stdout, stderr = tl.run("diff", first)
	expect(t, code, stdout, stderr, exitOK, "0 changes")
}

// TestTextAndJSONOutput guards against commands whose text or JSON output is
// incomplete.
func TestTextAndJSONOutput(t *testing.T) {
	tl := newTool(t)
	tl.run("apply", tl.writeFile("c.ini", configurationFile("2")), "--expected", "0")
	tl.deployment.state.Placements[state.PlacementKey{Server: "engine-1", Model: "atlas"}] = state.Placement{Phase: state.PhaseReady}
	tl.deployment.state.Suspects["77c0"] = state.SuspectRecord{Crashes: []string{"engine-1/1", "engine-2/1"}, Quarantined: true}
	for name, c := range map[string]struct{ text, json string }{
		"status":   {"voters                    nord-1, sud-1\n", `"term": 3`},
		"models":   {"atlas  scribe   1        standard  1         2      0       0 of 0 ready  engine-1 (ready)\n", `"server": "engine-1"`},
		"hosts":    {"present", `"caller_address"`},
		"suspects": {"77c0  quarantined  -     lifted  -         engine-1/1, engine-2/1\n", `"state": "quarantined"`},
		"notices":  {"engine-1  7            takes 3.7 requests per second, wants none for 1500 ms  4            2\n", `"granted": {`},
		"burn":     {"not counted, because they did not answer: sud-1", `"severity": "ok"`},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := tl.run(name)
			expect(t, code, stdout, stderr, exitOK, c.text)
			code, stdout, stderr = tl.run(name, "--output", "json")
			expect(t, code, stdout, stderr, exitOK, c.json)
			if !json.Valid([]byte(stdout)) || stderr != "" {
				t.Errorf("stdout is not only JSON, or stderr is not empty: %s%s", stdout, stderr)
			}
		})
	}
	code, stdout, stderr := tl.run("notices")
	expect(t, code, stdout, stderr, exitOK, "engine-1        3.7         1        nord-1 9, sud-1 5\n")
	code, stdout, stderr = tl.run("lift", "77c0")
	expect(t, code, stdout, stderr, exitOK, "77c0 is cleared\n")
	code, stdout, stderr = tl.run("lift", "77c0")
	expect(t, code, stdout, stderr, exitRefused, "no suspect has the key 77c0")
	plot := filepath.Join(tl.folder, "burn.svg")
	tl.run("burn", "--plot", plot)
	if data, err := os.ReadFile(plot); err != nil || !strings.Contains(string(data), "scribe/availability") {
		t.Errorf("plot: error %v, contents: %s", err, data)
	}
}

// TestWithoutKey guards against a command for the local address of a host that asks for a key,
// and against one that reaches another address without a key unnoticed.
func TestWithoutKey(t *testing.T) {
	tl := newTool(t)
	tl.key = ""
	code, stdout, stderr := tl.run("notices", "--without-key")
	expect(t, code, stdout, stderr, exitRefused, "the request has no key")
	tl.addresses = []string{tl.deployment.serveLocal(t)}
	code, stdout, stderr = tl.run("notices")
	expect(t, code, stdout, stderr, exitInvalid, "no operator key")
	code, stdout, stderr = tl.run("notices", "--without-key")
	expect(t, code, stdout, stderr, exitOK, "engine-2  8            leaving")
}

// TestDrainWaits guards against a drain with --wait that returns before the host has
// ended.
func TestDrainWaits(t *testing.T) {
	tl := newTool(t)
	sleeps := 0
	tl.sleep = func() error {
		if sleeps++; sleeps == 3 {
			tl.deployment.mu.Lock()
			defer tl.deployment.mu.Unlock()
			tl.deployment.hosts[1].Silent = true
		}
		return nil
	}
	code, stdout, stderr := tl.run("drain", "sud-1", "--wait")
	expect(t, code, stdout, stderr, exitOK, "sud-1 has ended")
	if sleeps != 3 || !strings.Contains(stderr, "sud-1 is leaving") {
		t.Errorf("%d waits, want 3; stderr: %s", sleeps, stderr)
	}
}

// TestDrainWaitTimesOut guards against a drain that is reported as complete before
// the host has ended, such as while streams still run.
func TestDrainWaitTimesOut(t *testing.T) {
	tl := newTool(t)
	code, stdout, stderr := tl.run("drain", "sud-1", "--wait")
	expect(t, code, stdout, stderr, exitNoAnswer, "sud-1 has begun to leave, but has not ended yet; repeating the command is safe")
}

// TestQuestionnaire guards against new questionnaires that cannot be parsed, and
// keys that do not match their hash.
func TestQuestionnaire(t *testing.T) {
	tl := newTool(t)
	team, operators := filepath.Join(tl.folder, "team.ini"), filepath.Join(tl.folder, "operators.ini")
	code, stdout, stderr := tl.run("--output", "json", "questionnaire", "--team", "desk", "--caller", "desk-web", "--file", team)
	expect(t, code, stdout, stderr, exitOK, "desk-web")
	var n questionnaireResult
	if err := json.Unmarshal([]byte(stdout), &n); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(team)
	if err != nil || !strings.Contains(string(data), admin.HashKey(n.Keys["desk-web"])) || strings.Contains(string(data), n.Keys["desk-web"]) {
		t.Errorf("questionnaire of the team: error %v, contents: %s", err, data)
	}
	code, stdout, stderr = tl.run("questionnaire", "--deployment", "thies", "--operator", "ops", "--file", operators)
	expect(t, code, stdout, stderr, exitOK, "key of ops, shown only now")
	code, stdout, stderr = tl.run("validate", "--kind", "questionnaire", team)
	expect(t, code, stdout, stderr, exitOK, "valid: "+team)
	code, stdout, stderr = tl.run("validate", "--kind", "decisions", operators)
	expect(t, code, stdout, stderr, exitOK, "valid: "+operators)
	configuration := filepath.Join(tl.folder, "c.ini")
	code, stdout, stderr = tl.run("generate", operators, team, "--file", configuration)
	expect(t, code, stdout, stderr, exitOK, "0 models, 0 adapters and 2 callers")
	code, stdout, stderr = tl.run("validate", configuration)
	expect(t, code, stdout, stderr, exitOK, "valid")
}

// TestHelp guards against help that lacks an exit code or command, or is shown
// twice.
func TestHelp(t *testing.T) {
	code, stdout, stderr := newTool(t).run("--help")
	for _, want := range []string{
		"questionnaire", "generate", "validate", "diff", "apply", "status", "models", "hosts", "drain", "burn", "suspects", "lift", "notices", "6  diff found differences",
	} {
		expect(t, code, stdout, stderr, exitOK, want)
	}
	if n := strings.Count(stdout, "usage: pollenctl"); n != 1 {
		t.Errorf("the help is shown %d times", n)
	}
}

// TestUsageErrorAsJSON guards against usage errors that a script with JSON output
// cannot read.
func TestUsageErrorAsJSON(t *testing.T) {
	code, stdout, stderr := newTool(t).run("status", "--output", "json", "--frobnicate")
	var f failure
	if err := json.Unmarshal([]byte(stderr), &f); err != nil || code != exitInvalid || f.ExitCode != code || stdout != "" {
		t.Errorf("usage error as JSON: exit code %d, error %v, stdout: %s, stderr: %s", code, err, stdout, stderr)
	}
}
