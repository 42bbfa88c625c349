package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/node/admin"
)

// drainResult is the result of the drain command.
type drainResult struct {
	admin.DrainAnswer
	// Ended is true if --wait is set and the host has ended.
	Ended bool `json:"gone"`
}

func (e *environment) drainCommand(app *kingpin.Application) command {
	clause := app.Command("drain", "Drain a host: it accepts no new callers, finishes its streams and ends.")
	name := clause.Arg("host", "Name of the host.").Required().String()
	wait := clause.Flag("wait", "Wait until the host has ended. Address another host, and raise --timeout if streams are long.").Bool()
	return command{clause, func(ctx context.Context) (result, error) {
		c, err := e.newClient()
		if err != nil {
			return result{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
		defer cancel()
		var out drainResult
		err = c.do(ctx, http.MethodPost, "/hosts/"+url.PathEscape(*name)+"/drain", nil, &out.DrainAnswer)
		if err == nil && *wait {
			err = c.awaitHostEnd(ctx, *name)
			out.Ended = err == nil
		}
		return result{value: out, text: out.print}, err
	}}
}

func (d drainResult) print(w io.Writer) {
	if d.Ended {
		_, _ = fmt.Fprintf(w, "%s has ended\n", d.Host)
		return
	}
	_, _ = fmt.Fprintf(w, "%s is leaving\n", d.Host)
}

// awaitHostEnd waits until a host is silent or no longer listed.
func (c *client) awaitHostEnd(ctx context.Context, name string) error {
	lastShown := ""
	for {
		var list admin.HostsAnswer
		if err := c.get(ctx, "/hosts", &list); err != nil {
			return err
		}
		i := slices.IndexFunc(list.Hosts, func(h admin.HostStatus) bool { return h.Name == name })
		if i < 0 || list.Hosts[i].Silent {
			return nil
		}
		if state := hostState(list.Hosts[i]); state != lastShown {
			lastShown = state
			c.env.progress("%s is %s", name, state)
		}
		if err := c.env.sleep(ctx, pollInterval); err != nil {
			return &waitTimeoutError{name + " has begun to leave, but has not ended yet"}
		}
	}
}
