package main

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) modelsCommand(app *kingpin.Application) command {
	clause := app.Command("models", "List the models with their replicas.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.ModelsAnswer
		err := e.fetch(ctx, "/models", &out)
		return result{value: out, text: func(w io.Writer) { printModels(w, out) }}, err
	}}
}

func printModels(w io.Writer, list admin.ModelsAnswer) {
	t := newTable(w)
	t.row("MODEL", "SERVICE", "VERSION", "URGENCY", "REPLICAS", "LIMIT", "PINNED", "ADAPTERS", "WHERE")
	for _, m := range list.Models {
		var where []string
		adapters := map[string]bool{}
		for _, r := range m.Replicas {
			where = append(where, fmt.Sprintf("%s (%s)", r.Server, r.Phase))
			for _, a := range r.Adapters {
				adapters[a] = true
			}
		}
		service := m.Service
		if m.Removed {
			service = "(removed)"
		}
		t.row(m.Name, service, m.Version, cmp.Or(m.Urgency, config.UrgencyStandard), len(m.Replicas), m.MaxReplicas, m.PinnedReplicas,
			fmt.Sprintf("%d of %d ready", len(adapters), m.Adapters), joinOr(where, "-"))
	}
	t.flush()
}
