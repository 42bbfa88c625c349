package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/burn"
)

func (e *environment) burnCommand(app *kingpin.Application) command {
	clause := app.Command("burn", "Report how fast error budgets are spent.")
	plot := clause.Flag("plot", "SVG file to write a plot of the last 6 h to.").String()
	return command{clause, func(ctx context.Context) (result, error) {
		var report burn.Report
		if err := e.fetch(ctx, "/burn", &report); err != nil {
			return result{}, err
		}
		out := result{value: report, text: func(w io.Writer) { _, _ = fmt.Fprint(w, report.Text()) }}
		if *plot == "" {
			return out, nil
		}
		return out, writeFile(*plot, []byte(report.SVG()))
	}}
}
