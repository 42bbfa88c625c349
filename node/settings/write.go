package settings

import "github.com/pollenwheel/pollenwheel/node/inifile"

// Format returns s as the contents of a file. Parse returns s for these contents,
// without the settings that are not part of the INI file.
func Format(s Settings) []byte {
	fs := fileSettings{Settings: s}
	for _, v := range s.Voters {
		fs.voterNames = append(fs.voterNames, v.Name)
	}
	var w inifile.Writer
	w.Section("host", "", fs.hostFields()...)
	if len(s.Peers) > 0 {
		peers := make([]inifile.Field, len(s.Peers))
		for i := range s.Peers {
			peers[i] = inifile.Address(s.Peers[i].Name, &s.Peers[i].Address)
		}
		w.Section("peers", "", peers...)
	}
	w.Section("control", "", fs.controlFields()...)
	if s.BootstrapKeySHA256 != "" {
		w.Section("admin", "", fs.adminFields()...)
	}
	w.Section("log", "", fs.logFields()...)
	return w.Bytes()
}
