package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/documents"
)

// pollInterval is the time between two polls of a deployment whose state is changing.
const pollInterval = 500 * time.Millisecond

// applyResult describes an accepted change.
type applyResult struct {
	admin.ApplyAnswer
	// Hosts are the hosts that have the version. Set only with --wait.
	Hosts []string `json:"hosts,omitempty"`
}

func (e *environment) applyCommand(app *kingpin.Application) command {
	clause := app.Command("apply", "Apply a configuration file. Repeating the command after a lost answer is safe.")
	file := clause.Arg("file", "Configuration file.").Required().String()
	expected := clause.Flag("expected", "Version that the change replaces; 0 for the first configuration. Default: the version in the file.").String()
	id := clause.Flag("change-id", "Id of the change. Default: a hash of the expected version and the configuration.").String()
	wait := clause.Flag("wait", "Wait until every host that is not silent has the new version.").Bool()
	return command{clause, func(ctx context.Context) (result, error) {
		req, err := newApplyRequest(*file, *expected, *id)
		if err != nil {
			return result{}, err
		}
		c, err := e.newClient()
		if err != nil {
			return result{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, e.remote.timeout)
		defer cancel()
		out, err := c.apply(ctx, req)
		if err == nil && *wait {
			if out.Hosts, err = c.awaitVersion(ctx, out.Version); err != nil {
				err = &applyWaitError{version: out.Version, err: err}
			}
		}
		return result{value: out, text: out.print}, err
	}}
}

func (a applyResult) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "change %s is version %d\n", a.ChangeID, a.Version)
	if len(a.Hosts) > 0 {
		_, _ = fmt.Fprintf(w, "in force on %s\n", joinOr(a.Hosts, "no host"))
	}
}

// newApplyRequest reads a configuration file and returns the request that applies it.
// An empty expected or id selects the default that the help describes.
func newApplyRequest(file, expected, id string) (admin.ApplyRequest, error) {
	next, err := readFile(file, documents.ParseConfiguration)
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	if err := config.RequireOperator(next); err != nil {
		return admin.ApplyRequest{}, err
	}
	version := next.Version
	switch {
	case expected != "":
		if version, err = strconv.ParseUint(expected, 10, 63); err != nil {
			return admin.ApplyRequest{}, &usageError{fmt.Errorf("--expected must be a version, not %q", expected)}
		}
	case version == 0:
		return admin.ApplyRequest{}, &usageError{errors.New("the file names no version; use --expected")}
	}
	next.Version = 0
	if id == "" {
		id, err = deriveChangeID(version, next)
	}
	if err == nil && !config.ValidName(id) {
		err = &usageError{fmt.Errorf("--change-id must be %s", config.NameRule)}
	}
	return admin.ApplyRequest{ChangeID: id, Expected: &version, Configuration: &next}, err
}

// deriveChangeID derives the id of a change from its expected version and its
// contents. A repeated command then resends the same change, and a change with
// other contents never has the same id.
func deriveChangeID(expected uint64, c config.Configuration) (string, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(append(strconv.AppendUint(nil, expected, 10), data...))
	return "change-" + hex.EncodeToString(sum[:12]), nil
}

func (c *client) apply(ctx context.Context, req admin.ApplyRequest) (applyResult, error) {
	var out applyResult
	body, err := json.Marshal(req)
	if err != nil {
		return out, err
	}
	c.env.progress("applying change %s in place of version %d", req.ChangeID, *req.Expected)
	err = c.do(ctx, http.MethodPost, "/configuration", body, &out.ApplyAnswer)
	var r *admin.Refusal
	if errors.As(err, &r) && r.Code == admin.CodeVersionConflict {
		return out, &conflictError{refusal: r, changeID: req.ChangeID}
	}
	return out, err
}

// conflictError reports that another change was applied first.
type conflictError struct {
	refusal  *admin.Refusal
	changeID string
}

func (e *conflictError) Error() string {
	winner := ""
	if e.refusal.Winner != "" {
		winner = "; change " + e.refusal.Winner + " replaced the expected version"
	}
	return fmt.Sprintf("change %s was not applied: %s%s", e.changeID, e.refusal.Reason, winner)
}

func (e *conflictError) Unwrap() error { return e.refusal }

// applyWaitError reports that a change was applied, but that the wait until it is
// in force on every host failed.
type applyWaitError struct {
	version uint64
	err     error
}

func (e *applyWaitError) Error() string {
	return fmt.Sprintf("the change is version %d, but it is not known to be in force everywhere: %v", e.version, e.err)
}

func (e *applyWaitError) Unwrap() error { return e.err }

// awaitVersion polls every host until all hosts that are not silent have the
// version, and returns their names.
func (c *client) awaitVersion(ctx context.Context, version uint64) ([]string, error) {
	lastShown := -1
	for {
		var list admin.HostsAnswer
		if err := c.get(ctx, "/hosts", &list); err != nil {
			return nil, err
		}
		var updated, pending []string
		for _, h := range list.Hosts {
			if h.Silent {
				continue
			}
			var s admin.StatusAnswer
			if err := c.forHost(h.CallerAddress).sendOnce(ctx, h.CallerAddress, http.MethodGet, "/status", nil, &s); err == nil && s.Version >= version {
				updated = append(updated, h.Name)
				continue
			}
			pending = append(pending, h.Name)
		}
		if len(updated) != lastShown {
			lastShown = len(updated)
			c.env.progress("%d of %d hosts have version %d; waiting for %s", len(updated), len(updated)+len(pending), version, joinOr(pending, "none"))
		}
		if len(pending) == 0 {
			return updated, nil
		}
		if err := c.env.sleep(ctx, pollInterval); err != nil {
			return updated, &waitTimeoutError{"these hosts do not have it yet: " + joinOr(pending, "none")}
		}
	}
}
