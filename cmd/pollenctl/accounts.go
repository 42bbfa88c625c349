package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

func (e *environment) accountsCommand(app *kingpin.Application) command {
	clause := app.Command("accounts", "List the client accounts in force on one host. Keys are counted, not shown.")
	return command{clause, func(ctx context.Context) (result, error) {
		var out admin.AccountsAnswer
		err := e.fetch(ctx, "/accounts", &out)
		return result{value: out, text: func(w io.Writer) { printAccounts(w, out) }}, err
	}}
}

func printAccounts(w io.Writer, a admin.AccountsAnswer) {
	t := newTable(w)
	t.row("seen by", a.Host)
	t.row("route table", a.Version)
	t.row("keys required", formatYesNo(a.Required))
	t.row("keys current", formatYesNo(a.Current))
	t.flush()
	if len(a.Accounts) == 0 {
		return
	}
	t = newTable(w)
	t.row("ACCOUNT", "KEYS", "PRIORITY", "QUOTA", "CREDIT HERE", "LEFT AT THE LEADER")
	for _, account := range a.Accounts {
		priority := any("of the route")
		if account.Priority != nil {
			priority = *account.Priority
		}
		quota, credit, level := formatQuota(account.Quota)
		t.row(account.Name, account.Keys, priority, quota, credit, level)
	}
	t.flush()
}

// formatQuota describes a quota, what a host can admit at once, and what the leader can still grant.
func formatQuota(q *admin.QuotaStatus) (quota, credit, level string) {
	if q == nil {
		return "none", "", ""
	}
	unit := "requests"
	if q.Tokens {
		unit = "tokens"
	}
	level = "ask the leader"
	if q.Level != nil {
		level = fmt.Sprintf("%.0f", *q.Level)
	}
	return fmt.Sprintf("%g %s per second, burst %g", q.PerSecond, unit, q.Burst), fmt.Sprintf("%.0f", q.Credit), level
}
