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

// Maximum values of the numbers in a configuration. They are far above those of real
// hardware, and low enough that sums over any valid configuration fit into 64 bits.
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

// ValidName reports whether s is a valid name of a service, model, host or caller.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// ValidKeyHash reports whether s has the form of a key hash.
func ValidKeyHash(s string) bool { return keyHashPattern.MatchString(s) }

// Error reports an invalid value in a configuration. Path locates the value, for
// example "models[atlas].max_replicas"; Allowed describes the accepted values.
type Error struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s = %q: must be %s", e.Path, e.Value, e.Allowed) }

// Errors lists all invalid values of a configuration.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Validate returns nil if c is valid, else an error of type Errors with all invalid
// values of c.
func Validate(c Configuration) error {
	v := &validator{services: map[string]Service{}, models: map[string]bool{}, usedBy: map[string]string{}}
	v.checkDeployment(c.Deployment)
	for _, s := range c.Services {
		v.checkService(s)
	}
	for _, m := range c.Models {
		v.checkModel(m)
	}
	for _, a := range c.Adapters {
		v.checkAdapter(a)
	}
	for _, caller := range c.Callers {
		v.checkCaller(caller)
	}
	for _, o := range c.Objectives {
		v.checkObjective(o)
	}
	if len(v.errs) == 0 {
		return nil
	}
	return v.errs
}

// RequireOperator returns an error of type Errors if c has no caller of role
// operator: once it is applied, no caller could apply another configuration.
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
	// usedBy maps a name or key hash, prefixed with its namespace, to the path that
	// uses it.
	usedBy map[string]string
}

func (v *validator) addError(path, value, allowed string) {
	v.errs = append(v.errs, &Error{Path: path, Value: value, Allowed: allowed})
}

func (v *validator) checkName(path, value string) {
	if !ValidName(value) {
		v.addError(path, value, NameRule)
	}
}

// checkUnique adds an error if another path of the same namespace has the same value.
func (v *validator) checkUnique(namespace, path, value string) {
	key := namespace + "\x00" + value
	if other, found := v.usedBy[key]; found {
		v.addError(path, value, "unique, but "+other+" uses it")
		return
	}
	v.usedBy[key] = path
}

func (v *validator) checkInteger(path string, value, low, high int64) {
	if value < low || value > high {
		v.addError(path, fmt.Sprint(value), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

func (v *validator) checkNumber(path string, value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		v.addError(path, fmt.Sprint(value), fmt.Sprintf("a number from 0 to %g", high))
	}
}

func (v *validator) checkDeployment(d Deployment) {
	v.checkName("deployment.name", d.Name)
	v.checkNumber("deployment.cold_start_weight", d.ColdStartWeight, MaxWeight)
	v.checkNumber("deployment.idle_hour_weight", d.IdleHourWeight, MaxWeight)
	v.checkInteger("deployment.presumed_lost_after_seconds", int64(d.PresumedLostAfterSeconds), 0, MaxSeconds)
	v.checkInteger("deployment.claim_retention_seconds", int64(d.ClaimRetentionSeconds), 0, MaxSeconds)
	v.checkNumber("deployment.store_loads_per_second", d.StoreLoadsPerSecond, MaxRate)
	v.checkInteger("deployment.store_concurrency", int64(d.StoreConcurrency), 0, MaxRate)
	v.checkInteger("deployment.adapter_concurrency", int64(d.AdapterConcurrency), 0, MaxRate)
}

func (v *validator) checkService(s Service) {
	path := "services[" + s.Name + "]"
	v.checkName(path+".name", s.Name)
	v.checkUnique("service", path+".name", s.Name)
	if s.Kind != KindEngine && s.Kind != KindPlain {
		v.addError(path+".kind", string(s.Kind), "one of engine, plain")
	}
	v.services[s.Name] = s
}

func (v *validator) checkModel(m Model) {
	path := "models[" + m.Name + "]"
	v.checkName(path+".name", m.Name)
	v.checkUnique("request", path+".name", m.Name)
	v.checkEngineService(path+".service", m.Service)
	v.checkName(path+".version", m.Version)
	if !m.Urgency.valid() && m.Urgency != "" {
		v.addError(path+".urgency", string(m.Urgency), "one of interactive, standard, patient")
	}
	v.checkInteger(path+".memory_mib", m.MemoryMiB, 1, MaxMemoryMiB)
	v.checkInteger(path+".kv_mib", m.KVMiB, 0, MaxMemoryMiB)
	v.checkInteger(path+".max_replicas", int64(m.MaxReplicas), 0, MaxReplicas)
	v.checkInteger(path+".pinned_replicas", int64(m.PinnedReplicas), 0, int64(max(0, m.MaxReplicas)))
	v.checkInteger(path+".queue_limit", int64(m.QueueLimit), 0, MaxQueueLimit)
	v.models[m.Name] = true
}

// checkEngineService adds an error unless service names a service of kind engine.
func (v *validator) checkEngineService(path, service string) {
	if v.services[service].Kind != KindEngine {
		v.addError(path, service, "a service of kind engine")
	}
}

// checkAdapter checks an adapter. Models and adapters share one namespace, because
// the same field of a request names either of them.
func (v *validator) checkAdapter(a Adapter) {
	path := "adapters[" + a.Name + "]"
	v.checkName(path+".name", a.Name)
	v.checkUnique("request", path+".name", a.Name)
	if !v.models[a.Model] {
		v.addError(path+".model", a.Model, "a model of this configuration")
	}
	v.checkName(path+".version", a.Version)
	v.checkInteger(path+".memory_mib", a.MemoryMiB, 1, MaxMemoryMiB)
}

func (v *validator) checkCaller(c Caller) {
	path := "callers[" + c.Name + "]"
	v.checkName(path+".name", c.Name)
	v.checkUnique("caller", path+".name", c.Name)
	v.checkName(path+".team", c.Team)
	if c.Role != RoleCaller && c.Role != RoleOperator {
		v.addError(path+".role", string(c.Role), "one of caller, operator")
	}
	if !ValidKeyHash(c.KeySHA256) {
		v.addError(path+".key_sha256", c.KeySHA256, KeyHashRule)
	}
	v.checkUnique("key", path+".key_sha256", c.KeySHA256)
	v.checkInteger(path+".weight", int64(c.Weight), 0, MaxWeight)
}

func (v *validator) checkObjective(o Objective) {
	path := "objectives[" + o.ID() + "]"
	v.checkUnique("objective", path, o.ID())
	service, found := v.services[o.Service]
	if !found {
		v.addError(path+".service", o.Service, "a service of this configuration")
	}
	switch o.Kind {
	case ObjectiveAvailability:
		v.checkInteger(path+".threshold_ms", o.ThresholdMS, 0, 0)
	case ObjectiveFirstToken, ObjectiveColdStart:
		v.checkInteger(path+".threshold_ms", o.ThresholdMS, 1, MaxSeconds*1000)
		if found && service.Kind != KindEngine {
			v.addError(path+".kind", string(o.Kind), "availability, because the service is not of kind engine")
		}
	default:
		v.addError(path+".kind", string(o.Kind), "one of availability, first_token, cold_start")
	}
	if math.IsNaN(o.Target) || o.Target <= 0 || o.Target >= 1 {
		v.addError(path+".target", fmt.Sprint(o.Target), "a share above 0 and below 1")
	}
}
