package bench

import "context"

func init() {
	Register(Experiment{
		Name:             "convergence",
		Summary:          "time until a change is in force everywhere, beside a fleet in which each instance watches the platform",
		DefaultInstances: 200,
		Targets: []Target{
			{Field: "converge_p99_ms", Relation: AtMost, Bound: 1000},
			{Field: "converge_max_ms", Relation: AtMost, Bound: 5000},
			{Field: "reversions", Relation: AtMost, Bound: 0},
			{Field: "dangling_routes", Relation: AtMost, Bound: 0},
			{Field: "unreached", Relation: AtMost, Bound: 0},
			{Field: "converge_p99_ms", Relation: AtMostField, Other: "baseline_converge_p99_ms"},
		},
		Run: runConvergence,
	})
}

// convergenceResult holds the figures of the convergence experiment. Times run from the publication of a change until it is
// in force on an instance, over all instances and changes.
type convergenceResult struct {
	Changes int `json:"changes"`
	// Churn is the number of changes of the lists of instances.
	Churn int `json:"endpoint_changes"`

	P50        float64 `json:"converge_p50_ms"`
	P99        float64 `json:"converge_p99_ms"`
	Max        float64 `json:"converge_max_ms"`
	Reversions int     `json:"reversions"`
	// Dangling counts routes in force whose service or owner is missing from the same configuration.
	Dangling int `json:"dangling_routes"`
	// Unreached counts the pairs of instance and change for which the change was not in force at the end.
	Unreached   int     `json:"unreached"`
	BaselineP50 float64 `json:"baseline_converge_p50_ms"`
	BaselineP99 float64 `json:"baseline_converge_p99_ms"`

	curves []Series
}

// Plots implements Plotter. It shows the distributions for the relay tree and for the baseline.
func (r convergenceResult) Plots() []Plot {
	return []Plot{{Name: "convergence", Title: "Time until a change is in force", XLabel: "percentile", YLabel: "ms", Lines: r.curves}}
}

func runConvergence(ctx context.Context, cfg Config) (any, error) {
	r, err := steady(ctx, cfg)
	if err != nil {
		return nil, err
	}
	o, b := r.observer, r.baseline
	return convergenceResult{
		Changes: r.changes, Churn: r.listChanges,
		P50: o.latency.Milliseconds(50), P99: o.latency.Milliseconds(99), Max: o.latency.MaxMilliseconds(),
		Reversions: o.reversions, Dangling: o.danglingRoutes, Unreached: o.unreached(),
		BaselineP50: b.latency.Milliseconds(50), BaselineP99: b.latency.Milliseconds(99),
		curves: []Series{o.latency.Curve("relay"), b.latency.Curve("each instance watches")},
	}, nil
}

// unreached returns the number of pairs of instance and revision for which the revision is not in force.
func (o *observer) unreached() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, pending := range o.pending {
		n += pending
	}
	return n
}
