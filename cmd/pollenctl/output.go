package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/google/renameio/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/documents"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// Exit codes, as the help describes them.
const (
	exitOK = iota
	exitLocal
	exitInvalid
	exitRefused
	exitConflict
	exitNoAnswer
	exitDifferent
)

// usageError reports invalid arguments or a file that cannot be used.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// failure is the JSON form of an error.
type failure struct {
	Error    string         `json:"error"`
	ExitCode int            `json:"exit_code"`
	Refusal  *admin.Refusal `json:"refusal,omitempty"`
	Faults   config.Errors  `json:"faults,omitempty"`
}

// printResult prints the result or the error of a command and returns the exit code.
func (e *environment) printResult(r result, err error) int {
	if err != nil {
		return e.printError(err)
	}
	if e.output == outputJSON {
		encoder := json.NewEncoder(e.stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r.value)
	} else if r.text != nil {
		r.text(e.stdout)
	}
	if err != nil {
		return e.printError(err)
	}
	return r.code
}

func (e *environment) printError(err error) int {
	f := failure{Error: err.Error(), ExitCode: exitCode(err)}
	_ = errors.As(err, &f.Refusal)
	_ = errors.As(err, &f.Faults)
	if e.output != outputJSON {
		_, _ = fmt.Fprintln(e.stderr, "pollenctl:", err)
		return f.ExitCode
	}
	encoder := json.NewEncoder(e.stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(f) // a failed write to stderr cannot be reported
	return f.ExitCode
}

func exitCode(err error) int {
	var (
		usage       *usageError
		fileErr     *inifile.Error
		documentErr *documents.ValidationError
		faults      config.Errors
		refusal     *admin.Refusal
		noAnswer    *noAnswerError
		waitTimeout *waitTimeoutError
	)
	switch {
	case errors.As(err, &noAnswer), errors.As(err, &waitTimeout):
		return exitNoAnswer
	case errors.As(err, &refusal) && refusal.Code == admin.CodeVersionConflict:
		return exitConflict
	case errors.As(err, &refusal):
		return exitRefused
	case errors.As(err, &usage), errors.As(err, &fileErr), errors.As(err, &documentErr), errors.As(err, &faults):
		return exitInvalid
	}
	return exitLocal
}

// progress writes a progress message to stderr. With JSON output it writes
// nothing, so that stderr holds only the error as JSON.
func (e *environment) progress(format string, args ...any) {
	if e.output != outputJSON {
		_, _ = fmt.Fprintf(e.stderr, format+"\n", args...)
	}
}

// readFile reads and parses a file. A file that cannot be read is a usageError.
func readFile[T any](path string, parse func(string, []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, &usageError{err}
	}
	return parse(path, data)
}

// writeFile replaces a file atomically, so that an interrupted write leaves the
// previous contents.
func writeFile(path string, data []byte) error {
	if err := renameio.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// joinOr joins a list with commas. It returns empty for an empty list.
func joinOr(list []string, empty string) string {
	if len(list) == 0 {
		return empty
	}
	return strings.Join(list, ", ")
}
