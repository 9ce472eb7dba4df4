package rig

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"time"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the platform's calls, keys and headers, and its messages with a placeholder for each value that differs.
var wire = func() (w struct {
	KeyCall          string `json:"key_call"`
	RangeCall        string `json:"range_call"`
	WatchCall        string `json:"watch_call"`
	PrefixParam      string `json:"prefix_param"`
	ReadyPath        string `json:"ready_path"`
	SettingsVariable string `json:"settings_variable"`
	ConfigKey        string `json:"config_key"`
	EntryPrefix      string `json:"entry_prefix"`
	AttemptID        string `json:"attempt_id"`
	DeadlineMs       string `json:"deadline_ms"`
	Signature        string `json:"signature"`
	Expected         string `json:"expected"`
	NotExecuted      string `json:"not_executed"`
	InstanceID       string `json:"instance_id"`
	ColdMs           string `json:"cold_ms"`
	CallerService    string `json:"caller_service"`

	Settings, Config, Service, Route, Entry json.RawMessage
},
) {
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		panic(err)
	}
	return w
}()

// Headers of the platform that cases use.
var (
	AttemptID     = wire.AttemptID
	DeadlineMs    = wire.DeadlineMs
	CallerService = wire.CallerService
)

// fill returns a message with the given values in place of the placeholders.
func fill(message json.RawMessage, values map[string]any) (json.RawMessage, error) {
	out := bytes.Clone(message)
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		out = bytes.ReplaceAll(out, []byte(`"$`+name+`"`), data)
	}
	return out, nil
}

// Service is a service of the configuration.
type Service struct {
	Name string
	// Cold is the time for which its endpoints are cold after their start.
	Cold time.Duration
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout, Latency            time.Duration
	Priority                    int
}

// PutConfig writes the configuration.
func (r *Rig) PutConfig(services []Service, routes []Route) error {
	var serviceList, routeList []json.RawMessage
	for _, s := range services {
		m, err := fill(wire.Service, map[string]any{"NAME": s.Name, "COLD": s.Cold.Seconds()})
		if err != nil {
			return err
		}
		serviceList = append(serviceList, m)
	}
	for _, route := range routes {
		m, err := fill(wire.Route, map[string]any{
			"NAME": route.Name, "PREFIX": route.Prefix, "KIND": route.Kind, "SERVICE": route.Service, "TIMEOUT": route.Timeout.Seconds(),
			"LATENCY": route.Latency.Seconds(), "PRIORITY": route.Priority,
		})
		if err != nil {
			return err
		}
		routeList = append(routeList, m)
	}
	config, err := fill(wire.Config, map[string]any{"HOST": Host, "SERVICES": serviceList, "ROUTES": routeList})
	if err != nil {
		return err
	}
	r.Store.Put(wire.ConfigKey, string(config))
	return nil
}
