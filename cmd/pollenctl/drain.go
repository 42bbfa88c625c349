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

// drained describes a host that was told to leave.
type drained struct {
	admin.DrainAnswer
	// Gone is true if --wait saw the host end.
	Gone bool `json:"gone"`
}

func (e *environment) drainCommand(app *kingpin.Application) command {
	clause := app.Command("drain", "Tell a host to leave: it takes no new callers, finishes its streams and ends.")
	name := clause.Arg("host", "Name of the host.").Required().String()
	wait := clause.Flag("wait", "Wait until the host has ended. Address another host, and raise --timeout if streams are long.").Bool()
	return command{clause, func(ctx context.Context) (answer, error) {
		c, err := e.client()
		if err != nil {
			return answer{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
		defer cancel()
		var out drained
		err = c.do(ctx, http.MethodPost, "/hosts/"+url.PathEscape(*name)+"/drain", nil, &out.DrainAnswer)
		if err == nil && *wait {
			err = c.awaitGone(ctx, *name)
			out.Gone = err == nil
		}
		return answer{value: out, text: out.print}, err
	}}
}

func (d drained) print(w io.Writer) {
	if d.Gone {
		_, _ = fmt.Fprintf(w, "%s has ended\n", d.Host)
		return
	}
	_, _ = fmt.Fprintf(w, "%s is leaving\n", d.Host)
}

// awaitGone waits until a host is no longer heard from.
func (c *client) awaitGone(ctx context.Context, name string) error {
	shown := ""
	for {
		var list admin.HostsAnswer
		if err := c.get(ctx, "/hosts", &list); err != nil {
			return err
		}
		i := slices.IndexFunc(list.Hosts, func(h admin.HostPresence) bool { return h.Name == name })
		if i < 0 || list.Hosts[i].Silent {
			return nil
		}
		if now := hostState(list.Hosts[i]); now != shown {
			shown = now
			c.e.progress("%s is %s", name, now)
		}
		if err := c.e.sleep(ctx, pollPause); err != nil {
			return &waitTimeoutError{name + " has begun to leave, but has not ended yet"}
		}
	}
}
