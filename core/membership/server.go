// Package membership maintains the hosts and backend servers of a deployment:
// their announcements, which of them are silent, and which are leaving. It
// performs no I/O and reads no clock.
package membership

import (
	"slices"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Tier is the storage tier in which a backend server caches a checkpoint.
type Tier string

// Checkpoint tiers, fastest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierStore  Tier = "store"
)

// ReportPhase is the state of a model or adapter as its server reports it.
type ReportPhase string

// Report phases. ReportAbsent reports the end of an unload or of a failed load.
const (
	ReportLoading   ReportPhase = "loading"
	ReportReady     ReportPhase = "ready"
	ReportUnloading ReportPhase = "unloading"
	ReportAbsent    ReportPhase = "absent"
)

// ModelReport describes the state of one model or adapter on a backend server.
type ModelReport struct {
	Model   string      `json:"model"`
	Adapter string      `json:"adapter,omitempty"`
	Version string      `json:"version"`
	Phase   ReportPhase `json:"phase"`
	// Order is the fencing number of the newest order executed for it.
	Order uint64 `json:"order"`
}

// Checkpoint is a cached checkpoint. Checkpoints that a server does not list are
// in the remote store.
type Checkpoint struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Tier    Tier   `json:"tier"`
}

// Load is the load that a server reports about itself. It lags behind the actual
// load.
type Load struct {
	Running   int   `json:"running"`
	Queued    int   `json:"queued"`
	KVUsedMiB int64 `json:"kv_used_mib"`
}

// Server is a backend server's announcement. Sequence increases with every
// announcement of one incarnation.
type Server struct {
	Name         string             `json:"name"`
	Service      string             `json:"service"`
	Kind         config.ServiceKind `json:"kind"`
	DataCentre   string             `json:"data_centre"`
	Address      string             `json:"address"`
	Incarnation  uint64             `json:"incarnation"`
	Sequence     uint64             `json:"sequence"`
	Accelerators int                `json:"accelerators"`
	MemoryMiB    int64              `json:"memory_mib"`
	Engine       string             `json:"engine,omitempty"`
	// SoftwareVersion is the version of the server's software, as the server names it. It
	// is not the version of any weights. It is empty if the server names none.
	SoftwareVersion string `json:"software_version,omitempty"`
	ChecksFencing   bool   `json:"checks_fencing"`
	Leaving         bool   `json:"leaving,omitempty"`
	// NewestOrder is the highest fencing number that the server has accepted.
	NewestOrder uint64        `json:"newest_order,omitempty"`
	Models      []ModelReport `json:"models,omitempty"`
	Cached      []Checkpoint  `json:"cached,omitempty"`
	Load        Load          `json:"load"`
}

// NewerThan reports whether s is a newer announcement than other, by incarnation and
// then by sequence.
func (s Server) NewerThan(other Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// ModelReport returns the server's report for a model or adapter.
func (s Server) ModelReport(model, adapter string) (ModelReport, bool) {
	for _, r := range s.Models {
		if r.Model == model && r.Adapter == adapter {
			return r, true
		}
	}
	return ModelReport{}, false
}

// Host is an entry host's own record.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// CallerAddress is where callers and backend servers connect; PeerAddress
	// is where other hosts connect.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Incarnation   uint64 `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	Control       bool   `json:"control,omitempty"`
	// Ready hosts serve callers. Leaving hosts only finish the requests that
	// they have.
	Ready   bool `json:"ready,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// WithoutSuperseded returns all without the servers whose address is now used by another
// one: a server that announces itself supersedes a silent one, and of two that do or two that
// don't, the later incarnation does. Only servers of services that are offered supersede others,
// since another writer may send an entry that names any address. It modifies all.
func WithoutSuperseded(all []ServerStatus, offered func(service string) bool) []ServerStatus {
	current := map[string]ServerStatus{}
	for _, s := range all {
		if c, ok := current[s.Address]; offered(s.Service) && (!ok || c.supersededBy(s)) {
			current[s.Address] = s
		}
	}
	return slices.DeleteFunc(all, func(s ServerStatus) bool {
		c, ok := current[s.Address]
		return ok && s.supersededBy(c)
	})
}

// supersededBy reports whether other, which has the same address and is of a service that is
// offered, shows that s is no longer there.
func (s ServerStatus) supersededBy(other ServerStatus) bool {
	if s.Silent != other.Silent {
		return s.Silent
	}
	return s.Incarnation < other.Incarnation
}
