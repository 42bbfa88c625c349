package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) suspectsCommand(app *kingpin.Application) command {
	clause := app.Command("suspects", "List the requests, prompt parts, models and adapters that may have crashed backend servers.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.SuspectsAnswer
		err := e.fetch(ctx, "/suspects", &out)
		return result{value: out, text: func(w io.Writer) { printSuspects(w, out) }}, err
	}}
}

func printSuspects(w io.Writer, list admin.SuspectsAnswer) {
	t := newTable(w)
	t.row("KEY", "STATE", "WITH", "UNTIL", "TRIAL ON", "CRASHED SERVERS")
	for _, s := range list.Suspects {
		until := "-"
		switch {
		case s.UntilMS > 0:
			until = time.UnixMilli(s.UntilMS).UTC().Format(time.RFC3339)
		case s.State == admin.SuspectQuarantined:
			until = "lifted"
		}
		trial := "-"
		if s.TrialServer != "" {
			trial = s.TrialServer
		}
		with := "-"
		if len(s.Beside) > 0 {
			with = strings.Join(s.Beside, ", ")
		}
		t.row(s.Key, s.State, with, until, trial, strings.Join(s.Crashes, ", "))
	}
	t.flush()
}

func (e *environment) liftCommand(app *kingpin.Application) command {
	clause := app.Command("lift", "Clear a suspect, so that its requests are sent again. If it is harmful, that costs backend servers.")
	key := clause.Arg("key", "Key of the suspect, as listed by suspects.").Required().String()
	return command{clause, func(ctx context.Context) (result, error) {
		c, err := e.newClient()
		if err != nil {
			return result{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
		defer cancel()
		var out admin.LiftAnswer
		err = c.do(ctx, http.MethodPost, "/suspects/"+url.PathEscape(*key)+"/lift", nil, &out)
		return result{value: out, text: func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is cleared\n", out.Key) }}, err
	}}
}
