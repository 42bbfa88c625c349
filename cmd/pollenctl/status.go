package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) statusCommand(app *kingpin.Application) command {
	clause := app.Command("status", "Show the state of the deployment as one host sees it.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.StatusAnswer
		err := e.fetch(ctx, "/status", &out)
		return result{value: out, text: func(w io.Writer) { printStatus(w, out) }}, err
	}}
}

// fetch sends a GET request within the time limit of the command and decodes the
// answer.
func (e *environment) fetch(ctx context.Context, path string, into any) error {
	c, err := e.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
	defer cancel()
	return c.get(ctx, path, into)
}

func printStatus(w io.Writer, s admin.StatusAnswer) {
	t := newTable(w)
	t.row("seen by", s.Host)
	t.row("deployment", s.Deployment)
	t.row("configuration version", s.Version)
	t.row("applied index", s.AppliedIndex)
	quorum := formatYesNo(s.Control.Quorum)
	if !s.Control.Quorum {
		quorum += ": no configuration, order or claim can be accepted"
	}
	t.row("quorum", quorum)
	t.row("leader", fmt.Sprintf("%s, term %d", joinOr(slices.DeleteFunc([]string{s.Control.Leader}, isEmpty), "none known"), s.Control.Term))
	t.row("voters", joinOr(s.Control.Voters, "none"))
	t.row("learners", joinOr(s.Control.Learners, "none"))
	t.row("hosts", formatCounts(s.Hosts))
	t.row("backend servers", formatCounts(s.Servers))
	for _, phase := range slices.Sorted(maps.Keys(s.Placements)) {
		t.row("placements "+string(phase), s.Placements[phase])
	}
	t.row("requests under suspicion", s.Suspects)
	t.row("requests in quarantine", s.Quarantined)
	t.flush()
}

func isEmpty(s string) bool { return s == "" }

func formatCounts(c admin.ProcessCounts) string {
	return fmt.Sprintf("%d known, %d silent, %d leaving", c.Known, c.Silent, c.Leaving)
}
