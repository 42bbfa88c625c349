// Package settings reads and writes the INI file with the settings of one process.
package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// Settings are the settings of one pollenwheel process.
type Settings struct {
	Host       string
	DataCentre string
	// CallerAddress is the IP address and port on which the host serves callers and
	// backend servers.
	CallerAddress string
	// PeerAddress is the IP address and port on which the host serves other hosts.
	PeerAddress string
	// AdvertisedPeerAddress, if set, is the address that other hosts use instead of
	// PeerAddress, for example that of a forwarder in front of this host.
	AdvertisedPeerAddress string
	// AddressListTTL is how long callers may keep the address list. A leaving host
	// continues to serve for this time after it was removed from the list.
	AddressListTTL time.Duration
	// Peers are the other hosts that are known at the start, in the order of the
	// file.
	Peers []Peer
	// Seeds are the addresses of Peers, from which this host discovers the other
	// hosts.
	Seeds []string
	// Control enables the control role, which needs a DataFolder.
	Control    bool
	DataFolder string
	// Voters are the initial voters of the consensus group, including this host if
	// it is one. They are used only until the group has its first log entry.
	Voters []Peer
	// BootstrapKeySHA256 is the SHA-256 of the operator key that is accepted until
	// the first configuration is applied. If empty, no key is accepted until then.
	BootstrapKeySHA256 string
	LogLevel           LogLevel
	// MaxDescriptors is the limit on the descriptors of the process; zero means that of the
	// operating system.
	MaxDescriptors int
	// MemoryMiB is the memory limit of the process in MiB, from which the limit on bodies and
	// answers in memory is derived. Zero means that there is none.
	MemoryMiB int64

	// The settings below are not part of the INI file.

	// DisableFounding prevents a control host from founding a consensus group.
	DisableFounding bool
	// RepairAfter is how long a voter is unreachable before a spare replaces it.
	// Zero means the default.
	RepairAfter time.Duration
	// TargetVoters is the number of voters up to which other control hosts join the
	// initial Voters. Zero leaves their number as it is.
	TargetVoters int
	// ElectionTimeout is how long a control host waits for a message of the leader
	// before it starts an election. Zero means the default.
	ElectionTimeout time.Duration
	// AnnounceAcrossDataCentres is set if backend servers announce themselves to
	// hosts in any data centre and not only in their own.
	AnnounceAcrossDataCentres bool
}

// Peer is the name and the peer address of a host.
type Peer struct {
	Name, Address string
}

// LogLevel is the least severe level that is logged.
type LogLevel string

// Log levels, from the most severe to the least.
const (
	LogError LogLevel = "error"
	LogWarn  LogLevel = "warn"
	LogInfo  LogLevel = "info"
	LogDebug LogLevel = "debug"
)

// DefaultAddressListTTL is the AddressListTTL if the file does not set address_keep.
const DefaultAddressListTTL = 10 * time.Second

// maxMemoryMiB is the highest memory limit that a file can set, 16 TiB.
const maxMemoryMiB = 16 << 20

// minDescriptors and maxDescriptors bound the limit on descriptors that a file can set. A host
// needs some dozens for backend servers and other hosts.
const minDescriptors, maxDescriptors = 100, 1 << 30

// Error reports a setting that is not acceptable, and the allowed values.
type Error = inifile.Error

// Load reads and checks the settings file at path. A relative data folder is
// resolved against the folder of the file. Errors are of type *Error.
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

// Parse reads and checks settings. Path is used only in errors, which are of type
// *Error.
func Parse(path string, data []byte) (Settings, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	fs := fileSettings{path: path, Settings: Settings{AddressListTTL: DefaultAddressListTTL, LogLevel: LogInfo}}
	for _, s := range f.Sections {
		if err := fs.parseSection(s); err != nil {
			return Settings{}, err
		}
	}
	if err := fs.resolve(); err != nil {
		return Settings{}, err
	}
	return fs.Settings, nil
}

// fileSettings are the settings with the values that are needed only while the file
// is read or written.
type fileSettings struct {
	Settings
	path string
	// hasHost reports whether the file has a [host] section.
	hasHost bool
	// voterNames are the names of the voters. resolveVoters looks up their addresses.
	voterNames []string
}

// parseSection decodes a section into the settings.
func (fs *fileSettings) parseSection(s inifile.Section) error {
	switch s.Header() {
	case "host":
		fs.hasHost = true
		return s.Decode(fs.hostFields()...)
	case "peers":
		return fs.parsePeers(s)
	case "control":
		return s.Decode(fs.controlFields()...)
	case "admin":
		return s.Decode(fs.adminFields()...)
	case "log":
		return s.Decode(fs.logFields()...)
	}
	return s.NewError("", "", "one of the sections host, peers, control, admin, log")
}

func (fs *fileSettings) hostFields() []inifile.Field {
	return []inifile.Field{
		inifile.Name("name", &fs.Host).AsRequired(),
		inifile.Name("data_centre", &fs.DataCentre).AsRequired(),
		inifile.Address("caller_address", &fs.CallerAddress).AsRequired(),
		inifile.Address("peer_address", &fs.PeerAddress).AsRequired(),
		inifile.Address("advertised_peer_address", &fs.AdvertisedPeerAddress),
		inifile.Duration("address_keep", &fs.AddressListTTL, time.Second, time.Hour),
		inifile.Int("memory_mib", &fs.MemoryMiB, 1, maxMemoryMiB),
		inifile.Int("max_descriptors", &fs.MaxDescriptors, minDescriptors, maxDescriptors),
	}
}

func (fs *fileSettings) controlFields() []inifile.Field {
	return []inifile.Field{
		inifile.Bool("enabled", &fs.Control),
		inifile.Text("data_folder", &fs.DataFolder),
		inifile.Names("voters", &fs.voterNames),
	}
}

func (fs *fileSettings) adminFields() []inifile.Field {
	return []inifile.Field{inifile.KeyHash("bootstrap_key_sha256", &fs.BootstrapKeySHA256)}
}

func (fs *fileSettings) logFields() []inifile.Field {
	return []inifile.Field{inifile.Choice("level", &fs.LogLevel, LogError, LogWarn, LogInfo, LogDebug)}
}

// parsePeers reads the section [peers], in which every key is a host name and every
// value its peer address. inifile.Parse has already refused repeated names.
func (fs *fileSettings) parsePeers(s inifile.Section) error {
	owners := map[string]string{}
	for _, e := range s.Entries {
		if !config.ValidName(e.Key) {
			return s.NewError(e.Key, e.Value, "listed under a host name; a name is "+config.NameRule)
		}
		if !inifile.ValidAddress(e.Value) {
			return s.NewError(e.Key, e.Value, "an IP address and port such as 127.0.0.1:7200")
		}
		if owner, taken := owners[e.Value]; taken {
			return s.NewError(e.Key, e.Value, "an address that no other peer has; "+owner+" has it")
		}
		owners[e.Value] = e.Key
		fs.Peers = append(fs.Peers, Peer{Name: e.Key, Address: e.Value})
	}
	return nil
}

// resolve checks that the settings agree with each other, and sets those that are
// derived from others. This host may be among the peers, so that all hosts can
// share one list; it is removed from Peers.
func (fs *fileSettings) resolve() error {
	if !fs.hasHost {
		return &Error{File: fs.path, Section: "host", Allowed: "given"}
	}
	if fs.CallerAddress == fs.PeerAddress {
		return fs.newError("host", "peer_address", fs.PeerAddress, "different from caller_address")
	}
	if fs.Control && fs.DataFolder == "" {
		return fs.newError("control", "data_folder", "", "set, because control is enabled")
	}
	if !fs.Control && fs.DataFolder != "" {
		return fs.newError("control", "data_folder", fs.DataFolder, "left out, because control is not enabled")
	}
	for _, p := range fs.Peers {
		if p.Name == fs.Host && p.Address != fs.ownPeerAddress() {
			return fs.newError("peers", p.Name, p.Address, "the host's own peer_address "+fs.ownPeerAddress())
		}
		if p.Name != fs.Host && (p.Address == fs.PeerAddress || p.Address == fs.CallerAddress) {
			return fs.newError("peers", p.Name, p.Address, "different from the addresses of this host")
		}
	}
	if err := fs.resolveVoters(); err != nil {
		return err
	}
	var others []Peer
	for _, p := range fs.Peers {
		if p.Name != fs.Host {
			others = append(others, p)
			fs.Seeds = append(fs.Seeds, p.Address)
		}
	}
	fs.Peers = others
	return nil
}

// ownPeerAddress returns the address at which other hosts reach this host.
func (fs *fileSettings) ownPeerAddress() string {
	if fs.AdvertisedPeerAddress != "" {
		return fs.AdvertisedPeerAddress
	}
	return fs.PeerAddress
}

// newError returns an error about a key of a section of the file.
func (fs *fileSettings) newError(section, key, value, allowed string) error {
	return &Error{File: fs.path, Section: section, Key: key, Value: value, Allowed: allowed}
}

// resolveVoters sets Voters from the names in the file.
func (fs *fileSettings) resolveVoters() error {
	known := append([]Peer{{Name: fs.Host, Address: fs.ownPeerAddress()}}, fs.Peers...)
	for _, name := range fs.voterNames {
		i := slices.IndexFunc(known, func(p Peer) bool { return p.Name == name })
		if i < 0 {
			return fs.newError("control", "voters", name, "hosts that are listed under [peers]")
		}
		if name == fs.Host && !fs.Control {
			return fs.newError("control", "voters", name, "without this host, because control is not enabled")
		}
		fs.Voters = append(fs.Voters, known[i])
	}
	if fs.Control && len(fs.Voters) == 0 {
		return fs.newError("control", "voters", "", "set to the initial voters, because control is enabled")
	}
	return nil
}
