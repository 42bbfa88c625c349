package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"
)

// NameRule describes the names that ValidName accepts.
const NameRule = "1 to 100 letters, digits, '.', '-' or '_', beginning with a letter or digit"

// KeyHashRule describes the hashes that ValidKeyHash accepts.
const KeyHashRule = "the SHA-256 of the key as 64 hexadecimal digits in lower case"

// Limits of the numbers in a configuration. They are far above real hardware
// and keep sums of any allowed configuration within 64 bits.
const (
	MaxMemoryMiB  = 1 << 30
	MaxReplicas   = 10_000
	MaxQueueLimit = 1_000_000
	MaxWeight     = 1_000_000
	MaxSeconds    = 366 * 24 * 60 * 60
	MaxRate       = 1_000_000
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ValidName reports whether s may name a service, model, host or caller.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// ValidKeyHash reports whether s may be the hash of a key.
func ValidKeyHash(s string) bool { return keyHashPattern.MatchString(s) }

// Error names a part of a configuration that is not acceptable. Path is such as
// "models[atlas].max_replicas".
type Error struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s = %q: must be %s", e.Path, e.Value, e.Allowed) }

// Errors lists everything that is wrong with a configuration.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Validate returns nil or an Errors with every fault of c.
func Validate(c Configuration) error {
	v := &validator{services: map[string]Service{}, models: map[string]bool{}, taken: map[string]string{}}
	v.deployment(c.Deployment)
	for _, s := range c.Services {
		v.service(s)
	}
	for _, m := range c.Models {
		v.model(m)
	}
	for _, a := range c.Adapters {
		v.adapter(a)
	}
	for _, caller := range c.Callers {
		v.caller(caller)
	}
	for _, o := range c.Objectives {
		v.objective(o)
	}
	if len(v.errs) == 0 {
		return nil
	}
	return v.errs
}

// RequireOperator refuses a configuration without an operator key: once
// applied, nobody could apply another.
func RequireOperator(c Configuration) error {
	for _, caller := range c.Callers {
		if caller.Role == RoleOperator {
			return nil
		}
	}
	return Errors{{Path: "callers", Allowed: "a list with at least one caller of role operator"}}
}

type validator struct {
	errs     Errors
	services map[string]Service
	models   map[string]bool
	// taken maps a name or key hash, with its namespace, to the path that has it.
	taken map[string]string
}

func (v *validator) add(path, value, allowed string) {
	v.errs = append(v.errs, &Error{Path: path, Value: value, Allowed: allowed})
}

func (v *validator) name(path, value string) {
	if !ValidName(value) {
		v.add(path, value, NameRule)
	}
}

func (v *validator) unique(space, path, value string) {
	key := space + "\x00" + value
	if other, found := v.taken[key]; found {
		v.add(path, value, "unique, but "+other+" has it")
		return
	}
	v.taken[key] = path
}

func (v *validator) whole(path string, value, low, high int64) {
	if value < low || value > high {
		v.add(path, fmt.Sprint(value), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

func (v *validator) number(path string, value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		v.add(path, fmt.Sprint(value), fmt.Sprintf("a number from 0 to %g", high))
	}
}

func (v *validator) deployment(d Deployment) {
	v.name("deployment.name", d.Name)
	v.number("deployment.cold_start_weight", d.ColdStartWeight, MaxWeight)
	v.number("deployment.idle_hour_weight", d.IdleHourWeight, MaxWeight)
	v.whole("deployment.presumed_lost_after_seconds", int64(d.PresumedLostAfterSeconds), 0, MaxSeconds)
	v.whole("deployment.claim_retention_seconds", int64(d.ClaimRetentionSeconds), 0, MaxSeconds)
	v.number("deployment.store_loads_per_second", d.StoreLoadsPerSecond, MaxRate)
	v.whole("deployment.store_concurrency", int64(d.StoreConcurrency), 0, MaxRate)
	v.whole("deployment.adapter_concurrency", int64(d.AdapterConcurrency), 0, MaxRate)
}

func (v *validator) service(s Service) {
	path := "services[" + s.Name + "]"
	v.name(path+".name", s.Name)
	v.unique("service", path+".name", s.Name)
	if s.Kind != KindEngine && s.Kind != KindPlain {
		v.add(path+".kind", string(s.Kind), "one of engine, plain")
	}
	v.services[s.Name] = s
}

func (v *validator) model(m Model) {
	path := "models[" + m.Name + "]"
	v.name(path+".name", m.Name)
	v.unique("request", path+".name", m.Name)
	v.engine(path+".service", m.Service)
	v.name(path+".version", m.Version)
	if !m.Urgency.valid() && m.Urgency != "" {
		v.add(path+".urgency", string(m.Urgency), "one of interactive, standard, patient")
	}
	v.whole(path+".memory_mib", m.MemoryMiB, 1, MaxMemoryMiB)
	v.whole(path+".kv_mib", m.KVMiB, 0, MaxMemoryMiB)
	v.whole(path+".max_replicas", int64(m.MaxReplicas), 0, MaxReplicas)
	v.whole(path+".pinned_replicas", int64(m.PinnedReplicas), 0, int64(max(0, m.MaxReplicas)))
	v.whole(path+".queue_limit", int64(m.QueueLimit), 0, MaxQueueLimit)
	v.models[m.Name] = true
}

func (v *validator) engine(path, service string) {
	if v.services[service].Kind != KindEngine {
		v.add(path, service, "a service of kind engine")
	}
}

// adapter checks an adapter. Models and adapters share one namespace, because
// a request names either in the same field.
func (v *validator) adapter(a Adapter) {
	path := "adapters[" + a.Name + "]"
	v.name(path+".name", a.Name)
	v.unique("request", path+".name", a.Name)
	if !v.models[a.Model] {
		v.add(path+".model", a.Model, "a model of this configuration")
	}
	v.name(path+".version", a.Version)
	v.whole(path+".memory_mib", a.MemoryMiB, 1, MaxMemoryMiB)
}

func (v *validator) caller(c Caller) {
	path := "callers[" + c.Name + "]"
	v.name(path+".name", c.Name)
	v.unique("caller", path+".name", c.Name)
	v.name(path+".team", c.Team)
	if c.Role != RoleCaller && c.Role != RoleOperator {
		v.add(path+".role", string(c.Role), "one of caller, operator")
	}
	if !ValidKeyHash(c.KeySHA256) {
		v.add(path+".key_sha256", c.KeySHA256, KeyHashRule)
	}
	v.unique("key", path+".key_sha256", c.KeySHA256)
	v.whole(path+".weight", int64(c.Weight), 0, MaxWeight)
}

func (v *validator) objective(o Objective) {
	path := "objectives[" + o.ID() + "]"
	v.unique("objective", path, o.ID())
	service, found := v.services[o.Service]
	if !found {
		v.add(path+".service", o.Service, "a service of this configuration")
	}
	switch o.Kind {
	case ObjectiveAvailability:
		v.whole(path+".threshold_ms", o.ThresholdMS, 0, 0)
	case ObjectiveFirstToken, ObjectiveColdStart:
		v.whole(path+".threshold_ms", o.ThresholdMS, 1, MaxSeconds*1000)
		if found && service.Kind != KindEngine {
			v.add(path+".kind", string(o.Kind), "availability, because the service is not of kind engine")
		}
	default:
		v.add(path+".kind", string(o.Kind), "one of availability, first_token, cold_start")
	}
	if math.IsNaN(o.Target) || o.Target <= 0 || o.Target >= 1 {
		v.add(path+".target", fmt.Sprint(o.Target), "a share above 0 and below 1")
	}
}
