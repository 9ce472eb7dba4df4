// Package bench holds the experiments that measure the mesh, the framework that runs them and the report over their results.
//
// Each experiment registers itself from the init function of its file. An experiment runs the real parts over small fakes
// at their interfaces and returns a struct whose JSON fields are its figures.
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

// Limit is the longest time that one experiment may take.
const Limit = 50 * time.Second

// Config is what an experiment is run with.
type Config struct {
	// Instances is the number of instances; it is above 0.
	Instances int
	// Seed seeds every random choice of the run.
	Seed uint64
	// Log takes the progress.
	Log zerolog.Logger
}

// Experiment is one measurement that can be run by name.
type Experiment struct {
	Name    string
	Summary string
	// DefaultInstances is the number of instances of a run that names none.
	DefaultInstances int
	// Targets are the stated bounds on fields of the result.
	Targets []Target
	// Run measures and returns a struct with JSON fields. It must return soon after ctx ends.
	Run func(ctx context.Context, cfg Config) (any, error)
}

// Relation says on which side of a bound a figure must lie.
type Relation string

// The relations of a figure to its bound.
const (
	AtMost  Relation = "at most"
	AtLeast Relation = "at least"
	// AtMostField compares with another field of the same result, such as the baseline's.
	AtMostField Relation = "at most field"
	// AtLeastField compares with another field of the same result, such as the baseline's.
	AtLeastField Relation = "at least field"
)

// Target is a stated bound on one field of an experiment's result.
type Target struct {
	Field    string
	Relation Relation
	// Bound is used by AtMost and AtLeast, in the unit of the field.
	Bound float64
	// Other is the field that AtMostField and AtLeastField compare with.
	Other string
}

// Typed errors of the framework.
var (
	// ErrUnknown says that no experiment has the name; see the list.
	ErrUnknown = errors.New("no such experiment; run 'bench list' for the names")
	// ErrNoFields says that a result isn't a JSON object; return a struct from Run.
	ErrNoFields = errors.New("result is not a JSON object; return a struct from the experiment's Run")
)

var registry = map[string]Experiment{}

// Register adds an experiment. It panics on a second one of the same name, since that is a fault of the build.
func Register(e Experiment) {
	if _, ok := registry[e.Name]; ok {
		panic("bench: experiment " + e.Name + " is registered twice")
	}
	registry[e.Name] = e
}

// Lookup returns an experiment by name.
func Lookup(name string) (Experiment, error) {
	e, ok := registry[name]
	if !ok {
		return Experiment{}, errors.Wrapf(ErrUnknown, "%q", name)
	}
	return e, nil
}

// All returns every experiment in order of name.
func All() []Experiment {
	out := make([]Experiment, 0, len(registry))
	for _, e := range registry {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// header holds the fields that every result carries.
type header struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Instances  int     `json:"instances"`
	Seconds    float64 `json:"seconds"`
}

// Outcome is the result of one run of an experiment.
type Outcome struct {
	Experiment Experiment
	Config     Config
	// JSON is one object: the common fields followed by the experiment's own.
	JSON json.RawMessage
	// Result is what the experiment returned.
	Result any
	// Err is why the run failed; the other results are empty then.
	Err error
}

// Execute runs one experiment within Limit. Zero Instances stands for the experiment's default.
func Execute(ctx context.Context, e Experiment, cfg Config) Outcome {
	if cfg.Instances <= 0 {
		cfg.Instances = e.DefaultInstances
	}
	cfg.Log = cfg.Log.With().Str("experiment", e.Name).Logger()
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	out := Outcome{Experiment: e, Config: cfg}
	start := time.Now()
	cfg.Log.Info().Int("instances", cfg.Instances).Uint64("seed", cfg.Seed).Msg("experiment starts")
	out.Result, out.Err = e.Run(ctx, cfg)
	elapsed := time.Since(start)
	if out.Err == nil {
		head := header{Experiment: e.Name, Seed: cfg.Seed, Instances: cfg.Instances, Seconds: elapsed.Round(time.Millisecond).Seconds()}
		out.JSON, out.Err = joinObjects(head, out.Result)
	}
	cfg.Log.Info().Dur("took", elapsed).AnErr("error", out.Err).Msg("experiment ended")
	debug.FreeOSMemory()
	return out
}

// joinObjects encodes two structs as one JSON object, the first one's fields first.
func joinObjects(first, second any) (json.RawMessage, error) {
	a, err := json.Marshal(first)
	if err != nil {
		return nil, errors.Wrap(err, "encode the common fields")
	}
	b, err := json.Marshal(second)
	if err != nil {
		return nil, errors.Wrap(err, "encode the result")
	}
	if len(b) < 2 || b[0] != '{' {
		return nil, ErrNoFields
	}
	if len(b) == 2 {
		return a, nil
	}
	joined := append(a[:len(a)-1], ',')
	return append(joined, b[1:]...), nil
}
