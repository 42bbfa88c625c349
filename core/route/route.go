// Package route defines the table that maps requests to services: routes by
// host and path prefix, the services that they lead to, and the limits on
// callers. It performs no I/O.
package route

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/account"
)

// Kind determines how often a request may run.
type Kind string

// Kinds of a route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once each time a caller sends them.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered with a stream of events. They are
	// treated as unsafe unless the route is resumable.
	Streaming Kind = "streaming"
)

// Target is one service of a route, with its share of the route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route applies to the requests for one host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix  string   `json:"prefix"`
	Kind    Kind     `json:"kind"`
	Targets []Target `json:"targets"`
	// Timeout limits the time from the arrival of a request to the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a
	// stream, must arrive to be on time. MaxPause is the longest pause between
	// events of a stream that is still on time.
	Objective time.Duration `json:"objective,omitempty"`
	MaxPause  time.Duration `json:"max_pause,omitempty"`
	// WaitLimit is how long callers wait for an answer or for the next event
	// before they disconnect. Zero means until their deadline.
	WaitLimit time.Duration `json:"patience,omitempty"`
	// Priority is the rank among the routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the maximum number of backend servers that one request may
	// reach. Zero means one.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Resumable streams may be continued on another backend server.
	Resumable bool `json:"resumable,omitempty"`
	// Public routes serve requests without a key.
	Public bool `json:"public,omitempty"`
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts returns the maximum number of backend servers that a request may
// reach.
func (r Route) Attempts() int { return max(1, r.MaxAttempts) }

// Model is one model that the backend servers of a service can load.
type Model struct {
	Name      string  `json:"name"`
	MemoryMiB float64 `json:"memory_mib"`
	// StoreLoad, DiskLoad and MemoryLoad are the load times from the weight
	// store, from a disk and from the memory of the backend server's host.
	StoreLoad  time.Duration `json:"store_load"`
	DiskLoad   time.Duration `json:"disk_load,omitempty"`
	MemoryLoad time.Duration `json:"memory_load,omitempty"`
	// Adapters is the number of adapters of the model.
	Adapters int `json:"adapters,omitempty"`
	// AdapterMiB is the memory that one adapter uses.
	AdapterMiB float64 `json:"adapter_mib,omitempty"`
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	// Slots is the number of requests that one server runs at once.
	Slots int `json:"slots"`
	// KVTokens is the size of a server's prompt cache in tokens.
	KVTokens     int     `json:"kv_tokens,omitempty"`
	MemoryMiB    float64 `json:"memory_mib"`
	AdapterSlots int     `json:"adapter_slots"`
	// LoadsPerSecond limits the loads from the weight store over all servers.
	LoadsPerSecond float64 `json:"loads_per_second"`
	Models         []Model `json:"models"`
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// Service is a group of backend servers.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one server accepts.
	MaxConnections int `json:"max_connections,omitempty"`
	// Engine is nil for a service that runs no models.
	Engine *Engine `json:"engine,omitempty"`
}

// Limits restrict what a caller may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes,omitempty"`
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Table is one version of the routes and services.
type Table struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Accounts are those whose keys requests must carry. If it is nil, no request needs a key.
	Accounts *account.List `json:"accounts,omitempty"`
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// Index finds the route of a request.
type Index struct {
	table  *Table
	byHost map[string][]indexedRoute
	// accounts is nil if no request needs a key.
	accounts *account.Index
}

// indexedRoute is a route with the form of its prefix that is compared.
type indexedRoute struct {
	prefix string
	route  Route
}

// NewIndex returns an index of t, which must not be modified afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{table: t, byHost: map[string][]indexedRoute{}}
	for _, r := range t.Routes {
		host := canonicalHost(r.Host)
		x.byHost[host] = append(x.byHost[host], indexedRoute{canonicalPath(r.Prefix), r})
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, func(a, b indexedRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	if t.Accounts != nil {
		x.accounts = account.NewIndex(t.Accounts)
	}
	return x
}

// Table returns the indexed table.
func (x *Index) Table() *Table { return x.table }

// Accounts returns the index of the accounts, or nil if no request needs a key.
func (x *Index) Accounts() *account.Index { return x.accounts }

// Match returns the host's route with the longest prefix of path, which is the path as the caller
// has sent it, with its percent-encoding. Capitals, a port and a dot at the end of host are ignored.
func (x *Index) Match(host, path string) (Route, bool) {
	path = canonicalPath(path)
	for _, r := range x.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route, true
		}
	}
	return Route{}, false
}

// encodedSlash and encodedPercent stay encoded in a canonical path. An encoded slash belongs to a
// segment and does not end it (RFC 3986, 2.2); a decoded percent sign could look like the beginning
// of an encoded slash.
const encodedSlash, encodedPercent = "%2F", "%25"

// canonicalPath decodes a path but for what would change its segments. In a path without a valid
// encoding, such as a prefix with a percent sign of its own, that sign counts as itself.
func canonicalPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	protect := strings.NewReplacer("%2f", "%25"+encodedSlash[1:], "%2F", "%25"+encodedSlash[1:], "%25", "%25"+encodedPercent[1:])
	out, err := url.PathUnescape(protect.Replace(path))
	if err != nil {
		return strings.ReplaceAll(path, "%", encodedPercent)
	}
	return out
}

// ChooseService returns the service that draw, a random number in [0, 1), selects
// by the weights of the targets.
func (r Route) ChooseService(draw float64) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	remaining := int(draw * float64(totalWeight))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ServiceNames returns the services to which requests of the route may be sent.
func (r Route) ServiceNames() []string {
	var out []string
	for _, t := range r.Targets {
		if t.Weight > 0 {
			out = append(out, t.Service)
		}
	}
	return out
}

// Serves reports whether requests of the route may be sent to a service.
func (r Route) Serves(service string) bool { return slices.Contains(r.ServiceNames(), service) }
