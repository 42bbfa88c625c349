// Package settings reads the INI settings of one process.
package settings

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Settings of one pollenwheel process.
type Settings struct {
	Host       string
	DataCentre string
	// CallerAddress is the IP address and port for callers and backend servers.
	CallerAddress string
	// PeerAddress is the IP address and port for other hosts.
	PeerAddress string
	// Seeds are peer addresses to learn the other hosts from.
	Seeds []string
	// Control switches the control role on; it needs DataFolder.
	Control    bool
	DataFolder string
}

// Error names the setting that is not acceptable.
type Error struct {
	File, Section, Key, Value, Allowed string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: must be %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	f, err := ini.Load(path)
	if err != nil {
		return Settings{}, &Error{File: path, Allowed: "an INI file: " + err.Error()}
	}
	h, c := f.Section("host"), f.Section("control")
	s := Settings{
		Host: h.Key("name").String(), DataCentre: h.Key("data_centre").String(),
		CallerAddress: h.Key("caller_address").String(), PeerAddress: h.Key("peer_address").String(),
		Seeds: h.Key("seeds").Strings(","), Control: c.Key("enabled").MustBool(false),
		DataFolder: c.Key("data_folder").String(),
	}
	if s.Host == "" {
		return s, &Error{path, "host", "name", "", "set"}
	}
	if s.CallerAddress == "" {
		return s, &Error{path, "host", "caller_address", "", "an IP address and port"}
	}
	if s.Control && s.DataFolder == "" {
		return s, &Error{path, "control", "data_folder", "", "set, because control is enabled"}
	}
	return s, nil
}
