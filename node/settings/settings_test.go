package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validSettings = `; settings of one control host
[host]
name = waco-1
data_centre = waco
caller_address = 127.1.1.1:7100
peer_address = 127.1.1.1:7200
address_keep = 15s
memory_mib = 284
max_descriptors = 4096

[peers]
waco-1 = 127.1.1.1:7200
temple-1 = 127.1.2.1:7200

[control]
enabled = true
data_folder = data/waco-1
voters = waco-1, temple-1

[admin]
bootstrap_key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[log]
level = debug
`

// TestParse guards against settings that are lost or changed when a file is read.
func TestParse(t *testing.T) {
	got, err := Parse("waco-1.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		Host: "waco-1", DataCentre: "waco", CallerAddress: "127.1.1.1:7100", PeerAddress: "127.1.1.1:7200",
		AddressListTTL: 15 * time.Second, Peers: []Peer{{"temple-1", "127.1.2.1:7200"}}, Seeds: []string{"127.1.2.1:7200"},
		Control: true, DataFolder: "data/waco-1",
		Voters:             []Peer{{"waco-1", "127.1.1.1:7200"}, {"temple-1", "127.1.2.1:7200"}},
		BootstrapKeySHA256: strings.Repeat("0", 64), LogLevel: LogDebug, MemoryMiB: 284, MaxDescriptors: 4096,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v\nwant %+v", got, want)
	}
}

// TestParseRefuses guards against wrong or contradictory settings that are
// accepted, or refused without naming the section and key.
func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct{ old, new, section, key string }{
		"unknown section":                    {"[log]", "[logs]", "logs", ""},
		"unknown key":                        {"level = debug", "levels = debug", "log", "levels"},
		"repeated key":                       {"name = waco-1\n", "name = waco-1\nname = waco-1\n", "host", "name"},
		"repeated section":                   {"[log]", "[host]\n[log]", "host", ""},
		"key outside a section":              {"; settings", "name = a\n; settings", "DEFAULT", ""},
		"unknown level":                      {"debug", "loud", "log", "level"},
		"invalid switch":                     {"enabled = true", "enabled = yes", "control", "enabled"},
		"time span without unit":             {"15s", "15", "host", "address_keep"},
		"too few descriptors":                {"4096", "99", "host", "max_descriptors"},
		"memory limit without a number":      {"284", "all", "host", "memory_mib"},
		"name missing":                       {"name = waco-1\n", "", "host", "name"},
		"host name instead of IP address":    {"caller_address = 127.1.1.1", "caller_address = localhost", "host", "caller_address"},
		"address without port":               {"caller_address = 127.1.1.1:7100", "caller_address = 127.1.1.1", "host", "caller_address"},
		"address with port 0":                {"caller_address = 127.1.1.1:7100", "caller_address = 127.1.1.1:0", "host", "caller_address"},
		"one address for both":               {"caller_address = 127.1.1.1:7100", "caller_address = 127.1.1.1:7200", "host", "peer_address"},
		"two peers of one name":              {"temple-1 = 127.1.2.1:7200", "temple-1 = 127.1.2.1:7200\ntemple-1 = 127.1.2.2:7200", "peers", "temple-1"},
		"two peers of one address":           {"temple-1 = 127.1.2.1:7200", "temple-1 = 127.1.2.1:7200\nbryan-1 = 127.1.2.1:7200", "peers", "bryan-1"},
		"peer that is not IP:port":           {"temple-1 = 127.1.2.1:7200", "temple-1 = temple-1:7200", "peers", "temple-1"},
		"own name with another address":      {"waco-1 = 127.1.1.1:7200", "waco-1 = 127.1.1.9:7200", "peers", "waco-1"},
		"own address under another name":     {"waco-1 = 127.1.1.1:7200", "waco-2 = 127.1.1.1:7200", "peers", "waco-2"},
		"control without data folder":        {"data_folder = data/waco-1\n", "", "control", "data_folder"},
		"data folder without control":        {"enabled = true", "enabled = false", "control", "data_folder"},
		"control without voters":             {"voters = waco-1, temple-1\n", "", "control", "voters"},
		"voter that is not a peer":           {"voters = waco-1, temple-1", "voters = waco-1, bryan-1", "control", "voters"},
		"voter without control role":         {"enabled = true\ndata_folder = data/waco-1", "enabled = false", "control", "voters"},
		"voter named twice":                  {"voters = waco-1, temple-1", "voters = waco-1, waco-1", "control", "voters"},
		"bootstrap key that is not a SHA256": {strings.Repeat("0", 64), "secret", "admin", "bootstrap_key_sha256"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			if text == validSettings {
				t.Fatal("the replacement does not change the settings")
			}
			_, err := Parse("waco-1.ini", []byte(text))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v, want one of type *Error", err)
			}
			if e.File != "waco-1.ini" || e.Section != c.section || e.Key != c.key && c.key != "" || e.Allowed == "" {
				t.Errorf("error for another section or key: %v", err)
			}
		})
	}
}

// FuzzParse guards against panics, errors without the file or the allowed
// values, and settings that change when they are written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[host]\nname = a\n[peers]\na = [::1]:1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.File == "" || e.Allowed == "" {
				t.Fatalf("error without the file or the allowed values: %v", err)
			}
			return
		}
		again, err := Parse("written.ini", Format(s))
		if err != nil {
			t.Fatalf("written settings refused: %v\n%s", err, Format(s))
		}
		if !reflect.DeepEqual(s, again) {
			t.Fatalf("settings changed by writing and reading:\n%+v\n%+v", s, again)
		}
	})
}
