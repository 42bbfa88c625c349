package route

import (
	"fmt"
	"slices"
	"strings"
)

// ValidationError reports a field of a table that has an invalid value.
type ValidationError struct {
	// Path identifies the field, for example "routes[orders].timeout".
	Path    string
	Value   string
	Allowed string
}

func (e *ValidationError) Error() string {
	return fmt.Sprintf("route: %s = %q: must be %s", e.Path, e.Value, e.Allowed)
}

// Validate returns a *ValidationError for the first invalid field of t, an error of core/account for
// an invalid list of accounts, or nil.
func (t *Table) Validate() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return &ValidationError{"services", s.Name, "a unique, non-empty service name"}
		}
		services[s.Name] = true
	}
	prefixes := map[string]bool{}
	for _, r := range t.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		prefix := canonicalHost(r.Host) + r.Prefix
		if prefixes[prefix] {
			return &ValidationError{r.fieldPath("prefix"), r.Host + r.Prefix, "a host and prefix that no other route uses"}
		}
		prefixes[prefix] = true
	}
	if t.Accounts == nil {
		return nil
	}
	return t.Accounts.Validate()
}

// canonicalHost returns the form of a host name by which requests are matched: without
// capitals, a port and a dot at its end.
func canonicalHost(host string) string {
	if end := strings.IndexByte(host, ']'); strings.HasPrefix(host, "[") && end > 0 {
		return strings.ToLower(host[:end+1])
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

// fieldPath returns the path of a field of the route in a ValidationError.
func (r Route) fieldPath(field string) string { return "routes[" + r.Name + "]." + field }

func (r Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &ValidationError{r.fieldPath("prefix"), r.Prefix, "a path that begins and ends with a slash"}
	}
	if canonicalHost(r.Host) == "" {
		return &ValidationError{r.fieldPath("host"), r.Host, "a host name"}
	}
	if !slices.Contains([]Kind{Safe, Unsafe, Streaming}, r.Kind) {
		return &ValidationError{r.fieldPath("kind"), string(r.Kind), "safe, unsafe or streaming"}
	}
	if r.Timeout <= 0 {
		return &ValidationError{r.fieldPath("timeout"), r.Timeout.String(), "positive"}
	}
	totalWeight := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return &ValidationError{r.fieldPath("targets"), target.Service, "the name of a service in the table"}
		}
		if target.Weight < 0 {
			return &ValidationError{r.fieldPath("targets"), fmt.Sprint(target.Weight), "weights of at least 0"}
		}
		totalWeight += target.Weight
	}
	if totalWeight <= 0 {
		return &ValidationError{r.fieldPath("targets"), fmt.Sprint(totalWeight), "weights with a positive sum"}
	}
	return nil
}
