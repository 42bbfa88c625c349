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

// maxDamaged bounds the damaged lines that are shown.
const maxDamaged = 10

// logs are the decisions of several files.
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

// warn names the damaged lines. The others were read.
func (e *environment) warn(damaged []*explain.DamagedLineError) {
	for i, d := range damaged {
		if i == maxDamaged {
			_, _ = fmt.Fprintf(e.stderr, "pollenctl: %d more damaged lines\n", len(damaged)-maxDamaged)
			return
		}
		_, _ = fmt.Fprintln(e.stderr, "pollenctl: passed over:", d)
	}
}

// logsCommand makes a command that reads logs.
func (e *environment) logsCommand(clause *kingpin.CmdClause, run func([]explain.Line) (answer, error)) command {
	files := clause.Arg("files", "Logs. Without any, the standard input is read.").Strings()
	return command{clause, func(context.Context) (answer, error) {
		l, err := e.readLogs(*files)
		if err != nil {
			return answer{}, err
		}
		e.warn(l.damaged)
		return run(l.lines)
	}}
}

func (e *environment) explainCommand(app *kingpin.Application) command {
	clause := app.Command("explain", "Tell the story of one request from the logs of hosts.")
	request := clause.Arg("request", "Id of the request.").Required().String()
	return e.logsCommand(clause, func(lines []explain.Line) (answer, error) {
		story, err := explain.NewReport(lines, *request)
		if err != nil {
			return answer{}, err
		}
		return answer{value: story, text: func(w io.Writer) { _ = story.Print(w) }}, nil
	})
}

func (e *environment) timelineCommand(app *kingpin.Application) command {
	clause := app.Command("timeline", "Show what hosts believed over a span of time, from their logs.")
	from := clause.Flag("from", "Begin: a time of day (15:04:05) or a time (2026-02-26T15:04:05Z).").String()
	to := clause.Flag("to", "End.").String()
	return e.logsCommand(clause, func(lines []explain.Line) (answer, error) {
		begin, end, err := span(lines, *from, *to)
		if err != nil {
			return answer{}, &usageError{err}
		}
		beliefs := explain.Timeline(lines, begin, end)
		return answer{value: beliefs, text: func(w io.Writer) { _ = explain.PrintTimeline(w, beliefs) }}, nil
	})
}

// span reads the bounds of a timeline. A time of day is one of the day of the
// first line.
func span(lines []explain.Line, from, to string) (begin, end time.Time, err error) {
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
