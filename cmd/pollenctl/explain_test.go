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

// TestExplainJoinsLogs guards against a report that uses only one log, and against a
// damaged line that stops the reading of the others.
func TestExplainJoinsLogs(t *testing.T) {
	tl := newTool(t)
	front := tl.writeFile("front.log", refusedLine+"\ndamaged\n")
	core := tl.writeFile("core.log", orderLine+"\n")
	code, stdout, stderr := tl.run("explain", "r1", front, core)
	expect(t, code, stdout, stderr, exitOK, "was refused after 1ms: no backend server holds the target in time")
	if !strings.Contains(stdout, "source=store") || !strings.Contains(stderr, "front.log:2: the line holds no JSON object") {
		t.Errorf("the order or the damaged line is not reported\nstdout: %s\nstderr: %s", stdout, stderr)
	}
	code, stdout, stderr = tl.run("--output", "json", "explain", "r1", front, core)
	var report explain.Report
	if err := json.Unmarshal([]byte(stdout), &report); err != nil || code != exitOK || len(report.Lines) != 1 || len(report.StateChanges) != 1 {
		t.Errorf("report as JSON: exit code %d, error %v, report %+v\nstderr: %s", code, err, report, stderr)
	}
	code, stdout, stderr = tl.run("explain", "r2", front)
	expect(t, code, stdout, stderr, exitLocal, `no line names the request "r2"`)
	code, stdout, stderr = tl.run("explain", "r1", "missing.log")
	expect(t, code, stdout, stderr, exitLocal, "missing.log")
}

// TestTimelineOfLogs guards against a timeline that ignores its bounds, and against
// invalid bounds that are not reported.
func TestTimelineOfLogs(t *testing.T) {
	tl := newTool(t)
	core := tl.writeFile("core.log", orderLine+"\n"+refusedLine+"\n")
	code, stdout, stderr := tl.run("timeline", "--from", "00:35:30", "--to", "00:35:32", core)
	expect(t, code, stdout, stderr, exitOK, "engine-7")
	if code, stdout, stderr = tl.run("timeline", "--from", "00:35:32", core); code != exitOK || stdout != "" {
		t.Errorf("timeline without lines: exit code %d, stdout %q, stderr %q", code, stdout, stderr)
	}
	code, stdout, stderr = tl.run("timeline", "--to", "noon", core)
	expect(t, code, stdout, stderr, exitInvalid, `"noon" is neither a time of day`)
}

// TestLogsFromStandardInput guards against logs that can be read only from a file.
func TestLogsFromStandardInput(t *testing.T) {
	var stdout, stderr bytes.Buffer
	e := &environment{stdin: strings.NewReader(refusedLine), stdout: &stdout, stderr: &stderr, output: outputText, getenv: func(string) string { return "" }}
	code := e.execute(t.Context(), []string{"explain", "r1"})
	expect(t, code, stdout.String(), stderr.String(), exitOK, "was refused")
}
