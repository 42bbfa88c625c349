package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) hostsCommand(app *kingpin.Application) command {
	clause := app.Command("hosts", "List the entry hosts.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.HostsAnswer
		err := e.fetch(ctx, "/hosts", &out)
		return result{value: out, text: func(w io.Writer) { printHosts(w, out) }}, err
	}}
}

func printHosts(w io.Writer, list admin.HostsAnswer) {
	t := newTable(w)
	t.row("HOST", "DATA CENTRE", "CALLERS", "PEERS", "ROLES", "STATE")
	for _, h := range list.Hosts {
		roles := "entry"
		if h.Control {
			roles = "entry, control"
		}
		t.row(h.Name, h.DataCentre, h.CallerAddress, h.PeerAddress, roles, hostState(h))
	}
	t.flush()
}

func hostState(h admin.HostStatus) string {
	switch {
	case h.Silent:
		return "silent"
	case h.Leaving:
		return "leaving"
	}
	return "present"
}
