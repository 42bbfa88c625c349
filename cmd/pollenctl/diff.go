package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/documents"
)

// difference lists the changes between two configurations.
type difference struct {
	// Version is the version of the configuration that the file is compared with;
	// 0 if it names none.
	Version uint64          `json:"version,omitempty"`
	Changes []config.Change `json:"changes"`
}

func (e *environment) diffCommand(app *kingpin.Application) command {
	clause := app.Command("diff", "Show what a configuration file would change.")
	file := clause.Arg("file", "Configuration file.").Required().String()
	base := clause.Flag("base", "Configuration file to compare with, instead of the configuration in force.").String()
	return command{clause, func(ctx context.Context) (result, error) {
		next, err := readFile(*file, documents.ParseConfiguration)
		if err != nil {
			return result{}, err
		}
		old, err := e.baseConfiguration(ctx, *base)
		if err != nil {
			return result{}, err
		}
		d := difference{Version: old.Version, Changes: config.Diff(old, next)}
		out := result{value: d, text: d.print}
		if len(d.Changes) > 0 {
			out.code = exitDifferent
		}
		return out, nil
	}}
}

// baseConfiguration reads a file, or the configuration in force if path is empty.
func (e *environment) baseConfiguration(ctx context.Context, path string) (config.Configuration, error) {
	if path != "" {
		return readFile(path, documents.ParseConfiguration)
	}
	var current config.Configuration
	c, err := e.newClient()
	if err != nil {
		return current, err
	}
	ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
	defer cancel()
	err = c.get(ctx, "/configuration", &current)
	return current, err
}

func (d difference) print(w io.Writer) {
	if d.Version > 0 {
		_, _ = fmt.Fprintf(w, "compared with version %d\n", d.Version)
	}
	for _, c := range d.Changes {
		_, _ = fmt.Fprintln(w, c)
	}
	_, _ = fmt.Fprintf(w, "%d changes\n", len(d.Changes))
}
