package main

import (
	"context"
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
	t.row("ACCOUNT", "KEYS", "PRIORITY")
	for _, account := range a.Accounts {
		priority := any("of the route")
		if account.Priority != nil {
			priority = *account.Priority
		}
		t.row(account.Name, account.Keys, priority)
	}
	t.flush()
}
