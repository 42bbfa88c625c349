// Command pollenctl is the command-line tool of operators and teams.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const about = `Describes models, generates and applies configurations, and shows the state of a deployment.

The operator key is read from the environment variable POLLENWHEEL_KEY or from the file named by --key-file.

Exit codes:
  0  success
  1  local failure, such as a file that cannot be written
  2  wrong usage, or an invalid file
  3  refused by the deployment
  4  version conflict: another change was applied first
  5  no answer, or a wait that timed out: repeating the command is safe
  6  diff found differences`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := &environment{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv, sleep: sleep}
	code := e.execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// environment is what commands use of the world outside.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	// sleep waits, or returns the error of a context that ends first.
	sleep func(context.Context, time.Duration) error

	output string
	remote remoteFlags
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// command is one subcommand. Its run function returns what is to be printed.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context) (answer, error)
}

// answer is the result of a command in both output formats.
type answer struct {
	// value is printed as JSON.
	value any
	text  func(io.Writer)
	// code is the exit code.
	code int
}

func (e *environment) execute(ctx context.Context, args []string) int {
	app := kingpin.New("pollenctl", about)
	app.UsageWriter(e.stdout).ErrorWriter(e.stderr)
	app.Flag("output", "Format of answers and errors: text or json.").Default(outputText).EnumVar(&e.output, outputText, outputJSON)
	e.remote.register(app)
	commands := []command{
		e.questionnaireCommand(app), e.generateCommand(app), e.validateCommand(app), e.diffCommand(app),
		e.applyCommand(app), e.statusCommand(app), e.modelsCommand(app), e.hostsCommand(app),
		e.drainCommand(app), e.burnCommand(app), e.explainCommand(app), e.timelineCommand(app),
	}
	selected, helped, err := parse(app, args)
	if helped {
		return exitOK
	}
	if err != nil {
		e.output = requestedOutput(args)
		return e.fail(&usageError{err})
	}
	for _, c := range commands {
		if c.clause.FullCommand() == selected {
			return e.finish(c.run(ctx))
		}
	}
	return e.fail(&usageError{fmt.Errorf("no command %q", selected)})
}

// helpShown ends the parsing of a command line that asked for help. Without it,
// kingpin goes on and prints the help again.
type helpShown struct{}

func parse(app *kingpin.Application, args []string) (selected string, helped bool, err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpShown:
			helped = true
		default:
			panic(r)
		}
	}()
	app.Terminate(func(int) { panic(helpShown{}) })
	selected, err = app.Parse(args)
	return selected, false, err
}

// requestedOutput finds the output format in a command line that does not parse.
func requestedOutput(args []string) string {
	line := " " + strings.Join(args, " ") + " "
	if strings.Contains(line, " --output=json ") || strings.Contains(line, " --output json ") {
		return outputJSON
	}
	return outputText
}
