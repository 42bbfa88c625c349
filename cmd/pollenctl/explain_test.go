package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pollenwheel/pollenwheel/node/explain"
)

const (
	refusedLine = `{"event":"refused","host":"front-1","time":"2026-02-26T00:35:33Z","request":"r1","model":"quill","route":"drafts","service":"llm","reason":"no backend server holds the target in time","status":503,"return_ms":11900,"took_ms":1}`
	orderLine   = `{"event":"order","host":"core-1","time":"2026-02-26T00:35:31Z","model":"quill","for":"quill","action":"load","outcome":"accepted","server":"engine-7","source":"store"}`
)

// Guards against a story from one log only, and against a damaged line that hides
// the others.
func TestExplainJoinsLogs(t *testing.T) {
	tl := newTool(t)
	front := tl.file("front.log", refusedLine+"\ndamaged\n")
	core := tl.file("core.log", orderLine+"\n")
	code, out, errs := tl.run("explain", "r1", front, core)
	expect(t, code, out, errs, exitOK, "was refused after 1ms: no backend server holds the target in time")
	if !strings.Contains(out, "source=store") || !strings.Contains(errs, "front.log:2: the line holds no JSON object") {
		t.Errorf("stdout: %s\nstderr: %s", out, errs)
	}
	code, out, errs = tl.run("--output", "json", "explain", "r1", front, core)
	var story explain.Report
	if err := json.Unmarshal([]byte(out), &story); err != nil || code != exitOK || len(story.Lines) != 1 || len(story.StateChanges) != 1 {
		t.Errorf("exit code %d, %v, %+v\n%s", code, err, story, errs)
	}
	code, out, errs = tl.run("explain", "r2", front)
	expect(t, code, out, errs, exitLocal, `no line names the request "r2"`)
	code, out, errs = tl.run("explain", "r1", "missing.log")
	expect(t, code, out, errs, exitLocal, "missing.log")
}

// Guards against a timeline without its bounds, and against bounds that are
// passed over.
func TestTimelineOfLogs(t *testing.T) {
	tl := newTool(t)
	core := tl.file("core.log", orderLine+"\n"+refusedLine+"\n")
	code, out, errs := tl.run("timeline", "--from", "00:35:30", "--to", "00:35:32", core)
	expect(t, code, out, errs, exitOK, "engine-7")
	if code, out, errs = tl.run("timeline", "--from", "00:35:32", core); code != exitOK || out != "" {
		t.Errorf("exit code %d, stdout %q, stderr %q", code, out, errs)
	}
	code, out, errs = tl.run("timeline", "--to", "noon", core)
	expect(t, code, out, errs, exitInvalid, `"noon" is neither a time of day`)
}

// Guards against logs that must be written to a file first.
func TestLogsFromTheStandardInput(t *testing.T) {
	var out, errs bytes.Buffer
	e := &environment{stdin: strings.NewReader(refusedLine), stdout: &out, stderr: &errs, output: outputText, getenv: func(string) string { return "" }}
	code := e.execute(t.Context(), []string{"explain", "r1"})
	expect(t, code, out.String(), errs.String(), exitOK, "was refused")
}
