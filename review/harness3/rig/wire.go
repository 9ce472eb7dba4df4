package rig

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the names of the platform's wire, which stand in one file.
var wire = func() (w struct {
	AttemptID, DeadlineMs, Signature, Expected, InstanceID, NotExecuted, ColdMs, Caller string
	ReadyPath, KeyPath, RangePath, WatchPath, SettingsVariable, ConfigKey               string
	Local, Hosts, Rules, Prefix, Regions                                                string
},
) {
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		panic(err)
	}
	return w
}()

// Route is a route of Config.
type Route struct{ Name, Prefix, Kind, Service string }

// Config returns the operators' configuration with routes of a host.
func Config(version, host string, routes ...Route) map[string]any {
	var services, rules []any
	for _, name := range []string{"lagerstand", "disposition", "wiegebeleg"} {
		services = append(services, map[string]any{
			"Name": name, "HealthPath": "/health", "MaxConnections": 120, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 21.0,
		})
	}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"Name": r.Name, wire.Prefix: r.Prefix, "Kind": r.Kind, "TimeoutS": 1, "TargetLatencyS": 0.5, "Priority": 2, "Service": r.Service,
			"MaxAttempts": 2, wire.Regions: []string{},
		})
	}
	return map[string]any{
		"Version": version, "Services": services,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		wire.Hosts: []any{map[string]any{"Host": host, wire.Rules: rules}},
	}
}
