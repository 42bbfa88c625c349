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

func expect(t *testing.T, code int, stdout, stderr string, wantCode int, want string) {
	t.Helper()
	if code != wantCode || !strings.Contains(stdout+stderr, want) {
		t.Errorf("exit code %d, want %d and %q\nstdout: %s\nstderr: %s", code, wantCode, want, stdout, stderr)
	}
}

// Guards against a change that is applied twice, or reported as failed, after
// its answer was lost.
func TestApplyResends(t *testing.T) {
	tl := newTool(t)
	tl.deployment.loseAnswers = 3
	file := tl.file("c.ini", configurationFile("2"))
	code, out, errs := tl.run("apply", file, "--expected", "0", "--wait")
	expect(t, code, out, errs, exitOK, "is version 1\nin force on nord-1, sud-1\n")
	if tl.deployment.state.Config.Version != 1 || tl.deployment.requests < 4 {
		t.Errorf("version %d after %d requests", tl.deployment.state.Config.Version, tl.deployment.requests)
	}
	code, again, errs := tl.run("apply", file, "--expected", "0")
	expect(t, code, again, errs, exitOK, "is version 1\n")
	if tl.deployment.state.Config.Version != 1 {
		t.Errorf("repeating the command made version %d", tl.deployment.state.Config.Version)
	}
}

// Guards against the first change being reported as refused because the
// bootstrap key ended with it.
func TestFirstApplyResends(t *testing.T) {
	tl := newToolWithKey(t, "first")
	tl.deployment.loseAnswers = 3
	file := tl.file("c.ini", configurationFile("2"))
	code, out, errs := tl.run("apply", file, "--expected", "0")
	expect(t, code, out, errs, exitOK, "is version 1\n")
	code, out, errs = tl.run("apply", file, "--expected", "0", "--wait")
	expect(t, code, out, errs, exitRefused, "the change is version 1, but it is not known to be in force everywhere")
	code, out, errs = tl.run("apply", tl.file("d.ini", configurationFile("3")), "--expected", "1")
	expect(t, code, out, errs, exitRefused, "the bootstrap key ended with the first configuration")
}

// Guards against a wait that ends as a success before every host has followed.
func TestApplyWaitGivesUp(t *testing.T) {
	tl := newTool(t)
	tl.deployment.hosts[1].CallerAddress = closedAddress(t)
	code, out, errs := tl.run("apply", tl.file("c.ini", configurationFile("2")), "--expected", "0", "--wait")
	expect(t, code, out, errs, exitNoAnswer, "the change is version 1, but it is not known to be in force everywhere: these hosts do not have it yet: sud-1")
	expect(t, code, out, errs, exitNoAnswer, "1 of 2 hosts have version 1; waiting for sud-1")
}

// Guards against operators who overwrite each other's changes.
func TestApplyConflict(t *testing.T) {
	tl := newTool(t)
	first, second := tl.file("first.ini", configurationFile("2")), tl.file("second.ini", configurationFile("3"))
	code, out, errs := tl.run("apply", first, "--expected", "0", "--change-id", "monday")
	expect(t, code, out, errs, exitOK, "change monday is version 1")
	code, out, errs = tl.run("apply", second, "--expected", "0", "--change-id", "tuesday")
	expect(t, code, out, errs, exitConflict, "change tuesday was not applied: expected version 0, current version is 1; change monday replaced")
	code, out, errs = tl.run("--output", "json", "apply", second, "--expected", "0", "--change-id", "tuesday")
	var f failure
	if err := json.Unmarshal([]byte(errs), &f); err != nil || out != "" || code != exitConflict || f.ExitCode != code ||
		f.Refusal == nil || f.Refusal.Winner != "monday" || f.Refusal.Version != 1 {
		t.Errorf("exit code %d, %v: %s", code, err, errs)
	}
	code, out, errs = tl.run("apply", tl.file("third.ini", "[configuration]\nversion = 1\n"+configurationFile("3")))
	expect(t, code, out, errs, exitOK, "is version 2")
}

// Guards against silent or misleading failures: every one has its exit code.
func TestFailures(t *testing.T) {
	tl := newTool(t)
	good := tl.file("c.ini", configurationFile("2"))
	bad := tl.file("bad.ini", configurationFile("-1"))
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"unknown command":           {[]string{"frobnicate"}, exitInvalid, "frobnicate"},
		"unknown output":            {[]string{"status", "--output", "xml"}, exitInvalid, "xml"},
		"file that is not there":    {[]string{"validate", "none.ini"}, exitInvalid, "none.ini"},
		"invalid file":              {[]string{"validate", bad}, exitInvalid, "max_replicas = \"-1\": must be a whole number from 0"},
		"invalid file is not sent":  {[]string{"apply", bad, "--expected", "0"}, exitInvalid, "max_replicas"},
		"no expected version":       {[]string{"apply", good}, exitInvalid, "use --expected"},
		"bad expected version":      {[]string{"apply", good, "--expected", "x"}, exitInvalid, "must be a version"},
		"bad change id":             {[]string{"apply", good, "--expected", "0", "--change-id", "a b"}, exitInvalid, "--change-id must be"},
		"file that cannot be made":  {[]string{"generate", tl.file("d.ini", decisions), "--file", "/dev/null/x"}, exitLocal, "/dev/null/x"},
		"host that is not there":    {[]string{"drain", "est-1"}, exitRefused, "no host has the name est-1"},
		"address with a host name":  {[]string{"status", "--address", "localhost:1"}, exitInvalid, "must be an IP address"},
		"key file that is missing":  {[]string{"status", "--key-file", "none"}, exitInvalid, "none"},
		"questionnaire of nobody":   {[]string{"questionnaire", "--file", "x.ini"}, exitInvalid, "--team"},
		"questionnaire that exists": {[]string{"questionnaire", "--team", "a", "--file", good}, exitInvalid, "exists"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := tl.run(c.args...)
			expect(t, code, out, errs, c.code, c.want)
		})
	}
	tl.key = "wrong"
	code, out, errs := tl.run("status")
	expect(t, code, out, errs, exitRefused, "the key is not known")
	tl.key = ""
	code, out, errs = tl.run("status")
	expect(t, code, out, errs, exitInvalid, "no operator key")
	tl.key, tl.addresses = "operator", nil
	code, out, errs = tl.run("status")
	expect(t, code, out, errs, exitInvalid, "no host is named")
	tl.addresses = []string{closedAddress(t)}
	code, out, errs = tl.run("apply", good, "--expected", "0")
	expect(t, code, out, errs, exitNoAnswer, "repeating the command is safe")
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

// Guards against a host that does not answer stopping the tool.
func TestNextHost(t *testing.T) {
	tl := newTool(t)
	tl.addresses = append([]string{closedAddress(t)}, tl.addresses...)
	code, out, errs := tl.run("hosts")
	expect(t, code, out, errs, exitOK, "nord-1")
	if !strings.Contains(errs, "connection refused") {
		t.Errorf("no progress on the host that did not answer: %s", errs)
	}
}

func TestDiff(t *testing.T) {
	tl := newTool(t)
	first, second := tl.file("first.ini", configurationFile("2")), tl.file("second.ini", configurationFile("3"))
	code, out, errs := tl.run("diff", second, "--base", first)
	expect(t, code, out, errs, exitDifferent, "~ models[atlas].max_replicas = 3 (was 2)\n1 changes")
	tl.run("apply", first, "--expected", "0")
	code, out, errs = tl.run("diff", second)
	expect(t, code, out, errs, exitDifferent, "compared with version 1\n~ models[atlas].max_replicas = 3 (was 2)\n")
	code, out, errs = tl.run("diff", first)
	expect(t, code, out, errs, exitOK, "0 changes")
}

// Guards against views that text or JSON output leaves out.
func TestViews(t *testing.T) {
	tl := newTool(t)
	tl.run("apply", tl.file("c.ini", configurationFile("2")), "--expected", "0")
	tl.deployment.state.Placements[state.PlacementKey{Server: "engine-1", Model: "atlas"}] = state.Placement{Phase: state.PhaseReady}
	for name, c := range map[string]struct{ text, json string }{
		"status": {"voters                    nord-1, sud-1\n", `"term": 3`},
		"models": {"atlas  scribe   1        standard  1         2      0       0 of 0 ready  engine-1 (ready)\n", `"server": "engine-1"`},
		"hosts":  {"present", `"caller_address"`},
		"burn":   {"not counted, because they did not answer: sud-1", `"severity": "ok"`},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := tl.run(name)
			expect(t, code, out, errs, exitOK, c.text)
			code, out, errs = tl.run(name, "--output", "json")
			expect(t, code, out, errs, exitOK, c.json)
			if !json.Valid([]byte(out)) || errs != "" {
				t.Errorf("not JSON alone: %s%s", out, errs)
			}
		})
	}
	plot := filepath.Join(tl.folder, "burn.svg")
	tl.run("burn", "--plot", plot)
	if data, err := os.ReadFile(plot); err != nil || !strings.Contains(string(data), "scribe/availability") {
		t.Errorf("plot: %v %s", err, data)
	}
}

// Guards against --wait returning before the host has ended.
func TestDrainWaits(t *testing.T) {
	tl := newTool(t)
	pauses := 0
	tl.pause = func() error {
		if pauses++; pauses == 3 {
			tl.deployment.mu.Lock()
			defer tl.deployment.mu.Unlock()
			tl.deployment.hosts[1].Silent = true
		}
		return nil
	}
	code, out, errs := tl.run("drain", "sud-1", "--wait")
	expect(t, code, out, errs, exitOK, "sud-1 has ended")
	if pauses != 3 || !strings.Contains(errs, "sud-1 is leaving") {
		t.Errorf("%d pauses: %s", pauses, errs)
	}
}

// Guards against a drain that is reported as complete while streams go on.
func TestDrainWaitGivesUp(t *testing.T) {
	tl := newTool(t)
	code, out, errs := tl.run("drain", "sud-1", "--wait")
	expect(t, code, out, errs, exitNoAnswer, "sud-1 has begun to leave, but has not ended yet; repeating the command is safe")
}

// Guards against new questionnaires that cannot be read, and keys that do not
// fit their hash.
func TestQuestionnaire(t *testing.T) {
	tl := newTool(t)
	team, operators := filepath.Join(tl.folder, "team.ini"), filepath.Join(tl.folder, "operators.ini")
	code, out, errs := tl.run("--output", "json", "questionnaire", "--team", "desk", "--caller", "desk-web", "--file", team)
	expect(t, code, out, errs, exitOK, "desk-web")
	var n newFile
	if err := json.Unmarshal([]byte(out), &n); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(team)
	if err != nil || !strings.Contains(string(data), admin.HashKey(n.Keys["desk-web"])) || strings.Contains(string(data), n.Keys["desk-web"]) {
		t.Errorf("%v: %s", err, data)
	}
	code, out, errs = tl.run("questionnaire", "--deployment", "thies", "--operator", "ops", "--file", operators)
	expect(t, code, out, errs, exitOK, "key of ops, shown only now")
	code, out, errs = tl.run("validate", "--kind", "questionnaire", team)
	expect(t, code, out, errs, exitOK, "valid: "+team)
	code, out, errs = tl.run("validate", "--kind", "decisions", operators)
	expect(t, code, out, errs, exitOK, "valid: "+operators)
	result := filepath.Join(tl.folder, "c.ini")
	code, out, errs = tl.run("generate", operators, team, "--file", result)
	expect(t, code, out, errs, exitOK, "0 models, 0 adapters and 2 callers")
	code, out, errs = tl.run("validate", result)
	expect(t, code, out, errs, exitOK, "valid")
}

// Guards against help that lacks an exit code or command, or is shown twice.
func TestHelp(t *testing.T) {
	code, out, errs := newTool(t).run("--help")
	for _, want := range []string{
		"questionnaire", "generate", "validate", "diff", "apply", "status", "models", "hosts", "drain", "burn", "6  diff found differences",
	} {
		expect(t, code, out, errs, exitOK, want)
	}
	if n := strings.Count(out, "usage: pollenctl"); n != 1 {
		t.Errorf("the help is shown %d times", n)
	}
}

// Guards against usage errors that a script with JSON output cannot read.
func TestUsageErrorAsJSON(t *testing.T) {
	code, out, errs := newTool(t).run("status", "--output", "json", "--frobnicate")
	var f failure
	if err := json.Unmarshal([]byte(errs), &f); err != nil || code != exitInvalid || f.ExitCode != code || out != "" {
		t.Errorf("exit code %d, %v: %s%s", code, err, out, errs)
	}
}
