// Package catalogue defines what operators publish: organisations, regions with their failure domains, services and routes
// with owner, class and limits. It parses, checks, compares and encodes catalogues.
package catalogue

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// DocumentName is the name of the catalogue's document in the distribution.
const DocumentName = "catalogue"

// Class is the urgency of a service's or route's requests.
type Class string

// The classes, most urgent first.
const (
	Critical    Class = "critical"
	Interactive Class = "interactive"
	Background  Class = "background"
)

// Repeat says whether a request may be run more than once.
type Repeat string

// The kinds of repetition.
const (
	// Safe requests may be sent again after any failure.
	Safe Repeat = "safe"
	// Never requests run at most once.
	Never Repeat = "never"
)

// State says whether operators have a failure domain or an instance in service.
type State string

// The states of service.
const (
	In  State = "in"
	Out State = "out"
)

// Duration is a time span, written as a string such as "800ms" in JSON and as nanoseconds in CBOR.
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a string such as "800ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Errorf("duration %s is not a string; write it like \"800ms\"", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("duration %q is not valid; write it like \"800ms\" or \"20s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Catalogue is the whole configuration of the mesh.
type Catalogue struct {
	Revision      uint64          `json:"revision" cbor:"-"`
	Organisations []Organisation  `json:"organisations"`
	Regions       []Region        `json:"regions"`
	Links         []Link          `json:"links,omitempty"`
	Instances     []InstanceState `json:"instances,omitempty"`
	Services      []Service       `json:"services"`
	Routes        []Route         `json:"routes"`
}

// Organisation is one of the parties that share the mesh.
type Organisation struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Share is the organisation's part of each target's capacity, from 0 to 1.
	Share float64 `json:"share" cbor:"2,keyasint,omitempty"`
	// LinkShare is its part of the link between regions, from 0 to 1.
	LinkShare float64 `json:"linkShare" cbor:"3,keyasint,omitempty"`
	// ChangesPerDay is its budget of catalogue changes that operators attend to.
	ChangesPerDay int `json:"changesPerDay" cbor:"4,keyasint,omitempty"`
	// HomeRegions bounds every request of the organisation to these regions; empty means anywhere.
	HomeRegions []string `json:"homeRegions" cbor:"5,keyasint,omitempty"`
}

// Region is a set of failure domains joined by fast links.
type Region struct {
	Name           string          `json:"name" cbor:"1,keyasint"`
	FailureDomains []FailureDomain `json:"failureDomains" cbor:"2,keyasint"`
}

// FailureDomain is a set of instances that fail together.
type FailureDomain struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	State State  `json:"state" cbor:"2,keyasint"`
}

// Link is the paid link between two regions, the same in each direction.
type Link struct {
	Between        [2]string `json:"between" cbor:"1,keyasint"`
	BytesPerSecond int64     `json:"bytesPerSecond" cbor:"2,keyasint"`
}

// InstanceState takes one instance out of service.
type InstanceState struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	State State  `json:"state" cbor:"2,keyasint"`
}

// Service is a set of targets that run the same program.
type Service struct {
	Name        string        `json:"name" cbor:"1,keyasint"`
	Owner       string        `json:"owner" cbor:"2,keyasint"`
	Class       Class         `json:"class" cbor:"3,keyasint"`
	HomeRegions []string      `json:"homeRegions" cbor:"4,keyasint,omitempty"`
	Limits      ServiceLimits `json:"limits" cbor:"5,keyasint"`
}

// ServiceLimits bounds what one target of a service is given.
type ServiceLimits struct {
	// Slots is the number of requests that a warm target runs at once.
	Slots int `json:"slots" cbor:"1,keyasint"`
	// Connections is the number of connections that a target bears.
	Connections int `json:"connections" cbor:"2,keyasint"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue" cbor:"3,keyasint"`
	// ColdSlots is the number of requests that a target in cold start runs at once.
	ColdSlots int `json:"coldSlots" cbor:"4,keyasint"`
	// ColdPeriod is the time over which the limit rises from ColdSlots to Slots.
	ColdPeriod Duration `json:"coldPeriod" cbor:"5,keyasint"`
	// Drain is the longest time that a leaving target has to finish what it runs.
	Drain Duration `json:"drain" cbor:"6,keyasint"`
}

// Route maps callers' requests to a service.
type Route struct {
	Name        string      `json:"name" cbor:"1,keyasint"`
	Owner       string      `json:"owner" cbor:"2,keyasint"`
	Class       Class       `json:"class" cbor:"3,keyasint"`
	Service     string      `json:"service" cbor:"4,keyasint"`
	Match       Match       `json:"match" cbor:"5,keyasint"`
	HomeRegions []string    `json:"homeRegions" cbor:"6,keyasint,omitempty"`
	Repeat      Repeat      `json:"repeat" cbor:"7,keyasint"`
	Limits      RouteLimits `json:"limits" cbor:"8,keyasint"`
}

// Match selects requests. The longest path prefix wins; no methods means all methods.
type Match struct {
	PathPrefix string   `json:"pathPrefix" cbor:"1,keyasint"`
	Methods    []string `json:"methods" cbor:"2,keyasint,omitempty"`
}

// RouteLimits bounds the requests of a route.
type RouteLimits struct {
	// Timeout is the longest time from accepting a request to its whole answer.
	Timeout Duration `json:"timeout" cbor:"1,keyasint"`
	// Concurrency is the number of requests of the route that one frontend runs at once.
	Concurrency int `json:"concurrency" cbor:"2,keyasint"`
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"bodyBytes" cbor:"3,keyasint"`
}
