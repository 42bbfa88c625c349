package state

import "testing"

// FuzzCommands guards against a malformed command that decodes but ends the process
// that applies it: every member would apply it again after each restart.
func FuzzCommands(f *testing.F) {
	for _, text := range []string{
		`{"publish":{"table":{"version":1,"routes":[{"name":"r"}],"services":[{"name":"s","engine":{}}]}}}`,
		`{"configure":{"change_id":"c","expected":0,"patch":{}}}`,
		`{"configure":{"change_id":"c","next":{"services":[{"name":"s"}],"models":[{"name":"m"}]}}}`,
		`{"register":{"server":"s","incarnation":1}}`, `{"lose":{"server":"s","incarnation":1}}`,
		`{"load":{"server":"s","model":"m"}}`, `{"unload":{"server":"s","model":"m"}}`, `{"settle":{"server":"s"}}`,
		`{"attempt":{}}`, `{"resolve":{}}`, `{"adopt":{"server":"s"}}`, `{"claim":{"key":"k"}}`, `{"outcome":{"key":"k"}}`,
		`{"suspect":{"server":"s","incarnation":1,"fingerprints":["a","a"]}}`, `{"trial":{"fingerprint":"a"}}`,
		`{"suspect":{"server":"s","incarnation":1,"fingerprints":["a","b"],"parts":["x","y","x","request:a"],"trial":{"parts":["x"],"server":"s","incarnation":1}}}`,
		`{"trial":{"parts":["x"],"server":"s","incarnation":1}}`, `{"acquit":{"parts":["x","x"],"lift":true}}`, `{"acquit":{"fingerprint":"a"}}`,
		`{"learn":{"data":"e30="}}`, `{"lead":{}}`, `{"unix_ms":-1}`, `null`, `{}`,
	} {
		f.Add([]byte(text), []byte(`{"register":{"server":"s","incarnation":2}}`))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := New()
		for i, data := range [][]byte{first, second, first} {
			c, err := DecodeCommand(data)
			if err != nil {
				continue
			}
			s.Apply(uint64(i+1), c)
			s.Apply(uint64(i+4), c.ForFollowers())
		}
		if _, err := s.Snapshot(); err != nil {
			t.Errorf("the state cannot be encoded: %v", err)
		}
	})
}

// FuzzRestore guards against a snapshot that decodes but ends the process that
// continues from it.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{}`), []byte(`{"register":{"server":"s","incarnation":2}}`))
	f.Add([]byte(`{"servers":null,"placements":null,"suspects":null,"claims":null}`), []byte(`{"suspect":{"server":"s","incarnation":1,"fingerprints":["a"]}}`))
	f.Add([]byte(`null`), []byte(`{"claim":{"key":"k"}}`))
	f.Fuzz(func(_ *testing.T, snapshot, command []byte) {
		s, err := Restore(snapshot)
		if err != nil {
			return
		}
		if c, err := DecodeCommand(command); err == nil {
			s.Apply(s.Index+1, c)
		}
	})
}
