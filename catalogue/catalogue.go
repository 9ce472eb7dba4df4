// Package catalogue defines the configuration that operators publish: organisations, regions with their failure domains, links
// between regions, and services and routes with their owners, classes and limits. It parses, checks, compares and encodes
// catalogues.
package catalogue

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// DocumentName is the name of the distributed document that contains the catalogue.
const DocumentName = "catalogue"

// Class is the priority class of the requests of a service or route.
type Class string

// The classes in descending order of priority.
const (
	Critical    Class = "critical"
	Interactive Class = "interactive"
	Background  Class = "background"
)

// RetryPolicy is the retry policy of a route. It states whether a request may be executed more than once.
type RetryPolicy string

// The retry policies.
const (
	// RetrySafe permits a retry after any failure.
	RetrySafe RetryPolicy = "safe"
	// RetryNever permits at most one execution of a request.
	RetryNever RetryPolicy = "never"
)

// State is the service state of a failure domain or an instance, as set by operators.
type State string

// The service states: in service and out of service.
const (
	InService    State = "in"
	OutOfService State = "out"
)

// Duration is a time.Duration that is encoded as a string such as "800ms" in JSON and as nanoseconds in CBOR.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a string such as "800ms", in the syntax of time.ParseDuration.
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

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Catalogue is the complete configuration of the mesh. In CBOR only its items are encoded, each as one document entry.
type Catalogue struct {
	Revision      uint64          `json:"revision" cbor:"-"`
	Organisations []Organisation  `json:"organisations"`
	Regions       []Region        `json:"regions"`
	Links         []Link          `json:"links,omitempty"`
	Instances     []InstanceState `json:"instances,omitempty"`
	Services      []Service       `json:"services"`
	Routes        []Route         `json:"routes"`
}

// Organisation is one of the organisations that share the mesh.
type Organisation struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Share is the organisation's fraction of the capacity of each target, from 0 to 1.
	Share float64 `json:"share" cbor:"2,keyasint,omitempty"`
	// LinkShare is the organisation's fraction of the bandwidth of each link between regions, from 0 to 1.
	LinkShare float64 `json:"linkShare" cbor:"3,keyasint,omitempty"`
	// ChangesPerDay is the organisation's daily budget of catalogue changes that operators process; 0 means that none is set.
	ChangesPerDay int `json:"changesPerDay" cbor:"4,keyasint,omitempty"`
	// HomeRegions restricts all requests of the organisation to these regions; empty means no restriction.
	HomeRegions []string `json:"homeRegions" cbor:"5,keyasint,omitempty"`
}

// Region is a set of failure domains connected by fast links.
type Region struct {
	Name           string          `json:"name" cbor:"1,keyasint"`
	FailureDomains []FailureDomain `json:"failureDomains" cbor:"2,keyasint"`
}

// FailureDomain is a set of instances that can fail together.
type FailureDomain struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	State State  `json:"state" cbor:"2,keyasint"`
}

// Link is the paid link between two regions. Its bandwidth is the same in each direction.
type Link struct {
	Between        [2]string `json:"between" cbor:"1,keyasint"`
	BytesPerSecond int64     `json:"bytesPerSecond" cbor:"2,keyasint"`
}

// InstanceState sets the service state of one instance. Instances that are not listed are in service.
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

// ServiceLimits limits the load of each target of a service.
type ServiceLimits struct {
	// Slots is the concurrency limit of a warm target.
	Slots int `json:"slots" cbor:"1,keyasint"`
	// Connections is the maximum number of connections to a target.
	Connections int `json:"connections" cbor:"2,keyasint"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue" cbor:"3,keyasint"`
	// ColdSlots is the concurrency limit of a target at the start of its cold start.
	ColdSlots int `json:"coldSlots" cbor:"4,keyasint"`
	// ColdPeriod is the time over which the concurrency limit rises from ColdSlots to Slots.
	ColdPeriod Duration `json:"coldPeriod" cbor:"5,keyasint"`
	// Drain is the maximum time that a leaving target has to finish its running requests.
	Drain Duration `json:"drain" cbor:"6,keyasint"`
}

// Route maps requests of callers to a service.
type Route struct {
	Name        string      `json:"name" cbor:"1,keyasint"`
	Owner       string      `json:"owner" cbor:"2,keyasint"`
	Class       Class       `json:"class" cbor:"3,keyasint"`
	Service     string      `json:"service" cbor:"4,keyasint"`
	Match       Match       `json:"match" cbor:"5,keyasint"`
	HomeRegions []string    `json:"homeRegions" cbor:"6,keyasint,omitempty"`
	Retry       RetryPolicy `json:"repeat" cbor:"7,keyasint"`
	Limits      RouteLimits `json:"limits" cbor:"8,keyasint"`
}

// Match selects the requests of a route. The longest path prefix wins; an empty list of methods means all methods.
type Match struct {
	PathPrefix string   `json:"pathPrefix" cbor:"1,keyasint"`
	Methods    []string `json:"methods" cbor:"2,keyasint,omitempty"`
}

// RouteLimits limits the requests of a route.
type RouteLimits struct {
	// Timeout is the maximum time from accepting a request to the end of its response.
	Timeout Duration `json:"timeout" cbor:"1,keyasint"`
	// Concurrency is the concurrency limit of the route at each frontend.
	Concurrency int `json:"concurrency" cbor:"2,keyasint"`
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `json:"bodyBytes" cbor:"3,keyasint"`
}
