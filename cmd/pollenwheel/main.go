// Command pollenwheel runs the single process of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	if err := execute(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pollenwheel:", err)
		os.Exit(1)
	}
}

func execute(args []string) error {
	hangups := receiveHangups()
	app := kingpin.New("pollenwheel", "Serves rarely used models.")
	runCmd := app.Command("run", "Run the process of one host.")
	runFile := runCmd.Arg("settings", "INI settings file.").Required().String()
	platformCmd := app.Command("platform", "Run the process of one host on the users' platform, with the settings file that the platform names.")
	checkCmd := app.Command("check", "Check a settings file and print the settings with their defaults.")
	checkFile := checkCmd.Arg("settings", "INI settings file.").Required().String()
	devCmd := app.Command("dev", "Run one host with a stand-in engine on loopback.")
	devCheck := devCmd.Flag("check", "Send one cold and one warm request, print both answers and exit.").Bool()
	devBare := devCmd.Flag("bare", "Start no engine and print only the host's address.").Bool()
	loadCmd := app.Command("load", "Measure the path through an entry host against a direct call to the same stand-in engines.")
	loadFlags := addLoadFlags(loadCmd)

	ctx, stop := cancelOnSignal(context.Background())
	defer stop()
	command := kingpin.MustParse(app.Parse(args))
	switch command {
	case runCmd.FullCommand():
		return runHost(ctx, *runFile, hangups)
	case platformCmd.FullCommand():
		return runPlatform(ctx, hangups)
	}
	// The other commands end with the terminal that they run in.
	signal.Reset(syscall.SIGHUP)
	switch command {
	case checkCmd.FullCommand():
		return checkSettings(os.Stdout, *checkFile)
	case devCmd.FullCommand():
		return runDev(ctx, *devCheck, *devBare)
	case loadCmd.FullCommand():
		return runLoad(ctx, *loadFlags)
	}
	return nil
}
