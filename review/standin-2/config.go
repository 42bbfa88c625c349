package main

import "fmt"

const (
	hostName = "ficu95.example"
	model    = "daka510000"
	rare     = "rada7437b5"
	rarer    = "ravo486f6a"
)

// configuration is that of a small deployment: one service of models, one plain one.
func configuration(version int) []byte {
	models := []map[string]any{}
	for _, name := range []string{model, rare, rarer} {
		models = append(models, map[string]any{
			"Name": name, "WeightsMb": 16100.0, "LoadS": 6.0, "Adapters": 32, "AdapterMb": 14.0, "WarmS": 0.27, "DiskS": 0.35,
		})
	}
	return toJSON(map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "r-stream", "Host": hostName, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 400,
				"Priority": 1, "Service": "huvo11a", "MaxAttempts": 1, "Sticky": true, "Resumable": false, "TargetGapMs": 200},
			{"Name": "r-safe", "Host": hostName, "PathPrefix": "/cufi504/", "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": "wuno96b", "MaxAttempts": 2},
			{"Name": "r-unsafe", "Host": hostName, "PathPrefix": "/puxa403/", "Kind": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": "wuno96b", "MaxAttempts": 1},
			{"Name": "r-look", "Host": hostName, "PathPrefix": "/puxa403/look/", "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": "wuno96b", "MaxAttempts": 2},
		},
		"Services": []map[string]any{
			{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 490, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 96, "KvCapacity": 156674, "TokenKvBytes": 131072, "LinkMbps": 550000.0, "Moves": true, "Backups": true, "Stride": 6, "Cap": 12,
				"HostMb": 61000.0, "DiskMb": 210000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": models,
				"WeightsMb": 58000.0, "AdapterSlots": 8, "LoadsPerS": 3.2,
			}},
			{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// addRunners adds n runners of a service, spread over the zones, without starting them.
func (t *trial) addRunners(service string, n int) []*runner {
	var out []*runner
	for i := range n {
		z := i % len(t.fleet.zones)
		out = append(out, &runner{
			fleet: t.fleet, rec: t.rec, service: service, zone: t.fleet.zones[z], plain: service == "wuno96b",
			ip: fmt.Sprintf("127.%d.%d.%d", t.fleet.base, z+1, 100+len(t.runners)), copies: []string{model, rare, rarer},
		})
		t.runners = append(t.runners, out[i])
	}
	return out
}
