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

const description = `Describes models, generates and applies configurations, and shows the state of a deployment.

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

// environment holds the streams, the system functions and the global flags that
// commands use. Tests replace the streams and functions.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	// sleep waits for the duration. It returns the error of the context if that
	// ends first.
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

// command is one subcommand. Its run function returns the result to print.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context) (result, error)
}

// result is the outcome of a command in both output formats.
type result struct {
	// value is printed as JSON, and text prints the text format.
	value any
	text  func(io.Writer)
	// code is the exit code.
	code int
}

// execute runs the command that args name and returns the exit code.
func (e *environment) execute(ctx context.Context, args []string) int {
	app := kingpin.New("pollenctl", description)
	app.UsageWriter(e.stdout).ErrorWriter(e.stderr)
	app.Flag("output", "Format of results and errors: text or json.").Default(outputText).EnumVar(&e.output, outputText, outputJSON)
	e.remote.register(app)
	commands := []command{
		e.questionnaireCommand(app), e.generateCommand(app), e.validateCommand(app), e.diffCommand(app),
		e.applyCommand(app), e.statusCommand(app), e.modelsCommand(app), e.hostsCommand(app),
		e.drainCommand(app), e.burnCommand(app), e.explainCommand(app), e.timelineCommand(app),
		e.suspectsCommand(app), e.liftCommand(app), e.noticesCommand(app), e.accountsCommand(app),
	}
	selected, printedHelp, err := parse(app, args)
	if printedHelp {
		return exitOK
	}
	if err != nil {
		e.output = requestedOutput(args)
		return e.printError(&usageError{err})
	}
	for _, c := range commands {
		if c.clause.FullCommand() == selected {
			return e.printResult(c.run(ctx))
		}
	}
	return e.printError(&usageError{fmt.Errorf("no command %q", selected)})
}

// helpShown is the panic value that ends the parsing of a command line that asks
// for help. Without it, kingpin continues and prints the help again.
type helpShown struct{}

// parse returns the full name of the selected command, and whether it printed the
// help instead.
func parse(app *kingpin.Application, args []string) (selected string, printedHelp bool, err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpShown:
			printedHelp = true
		default:
			panic(r)
		}
	}()
	app.Terminate(func(int) { panic(helpShown{}) })
	selected, err = app.Parse(args)
	return selected, false, err
}

// requestedOutput finds the output format in a command line that cannot be parsed.
func requestedOutput(args []string) string {
	line := " " + strings.Join(args, " ") + " "
	if strings.Contains(line, " --output=json ") || strings.Contains(line, " --output json ") {
		return outputJSON
	}
	return outputText
}
