// Package bench contains the experiments that measure the mesh, the framework that runs them, and the report writer.
//
// Each experiment registers itself in the init function of its file. An experiment runs the production components against
// small fakes of the interfaces that they use, and returns a struct whose JSON fields are its measurements.
package bench

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// RunTimeout is the maximum duration of one experiment, including its baseline.
const RunTimeout = 50 * time.Second

// Config holds the parameters of one experiment run.
type Config struct {
	// Instances is the number of instances. Execute replaces values of 0 and below with Experiment.DefaultInstances, so
	// that Experiment.Run always gets a positive number.
	Instances int
	// Seed initialises every random number generator of the run.
	Seed uint64
	// Log receives progress messages.
	Log zerolog.Logger
}

// Experiment is a measurement that is selected by its name.
type Experiment struct {
	Name    string
	Summary string
	// DefaultInstances is the number of instances if Config.Instances is not set.
	DefaultInstances int
	// Targets are the required bounds on fields of the result. A missed target does not fail the run.
	Targets []Target
	// Run performs the measurement and returns a struct with JSON tags. It must return soon after ctx is done.
	Run func(ctx context.Context, cfg Config) (any, error)
}

// Relation is the required relation of a field to its bound.
type Relation string

// Relations of a field to its bound.
const (
	AtMost  Relation = "at most"
	AtLeast Relation = "at least"
	// AtMostField is AtMost with another field of the same result as the bound, such as the baseline's.
	AtMostField Relation = "at most field"
	// AtLeastField is AtLeast with another field of the same result as the bound, such as the baseline's.
	AtLeastField Relation = "at least field"
)

// Target is a required bound on one field of an experiment's result.
type Target struct {
	// Field is the JSON name of the field.
	Field    string
	Relation Relation
	// Bound is the bound for AtMost and AtLeast, in the unit of the field.
	Bound float64
	// Other is the JSON name of the field that is the bound for AtMostField and AtLeastField.
	Other string
}

// Errors returned by Lookup and Execute.
var (
	// ErrUnknownExperiment is returned by Lookup if no experiment has the given name.
	ErrUnknownExperiment = errors.New("no such experiment; run 'bench list' for the names")
	// ErrNotObject is the Outcome.Err of a run whose result does not encode as a JSON object.
	ErrNotObject = errors.New("result is not a JSON object; return a struct from the experiment's Run")
)

// registry maps names to experiments. It is written by init functions only.
var registry = map[string]Experiment{}

// Register adds an experiment. It panics if the name is already registered, which is a programming error. It must be
// called from an init function.
func Register(e Experiment) {
	if _, ok := registry[e.Name]; ok {
		panic("bench: experiment " + e.Name + " is registered twice")
	}
	registry[e.Name] = e
}

// Lookup returns the experiment with the given name, or ErrUnknownExperiment.
func Lookup(name string) (Experiment, error) {
	e, ok := registry[name]
	if !ok {
		return Experiment{}, errors.Wrapf(ErrUnknownExperiment, "%q", name)
	}
	return e, nil
}

// All returns all experiments, sorted by name.
func All() []Experiment {
	out := make([]Experiment, 0, len(registry))
	for _, e := range registry {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// commonFields precede the fields of each experiment in its JSON result.
type commonFields struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Instances  int     `json:"instances"`
	Seconds    float64 `json:"seconds"`
}

// Outcome is the result of one run of an experiment.
type Outcome struct {
	Experiment Experiment
	Config     Config
	// JSON is one object: commonFields followed by the fields of Result.
	JSON json.RawMessage
	// Result is the value that Experiment.Run returned.
	Result any
	// Err is the cause of a failed run. JSON is empty then.
	Err error
}

// Execute runs one experiment with a timeout of RunTimeout. It returns unused memory to the operating system after
// the run. Errors of the run are in Outcome.Err.
func Execute(ctx context.Context, e Experiment, cfg Config) Outcome {
	if cfg.Instances <= 0 {
		cfg.Instances = e.DefaultInstances
	}
	cfg.Log = cfg.Log.With().Str("experiment", e.Name).Logger()
	ctx, cancel := context.WithTimeout(ctx, RunTimeout)
	defer cancel()
	out := Outcome{Experiment: e, Config: cfg}
	start := time.Now()
	cfg.Log.Info().Int("instances", cfg.Instances).Uint64("seed", cfg.Seed).Msg("experiment started")
	out.Result, out.Err = e.Run(ctx, cfg)
	elapsed := time.Since(start)
	if out.Err == nil {
		common := commonFields{Experiment: e.Name, Seed: cfg.Seed, Instances: cfg.Instances, Seconds: elapsed.Round(time.Millisecond).Seconds()}
		out.JSON, out.Err = mergeObjects(common, out.Result)
	}
	cfg.Log.Info().Dur("took", elapsed).AnErr("error", out.Err).Msg("experiment ended")
	debug.FreeOSMemory()
	return out
}

// mergeObjects encodes two structs as one JSON object, with the fields of first before those of second. It returns
// ErrNotObject if second does not encode as an object.
func mergeObjects(first, second any) (json.RawMessage, error) {
	a, err := json.Marshal(first)
	if err != nil {
		return nil, errors.Wrap(err, "encode the common fields of the result")
	}
	b, err := json.Marshal(second)
	if err != nil {
		return nil, errors.Wrap(err, "encode the result")
	}
	if len(b) < 2 || b[0] != '{' {
		return nil, ErrNotObject
	}
	if len(b) == 2 {
		return a, nil
	}
	merged := append(a[:len(a)-1], ',')
	return append(merged, b[1:]...), nil
}
