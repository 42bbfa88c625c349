// Package settings reads the INI settings of one process.
package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// Settings of one pollenwheel process.
type Settings struct {
	Host       string
	DataCentre string
	// CallerAddress is the IP address and port for callers and backend servers.
	CallerAddress string
	// PeerAddress is the IP address and port for other hosts.
	PeerAddress string
	// AdvertisedPeerAddress is what other hosts use instead of PeerAddress, if
	// set, as behind a forwarder.
	AdvertisedPeerAddress string
	// AddressKeep is how long callers may cache the address list. A leaving host
	// serves for this long after it left the list.
	AddressKeep time.Duration
	// Peers are the other hosts known at the start, in the order of the file.
	Peers []Peer
	// Seeds are the addresses of Peers, to learn the other hosts from.
	Seeds []string
	// Control switches the control role on; it needs DataFolder.
	Control    bool
	DataFolder string
	// Voters are the initial voters of the consensus group, with this host if it
	// is one. They matter only before the group has a first log entry.
	Voters []Peer
	// BootstrapKeySHA256 is the hash of the operator key that is accepted while
	// no configuration has been applied. Empty accepts none.
	BootstrapKeySHA256 string
	LogLevel           LogLevel

	// The settings below are not part of the INI file.

	// NoFounding keeps a control host from founding a consensus group.
	NoFounding bool
	// RepairAfter is how long a voter is unreachable before a spare replaces it.
	// Zero stands for the default.
	RepairAfter time.Duration
	// ElectionTimeout is how long a control host waits for the leader. Zero
	// stands for the default.
	ElectionTimeout time.Duration
	// AnnouncedAnywhere is set where backend servers announce themselves to hosts
	// of any data centre.
	AnnouncedAnywhere bool
}

// Peer is another host and its peer address.
type Peer struct {
	Name, Address string
}

// LogLevel is the lowest level that is logged.
type LogLevel string

// Log levels.
const (
	LogError LogLevel = "error"
	LogWarn  LogLevel = "warn"
	LogInfo  LogLevel = "info"
	LogDebug LogLevel = "debug"
)

// DefaultAddressKeep applies when the settings give no time.
const DefaultAddressKeep = 10 * time.Second

// Error names the setting that is not acceptable, and what is.
type Error = inifile.Error

// Load reads and checks the settings file at path. A relative data folder is
// taken from the folder of the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Allowed: "a readable file: " + err.Error()}
	}
	s, err := Parse(path, data)
	if err == nil && s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		s.DataFolder = filepath.Join(filepath.Dir(path), s.DataFolder)
	}
	return s, err
}

// Parse reads and checks settings. Path is used in errors only.
func Parse(path string, data []byte) (Settings, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	r := reader{path: path, Settings: Settings{AddressKeep: DefaultAddressKeep, LogLevel: LogInfo}}
	for _, s := range f.Sections {
		if err := r.section(s); err != nil {
			return Settings{}, err
		}
	}
	if err := r.resolve(); err != nil {
		return Settings{}, err
	}
	return r.Settings, nil
}

type reader struct {
	Settings
	path   string
	host   bool
	voters []string
}

func (r *reader) section(s inifile.Section) error {
	switch s.Header() {
	case "host":
		r.host = true
		return s.Decode(r.hostFields()...)
	case "peers":
		return r.peers(s)
	case "control":
		return s.Decode(r.controlFields()...)
	case "admin":
		return s.Decode(r.adminFields()...)
	case "log":
		return s.Decode(r.logFields()...)
	}
	return s.Error("", "", "one of the sections host, peers, control, admin, log")
}

func (r *reader) hostFields() []inifile.Field {
	return []inifile.Field{
		inifile.Name("name", &r.Host).Must(),
		inifile.Name("data_centre", &r.DataCentre).Must(),
		inifile.Address("caller_address", &r.CallerAddress).Must(),
		inifile.Address("peer_address", &r.PeerAddress).Must(),
		inifile.Address("advertised_peer_address", &r.AdvertisedPeerAddress),
		inifile.Duration("address_keep", &r.AddressKeep, time.Second, time.Hour),
	}
}

func (r *reader) controlFields() []inifile.Field {
	return []inifile.Field{
		inifile.Bool("enabled", &r.Control),
		inifile.Text("data_folder", &r.DataFolder),
		inifile.Names("voters", &r.voters),
	}
}

func (r *reader) adminFields() []inifile.Field {
	return []inifile.Field{inifile.KeyHash("bootstrap_key_sha256", &r.BootstrapKeySHA256)}
}

func (r *reader) logFields() []inifile.Field {
	return []inifile.Field{inifile.Choice("level", &r.LogLevel, LogError, LogWarn, LogInfo, LogDebug)}
}

// peers reads one host per key. A host named twice is already refused by
// inifile.Parse.
func (r *reader) peers(s inifile.Section) error {
	owners := map[string]string{}
	for _, e := range s.Entries {
		if !config.ValidName(e.Key) {
			return s.Error(e.Key, e.Value, "under a host name: "+config.NameRule)
		}
		if !inifile.ValidAddress(e.Value) {
			return s.Error(e.Key, e.Value, "an IP address and port such as 127.0.0.1:7200")
		}
		if owner, taken := owners[e.Value]; taken {
			return s.Error(e.Key, e.Value, "an address that no other peer has; "+owner+" has it")
		}
		owners[e.Value] = e.Key
		r.Peers = append(r.Peers, Peer{Name: e.Key, Address: e.Value})
	}
	return nil
}

// resolve checks the settings against each other. All hosts may share one list
// of peers, so this host may be among them.
func (r *reader) resolve() error {
	if !r.host {
		return &Error{File: r.path, Section: "host", Allowed: "given"}
	}
	if r.CallerAddress == r.PeerAddress {
		return r.fault("host", "peer_address", r.PeerAddress, "different from caller_address")
	}
	if r.Control && r.DataFolder == "" {
		return r.fault("control", "data_folder", "", "set, because control is enabled")
	}
	if !r.Control && r.DataFolder != "" {
		return r.fault("control", "data_folder", r.DataFolder, "left out, because control is not enabled")
	}
	for _, p := range r.Peers {
		if p.Name == r.Host && p.Address != r.advertised() {
			return r.fault("peers", p.Name, p.Address, "the host's own peer_address "+r.advertised())
		}
		if p.Name != r.Host && (p.Address == r.PeerAddress || p.Address == r.CallerAddress) {
			return r.fault("peers", p.Name, p.Address, "different from the addresses of this host")
		}
	}
	if err := r.resolveVoters(); err != nil {
		return err
	}
	var others []Peer
	for _, p := range r.Peers {
		if p.Name != r.Host {
			others = append(others, p)
			r.Seeds = append(r.Seeds, p.Address)
		}
	}
	r.Peers = others
	return nil
}

// advertised is the own address as the other hosts list it.
func (r *reader) advertised() string {
	if r.AdvertisedPeerAddress != "" {
		return r.AdvertisedPeerAddress
	}
	return r.PeerAddress
}

func (r *reader) fault(section, key, value, allowed string) error {
	return &Error{File: r.path, Section: section, Key: key, Value: value, Allowed: allowed}
}

func (r *reader) resolveVoters() error {
	known := append([]Peer{{Name: r.Host, Address: r.advertised()}}, r.Peers...)
	for _, name := range r.voters {
		i := slices.IndexFunc(known, func(p Peer) bool { return p.Name == name })
		if i < 0 {
			return r.fault("control", "voters", name, "hosts that are listed under [peers]")
		}
		if name == r.Host && !r.Control {
			return r.fault("control", "voters", name, "without this host, because control is not enabled")
		}
		r.Voters = append(r.Voters, known[i])
	}
	if r.Control && len(r.Voters) == 0 {
		return r.fault("control", "voters", "", "set to the initial voters, because control is enabled")
	}
	return nil
}
