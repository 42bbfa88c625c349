package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) noticesCommand(app *kingpin.Application) command {
	clause := app.Command("notices", "List what backend servers say of themselves in their answers, as one host knows it. Ask the leader to see which hosts use a limit.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.NoticesAnswer
		err := e.fetch(ctx, "/notices", &out)
		return result{value: out, text: func(w io.Writer) { printNotices(w, out) }}, err
	}}
}

func printNotices(w io.Writer, a admin.NoticesAnswer) {
	t := newTable(w)
	t.row("seen by", a.Host)
	t.row("leader", joinOr(slices.DeleteFunc([]string{a.Leader}, isEmpty), "none known"))
	t.flush()
	t = newTable(w)
	t.row("SERVER", "INCARNATION", "SAYS", "SENT IN 4 S", "REFUSED")
	for _, s := range a.Servers {
		t.row(s.Server, s.Incarnation, formatNotice(s), s.Sent, s.Refused)
	}
	t.flush()
	if len(a.Permits) == 0 {
		return
	}
	t = newTable(w)
	t.row("LIMITED SERVER", "PER SECOND", "WAITING", "PERMITS BY HOST")
	for _, p := range a.Permits {
		t.row(p.Server, p.PerSecond, p.Waiting, formatGranted(p.Granted))
	}
	t.flush()
}

// formatNotice describes what a server says of itself.
func formatNotice(s admin.ServerNotice) string {
	var says []string
	if s.Limited {
		says = append(says, fmt.Sprintf("takes %g requests per second", s.PerSecond))
	}
	if s.Leaving {
		says = append(says, "leaving")
	}
	if s.PausedMS > 0 {
		says = append(says, fmt.Sprintf("wants none for %d ms", s.PausedMS))
	}
	return joinOr(says, "nothing any more")
}

// formatGranted lists the number of permits of each host.
func formatGranted(granted map[string]int) string {
	var out []string
	for _, host := range slices.Sorted(maps.Keys(granted)) {
		out = append(out, fmt.Sprintf("%s %d", host, granted[host]))
	}
	return strings.Join(out, ", ")
}
