// Package documents reads and writes the INI files that people edit: the
// questionnaires of teams, the decisions of operators, and configurations.
package documents

import (
	"errors"
	"math"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// ParseConfiguration reads and validates a configuration. Path is used only in
// errors, which are of type *inifile.Error or *ValidationError.
func ParseConfiguration(path string, data []byte) (config.Configuration, error) {
	var c config.Configuration
	f, err := inifile.Parse(path, data)
	if err != nil {
		return c, err
	}
	for _, s := range f.Sections {
		if err := parseConfigurationSection(&c, s); err != nil {
			return config.Configuration{}, err
		}
	}
	if err := config.Validate(c); err != nil {
		return config.Configuration{}, withFile(path, err)
	}
	return c, nil
}

// parseConfigurationSection adds a section of a configuration to c.
func parseConfigurationSection(c *config.Configuration, s inifile.Section) error {
	switch s.Kind {
	case "configuration":
		return decodeUnnamed(s, versionFields(c)...)
	case "deployment":
		if c.Deployment.Name != "" {
			return s.NewError("", "", "the only deployment")
		}
		c.Deployment.Name = s.Name
		return decodeNamed(s, deploymentFields(&c.Deployment)...)
	case "service":
		c.Services = append(c.Services, config.Service{Name: s.Name})
		return decodeNamed(s, serviceFields(last(c.Services))...)
	case "model":
		c.Models = append(c.Models, config.Model{Name: s.Name})
		return decodeNamed(s, modelFields(last(c.Models))...)
	case "adapter":
		c.Adapters = append(c.Adapters, config.Adapter{Name: s.Name})
		return decodeNamed(s, adapterFields(last(c.Adapters))...)
	case "caller":
		c.Callers = append(c.Callers, config.Caller{Name: s.Name})
		return decodeNamed(s, callerFields(last(c.Callers))...)
	case "objective":
		o, err := parseObjective(s)
		c.Objectives = append(c.Objectives, o)
		return err
	}
	return s.NewError("", "", "one of the sections configuration, deployment, service, model, adapter, caller, objective")
}

// FormatConfiguration returns c as the contents of a file. ParseConfiguration
// returns c for these contents.
func FormatConfiguration(c config.Configuration) []byte {
	var w inifile.Writer
	if c.Version > 0 {
		w.Section("configuration", "", versionFields(&c)...)
	}
	w.Section("deployment", c.Deployment.Name, deploymentFields(&c.Deployment)...)
	for _, s := range c.Services {
		w.Section("service", s.Name, serviceFields(&s)...)
	}
	for _, m := range c.Models {
		w.Section("model", m.Name, modelFields(&m)...)
	}
	for _, a := range c.Adapters {
		w.Section("adapter", a.Name, adapterFields(&a)...)
	}
	for _, caller := range c.Callers {
		w.Section("caller", caller.Name, callerFields(&caller)...)
	}
	for _, o := range c.Objectives {
		w.Section("objective", o.ID(), objectiveFields(&o)...)
	}
	return w.Bytes()
}

func versionFields(c *config.Configuration) []inifile.Field {
	return []inifile.Field{inifile.Int("version", &c.Version, 1, math.MaxInt64).AsRequired()}
}

func deploymentFields(d *config.Deployment) []inifile.Field {
	return []inifile.Field{
		inifile.Float("cold_start_weight", &d.ColdStartWeight, 0, config.MaxWeight),
		inifile.Float("idle_hour_weight", &d.IdleHourWeight, 0, config.MaxWeight),
		inifile.Int("presumed_lost_after_seconds", &d.PresumedLostAfterSeconds, 0, config.MaxSeconds),
		inifile.Int("claim_retention_seconds", &d.ClaimRetentionSeconds, 0, config.MaxSeconds),
		inifile.Float("store_loads_per_second", &d.StoreLoadsPerSecond, 0, config.MaxRate),
		inifile.Int("store_concurrency", &d.StoreConcurrency, 0, config.MaxRate),
		inifile.Int("adapter_concurrency", &d.AdapterConcurrency, 0, config.MaxRate),
	}
}

func serviceFields(s *config.Service) []inifile.Field {
	return []inifile.Field{inifile.Choice("kind", &s.Kind, config.KindEngine, config.KindPlain).AsRequired()}
}

func modelFields(m *config.Model) []inifile.Field {
	return []inifile.Field{
		inifile.Name("service", &m.Service).AsRequired(),
		inifile.Name("version", &m.Version).AsRequired(),
		urgencyField(&m.Urgency),
		inifile.Int("memory_mib", &m.MemoryMiB, 1, config.MaxMemoryMiB).AsRequired(),
		inifile.Int("kv_mib", &m.KVMiB, 0, config.MaxMemoryMiB),
		inifile.Int("max_replicas", &m.MaxReplicas, 0, config.MaxReplicas),
		inifile.Int("pinned_replicas", &m.PinnedReplicas, 0, config.MaxReplicas),
		inifile.Int("queue_limit", &m.QueueLimit, 0, config.MaxQueueLimit),
	}
}

func urgencyField(u *config.Urgency) inifile.Field {
	return inifile.Choice("urgency", u, config.UrgencyInteractive, config.UrgencyStandard, config.UrgencyPatient)
}

func adapterFields(a *config.Adapter) []inifile.Field {
	return []inifile.Field{
		inifile.Name("model", &a.Model).AsRequired(),
		inifile.Name("version", &a.Version).AsRequired(),
		inifile.Int("memory_mib", &a.MemoryMiB, 1, config.MaxMemoryMiB).AsRequired(),
	}
}

func callerFields(c *config.Caller) []inifile.Field {
	return []inifile.Field{
		inifile.Name("team", &c.Team).AsRequired(),
		inifile.Choice("role", &c.Role, config.RoleCaller, config.RoleOperator).AsRequired(),
		inifile.KeyHash("key_sha256", &c.KeySHA256).AsRequired(),
		inifile.Int("weight", &c.Weight, 0, config.MaxWeight),
	}
}

func objectiveFields(o *config.Objective) []inifile.Field {
	return []inifile.Field{
		inifile.Float("target", &o.Target, 0, 1).AsRequired(),
		inifile.Int("threshold_ms", &o.ThresholdMS, 0, config.MaxSeconds*1000),
	}
}

// parseObjective decodes a section such as "[objective lace-assist/first_token]".
func parseObjective(s inifile.Section) (config.Objective, error) {
	for _, kind := range config.ObjectiveKinds {
		serviceLen := len(s.Name) - len("/"+string(kind))
		o := config.Objective{Kind: kind}
		if serviceLen <= 0 || s.Name[serviceLen:] != "/"+string(kind) {
			continue
		}
		o.Service = s.Name[:serviceLen]
		err := s.Decode(objectiveFields(&o)...)
		return o, err
	}
	return config.Objective{}, s.NewError("", "", "named by a service and one of availability, first_token, cold_start, such as [objective assist/first_token]")
}

// decodeUnnamed decodes a section whose header must not have a name.
func decodeUnnamed(s inifile.Section, fields ...inifile.Field) error {
	if s.Name != "" {
		return s.NewError("", "", "["+s.Kind+"] without a name")
	}
	return s.Decode(fields...)
}

// last returns a pointer to the last element of list.
func last[T any](list []T) *T { return &list[len(list)-1] }

// ValidationError reports the faults of a file that is well formed but not a valid
// configuration.
type ValidationError struct {
	File   string
	Faults config.Errors
}

func (e *ValidationError) Error() string { return e.File + ":\n" + e.Faults.Error() }

// Unwrap returns the faults.
func (e *ValidationError) Unwrap() error { return e.Faults }

// withFile adds the file's path to the faults of a configuration.
func withFile(path string, err error) error {
	var faults config.Errors
	if !errors.As(err, &faults) {
		return err
	}
	return &ValidationError{File: path, Faults: faults}
}
