package route

import (
	"fmt"
	"slices"
	"strings"
)

// Error names the part of a table that is not acceptable.
type Error struct {
	// Path is such as "routes[orders].timeout".
	Path    string
	Value   string
	Allowed string
}

func (e *Error) Error() string {
	return fmt.Sprintf("route: %s = %q: must be %s", e.Path, e.Value, e.Allowed)
}

// Validate returns the first fault of t, or nil.
func (t *Table) Validate() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return &Error{"services", s.Name, "a name that no other service has"}
		}
		services[s.Name] = true
	}
	places := map[string]bool{}
	for _, r := range t.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if places[place] {
			return &Error{r.path("prefix"), r.Host + r.Prefix, "a host and prefix that no other route has"}
		}
		places[place] = true
	}
	return nil
}

func (r Route) path(field string) string { return "routes[" + r.Name + "]." + field }

func (r Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &Error{r.path("prefix"), r.Prefix, "a path that begins and ends with a slash"}
	}
	if r.Host == "" {
		return &Error{r.path("host"), r.Host, "a host name"}
	}
	if !slices.Contains([]Kind{Safe, Unsafe, Streaming}, r.Kind) {
		return &Error{r.path("kind"), string(r.Kind), "safe, unsafe or streaming"}
	}
	if r.Timeout <= 0 {
		return &Error{r.path("timeout"), r.Timeout.String(), "positive"}
	}
	total := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return &Error{r.path("targets"), target.Service, "a service of the table"}
		}
		if target.Weight < 0 {
			return &Error{r.path("targets"), fmt.Sprint(target.Weight), "weights of at least 0"}
		}
		total += target.Weight
	}
	if total == 0 {
		return &Error{r.path("targets"), fmt.Sprint(total), "weights with a positive sum"}
	}
	return nil
}
