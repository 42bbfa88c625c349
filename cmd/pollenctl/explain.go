package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/explain"
)

// maxDamagedShown limits the number of damaged lines that are reported.
const maxDamagedShown = 10

// logs holds the lines of one or more logs.
type logs struct {
	lines   []explain.Line
	damaged []*explain.DamagedLineError
}

// readLogs reads files, or the standard input if none is named.
func (e *environment) readLogs(paths []string) (logs, error) {
	var out logs
	if len(paths) == 0 {
		err := out.read(e.stdin, "standard input")
		return out, err
	}
	for _, path := range paths {
		if err := out.readFile(path); err != nil {
			return out, err
		}
	}
	return out, nil
}

func (l *logs) readFile(path string) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return l.read(f, path)
}

func (l *logs) read(r io.Reader, name string) error {
	lines, damaged, err := explain.Read(r, name)
	l.lines = append(l.lines, lines...)
	l.damaged = append(l.damaged, damaged...)
	return err
}

// warnDamaged reports the damaged lines, which are skipped. All other lines are
// used.
func (e *environment) warnDamaged(damaged []*explain.DamagedLineError) {
	for i, d := range damaged {
		if i == maxDamagedShown {
			_, _ = fmt.Fprintf(e.stderr, "pollenctl: %d more damaged lines\n", len(damaged)-maxDamagedShown)
			return
		}
		_, _ = fmt.Fprintln(e.stderr, "pollenctl: skipped:", d)
	}
}

// logsCommand returns a command that passes the lines of logs to run.
func (e *environment) logsCommand(clause *kingpin.CmdClause, run func([]explain.Line) (result, error)) command {
	files := clause.Arg("files", "Log files. Default: the standard input.").Strings()
	return command{clause, func(context.Context) (result, error) {
		l, err := e.readLogs(*files)
		if err != nil {
			return result{}, err
		}
		e.warnDamaged(l.damaged)
		return run(l.lines)
	}}
}

func (e *environment) explainCommand(app *kingpin.Application) command {
	clause := app.Command("explain", "Explain what happened to one request, from the logs of hosts.")
	request := clause.Arg("request", "Id of the request.").Required().String()
	return e.logsCommand(clause, func(lines []explain.Line) (result, error) {
		report, err := explain.NewReport(lines, *request)
		if err != nil {
			return result{}, err
		}
		return result{value: report, text: func(w io.Writer) { _ = report.Print(w) }}, nil
	})
}

func (e *environment) timelineCommand(app *kingpin.Application) command {
	clause := app.Command("timeline", "Show the state changes that hosts recorded over a span of time, from their logs.")
	from := clause.Flag("from", "Begin: a time of day (15:04:05) or a time (2026-02-26T15:04:05Z).").String()
	to := clause.Flag("to", "End, in one of the same forms.").String()
	return e.logsCommand(clause, func(lines []explain.Line) (result, error) {
		begin, end, err := parseBounds(lines, *from, *to)
		if err != nil {
			return result{}, &usageError{err}
		}
		changes := explain.Timeline(lines, begin, end)
		return result{value: changes, text: func(w io.Writer) { _ = explain.PrintTimeline(w, changes) }}, nil
	})
}

// parseBounds parses the bounds of a timeline. A time of day refers to the day of
// the first line.
func parseBounds(lines []explain.Line, from, to string) (begin, end time.Time, err error) {
	var day time.Time
	if len(lines) > 0 {
		day = lines[0].At
	}
	if from != "" {
		if begin, err = explain.ParseTime(from, day); err != nil {
			return begin, end, err
		}
	}
	if to != "" {
		end, err = explain.ParseTime(to, day)
	}
	return begin, end, err
}
