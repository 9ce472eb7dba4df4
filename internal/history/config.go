// Package history records the events of a test run and checks them against the guarantees of the mesh.
//
// A checker returns nil or the first violation found. Checkers take plain records and therefore work both on runs of the
// real components and on runs with deliberately faulty ones.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Config is the configuration that a process applies to requests. It is implemented by *snapshot.Config.
type Config interface {
	Version() document.Version
	Routes() []*snapshot.Route
	Service(name string) *catalogue.Service
	Organisation(name string) *catalogue.Organisation
	Regions() []string
}

// Observation is the configuration in force at one instance at one time.
type Observation struct {
	Instance string
	// Incarnation numbers the processes started at the instance, from 1. A new process starts without state.
	Incarnation int
	At          time.Time
	Config      Config
}

// Publication is one catalogue version published by an operator, and the time of its publication.
type Publication struct {
	Document *document.Document
	At       time.Time
}

// ConfigLog records published versions and the configuration in force at every instance. It is safe for concurrent use.
type ConfigLog struct {
	mu           sync.Mutex
	observations []Observation
	publications []Publication
}

// Record adds an observation of the configuration in force at an instance.
func (c *ConfigLog) Record(instance string, incarnation int, at time.Time, config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, Observation{Instance: instance, Incarnation: incarnation, At: at, Config: config})
}

// RecordPublication records that doc was published at the given time.
func (c *ConfigLog) RecordPublication(doc *document.Document, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publications = append(c.publications, Publication{Document: doc, At: at})
}

// Observations returns a copy of all observations in the order of recording.
func (c *ConfigLog) Observations() []Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Observation(nil), c.observations...)
}

// Publications returns a copy of all publications in the order of recording.
func (c *ConfigLog) Publications() []Publication {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Publication(nil), c.publications...)
}

// incarnation identifies one start of a process at an instance.
type incarnation struct {
	instance string
	number   int
}

func (o Observation) incarnation() incarnation { return incarnation{o.Instance, o.Incarnation} }

// monotonicRegister models, for each incarnation, a register whose reads never decrease.
var monotonicRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(op porcupine.Operation) incarnation { return op.Input.(incarnation) })
	},
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		revision := output.(uint64)
		return revision >= state.(uint64), revision
	},
}

// partition groups the operations of a history by key. Groups are in the order of their first operation.
func partition[K comparable](history []porcupine.Operation, key func(porcupine.Operation) K) [][]porcupine.Operation {
	index := map[K]int{}
	var out [][]porcupine.Operation
	for _, op := range history {
		k := key(op)
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}

// CheckMonotonic checks that no process returns to an older version. Each incarnation is checked separately.
func CheckMonotonic(observations []Observation) error {
	ops := make([]porcupine.Operation, 0, len(observations))
	for i, o := range observations {
		// A read takes no time; the index orders reads that have the same time.
		ops = append(ops, porcupine.Operation{Input: o.incarnation(), Output: o.Config.Version().Revision, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	if porcupine.CheckOperations(monotonicRegister, ops) {
		return nil
	}
	last := map[incarnation]uint64{}
	for _, o := range observations {
		revision := o.Config.Version().Revision
		if revision < last[o.incarnation()] {
			return errors.Errorf("instance %q, incarnation %d, went back from revision %d to %d", o.Instance, o.Incarnation, last[o.incarnation()], revision)
		}
		last[o.incarnation()] = revision
	}
	return errors.New("revisions observed at an instance are not monotonic")
}

// CheckJoined checks that no restarted process starts with an older revision than a neighbour had in force at least settle
// earlier. Only neighbours observed within the last settle/2 count. Neighbours can reach each other during any partition.
func CheckJoined(observations []Observation, settle time.Duration, neighbours func(a, b string) bool) error {
	started := map[incarnation]bool{}
	for i, o := range observations {
		if started[o.incarnation()] {
			continue
		}
		started[o.incarnation()] = true
		if o.Incarnation == 1 {
			continue
		}
		settledRevision := map[incarnation]uint64{}
		for _, other := range observations[:i] {
			if o.At.Sub(other.At) >= settle && neighbours(o.Instance, other.Instance) {
				settledRevision[other.incarnation()] = other.Config.Version().Revision
			}
		}
		for _, other := range observations[:i] {
			known, settled := settledRevision[other.incarnation()]
			recent := o.At.Sub(other.At) < settle/2
			if settled && recent && o.Config.Version().Revision < known {
				return errors.Errorf("instance %q, incarnation %d, started with revision %d while %q had %d", o.Instance, o.Incarnation, o.Config.Version().Revision, other.Instance, known)
			}
		}
	}
	return nil
}

// CheckReferences checks that no route in force refers to a service, organisation or region missing from its configuration.
func CheckReferences(observations []Observation) error {
	seen := map[Config]bool{}
	for _, o := range observations {
		if seen[o.Config] {
			continue
		}
		seen[o.Config] = true
		if err := checkConfigReferences(o.Config); err != nil {
			return errors.Wrapf(err, "instance %q at revision %d", o.Instance, o.Config.Version().Revision)
		}
	}
	return nil
}

func checkConfigReferences(c Config) error {
	regions := map[string]bool{}
	for _, r := range c.Regions() {
		regions[r] = true
	}
	for _, r := range c.Routes() {
		if c.Service(r.Service) == nil || r.Target == nil || r.Target.Name != r.Service {
			return errors.Errorf("route %q refers to missing service %q", r.Name, r.Service)
		}
		if c.Organisation(r.Owner) == nil {
			return errors.Errorf("route %q refers to missing owner %q", r.Name, r.Owner)
		}
		for _, home := range r.HomeRegions {
			if !regions[home] {
				return errors.Errorf("route %q is bound to missing region %q", r.Name, home)
			}
		}
	}
	return nil
}

// CheckComplete checks that every configuration in force is exactly one valid published version, with all its routes.
func CheckComplete(observations []Observation, publications []Publication) error {
	routes := map[document.Version]int{}
	for _, p := range publications {
		config, err := snapshot.Compile(p.Document)
		if err == nil {
			routes[p.Document.Version()] = len(config.Routes())
		}
	}
	for _, o := range observations {
		version := o.Config.Version()
		want, known := routes[version]
		if !known {
			return errors.Errorf("instance %q has revision %d in force, which is no valid published version", o.Instance, version.Revision)
		}
		if got := len(o.Config.Routes()); got != want {
			return errors.Errorf("instance %q has %d of %d routes of revision %d", o.Instance, got, want, version.Revision)
		}
	}
	return nil
}

// CheckInForce checks that each valid version, or a later one, is in force at every observed instance from limit after its
// publication on. The function exempt reports whether an instance need not be up to date at the given time.
func CheckInForce(observations []Observation, publications []Publication, limit time.Duration, exempt func(instance string, at time.Time) bool) error {
	for _, p := range publications {
		if _, err := snapshot.Compile(p.Document); err != nil {
			continue
		}
		for _, o := range observations {
			overdue := o.At.Sub(p.At) > limit
			if overdue && o.Config.Version().Revision < p.Document.Revision() && !exempt(o.Instance, o.At) {
				return errors.Errorf("instance %q is still at revision %d, %v after revision %d was published",
					o.Instance, o.Config.Version().Revision, o.At.Sub(p.At), p.Document.Revision())
			}
		}
	}
	return nil
}
