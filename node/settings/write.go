package settings

import "github.com/pollenwheel/pollenwheel/node/inifile"

// Format returns the settings as a file that Parse reads back.
func Format(s Settings) []byte {
	r := reader{Settings: s}
	for _, v := range s.Voters {
		r.voters = append(r.voters, v.Name)
	}
	var w inifile.Writer
	w.Section("host", "", r.hostFields()...)
	if len(s.Peers) > 0 {
		peers := make([]inifile.Field, len(s.Peers))
		for i := range s.Peers {
			peers[i] = inifile.Address(s.Peers[i].Name, &s.Peers[i].Address)
		}
		w.Section("peers", "", peers...)
	}
	w.Section("control", "", r.controlFields()...)
	if s.BootstrapKeySHA256 != "" {
		w.Section("admin", "", r.adminFields()...)
	}
	w.Section("log", "", r.logFields()...)
	return w.Bytes()
}
