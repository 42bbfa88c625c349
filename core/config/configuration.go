// Package config defines the configuration that operators apply: services,
// models, adapters, callers and objectives. It performs no I/O.
package config

import "time"

// Role determines what a caller's key permits.
type Role string

// Roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// Service kinds.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Urgency is the urgency class of requests, which determines how long they may wait.
// More urgent classes are served first; the constants are in that order.
type Urgency string

// Urgency classes.
const (
	UrgencyInteractive Urgency = "interactive"
	UrgencyStandard    Urgency = "standard"
	UrgencyPatient     Urgency = "patient"
)

func (u Urgency) valid() bool {
	return u == UrgencyInteractive || u == UrgencyStandard || u == UrgencyPatient
}

// Configuration is the complete configuration of a deployment. Versions start at 1;
// version 0 means that no configuration has been applied.
type Configuration struct {
	Version    uint64      `json:"version"`
	Deployment Deployment  `json:"deployment"`
	Services   []Service   `json:"services"`
	Models     []Model     `json:"models"`
	Adapters   []Adapter   `json:"adapters,omitempty"`
	Callers    []Caller    `json:"callers,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Deployment holds the settings that apply to all services of one deployment.
type Deployment struct {
	Name string `json:"name"`
	// ColdStartWeight and IdleHourWeight weigh one second of cold-start wait against
	// one idle accelerator hour.
	ColdStartWeight float64 `json:"cold_start_weight"`
	IdleHourWeight  float64 `json:"idle_hour_weight"`
	// PresumedLostAfterSeconds is the time after which a silent backend server is
	// presumed lost and its replica slots are released. With zero, the server keeps
	// them until an operator acts.
	PresumedLostAfterSeconds int `json:"presumed_lost_after_seconds"`
	// ClaimRetentionSeconds is the maximum age of an idempotency key.
	ClaimRetentionSeconds int `json:"claim_retention_seconds"`
	// StoreLoadsPerSecond and StoreConcurrency are the limits of the weight store:
	// the loads started per second and the loads in flight.
	StoreLoadsPerSecond float64 `json:"store_loads_per_second"`
	StoreConcurrency    int     `json:"store_concurrency"`
	// AdapterConcurrency is the maximum number of adapter loads in flight on all
	// servers together.
	AdapterConcurrency int `json:"adapter_concurrency"`
}

// Service is a named group of backend servers of one kind.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
}

// Model is one model of an engine service.
type Model struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Urgency applies to requests that specify none; empty means standard.
	Urgency Urgency `json:"urgency,omitempty"`
	// MemoryMiB is the accelerator memory of one replica's weights; KVMiB is
	// the share reserved for its KV cache.
	MemoryMiB int64 `json:"memory_mib"`
	KVMiB     int64 `json:"kv_mib"`
	// MaxReplicas is the replica limit that operators set. PinnedReplicas is the
	// number of replicas that stay loaded when idle.
	MaxReplicas    int `json:"max_replicas"`
	PinnedReplicas int `json:"pinned_replicas"`
	// QueueLimit is the maximum number of requests waiting for the model on one
	// host.
	QueueLimit int `json:"queue_limit"`
}

// Adapter is a fine-tuned addition to a model.
type Adapter struct {
	Name      string `json:"name"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	MemoryMiB int64  `json:"memory_mib"`
}

// Caller is a client account. Only the SHA-256 hash of its key is stored.
type Caller struct {
	Name      string `json:"name"`
	Team      string `json:"team"`
	Role      Role   `json:"role"`
	KeySHA256 string `json:"key_sha256"`
	// Weight determines the team's share when requests compete; zero counts as one.
	Weight int `json:"weight,omitempty"`
}

// ObjectiveKind is the quantity that an objective measures.
type ObjectiveKind string

// Objective kinds.
const (
	ObjectiveAvailability ObjectiveKind = "availability"
	ObjectiveFirstToken   ObjectiveKind = "first_token"
	ObjectiveColdStart    ObjectiveKind = "cold_start"
)

// ObjectiveKinds lists all objective kinds.
var ObjectiveKinds = []ObjectiveKind{ObjectiveAvailability, ObjectiveFirstToken, ObjectiveColdStart}

// Objective is a service-level objective.
type Objective struct {
	Service string        `json:"service"`
	Kind    ObjectiveKind `json:"kind"`
	// Target is the required share of requests that meet the objective, between 0
	// and 1.
	Target float64 `json:"target"`
	// ThresholdMS is the maximum latency in milliseconds. It is zero for
	// ObjectiveAvailability.
	ThresholdMS int64 `json:"threshold_ms,omitempty"`
}

// ID identifies the objective within a configuration.
func (o Objective) ID() string { return o.Service + "/" + string(o.Kind) }

// Model returns the model with the given name.
func (c *Configuration) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Adapter returns the adapter with the given name.
func (c *Configuration) Adapter(name string) (Adapter, bool) {
	for _, a := range c.Adapters {
		if a.Name == name {
			return a, true
		}
	}
	return Adapter{}, false
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Resolve returns the model and adapter for the model field of a request, which names
// either a model or an adapter. The adapter is empty if the field names a model.
func (c *Configuration) Resolve(name string) (m Model, adapter string, ok bool) {
	if a, found := c.Adapter(name); found {
		m, ok = c.Model(a.Model)
		return m, a.Name, ok
	}
	m, ok = c.Model(name)
	return m, "", ok
}

// PresumedLostAfter returns the time for which a backend server must be silent to be
// presumed lost; zero means never.
func (d Deployment) PresumedLostAfter() time.Duration {
	return time.Duration(d.PresumedLostAfterSeconds) * time.Second
}
