package bench

import "context"

func init() {
	Register(Experiment{
		Name:             "bytes",
		Summary:          "bytes on the link between regions and at each instance, beside a fleet in which each instance watches the platform",
		DefaultInstances: 200,
		Targets: []Target{
			{Field: "link_deltas_per_change", Relation: AtMost, Bound: 1.5},
			{Field: "instance_bytes_per_second_p99", Relation: AtMost, Bound: 24_000},
			{Field: "link_bytes_per_change", Relation: AtMostField, Other: "baseline_link_bytes_per_change"},
			{Field: "reversions", Relation: AtMost, Bound: 0},
		},
		Run: runBytes,
	})
}

// bytesResult holds the figures of the bytes experiment. Bytes are bytes on the wire: messages including packet headers and
// acknowledgements. A change is a change of the catalogue or of a list of instances.
type bytesResult struct {
	Changes            int     `json:"changes"`
	LinkBytesPerChange float64 `json:"link_bytes_per_change"`
	// DeltaBytes is the mean size of a delta.
	DeltaBytes float64 `json:"delta_bytes"`
	// LinkDeltasPerChange is LinkBytesPerChange divided by DeltaBytes.
	LinkDeltasPerChange float64 `json:"link_deltas_per_change"`
	BaselineLinkBytes   float64 `json:"baseline_link_bytes_per_change"`
	InstanceP50         float64 `json:"instance_bytes_per_second_p50"`
	InstanceP99         float64 `json:"instance_bytes_per_second_p99"`
	InstanceMax         float64 `json:"instance_bytes_per_second_max"`
	// Reversions counts changes of an instance to a revision older than one that it had in force before.
	Reversions int `json:"reversions"`
}

func runBytes(ctx context.Context, cfg Config) (any, error) {
	r, err := steady(ctx, cfg)
	if err != nil {
		return nil, err
	}
	changes := r.changes + r.listChanges
	perChange := float64(r.linkBytes) / float64(changes)
	return bytesResult{
		Changes: changes, LinkBytesPerChange: perChange, DeltaBytes: r.deltaBytes, LinkDeltasPerChange: perChange / r.deltaBytes,
		BaselineLinkBytes: float64(r.baselineLinkBytes) / float64(changes),
		InstanceP50:       percentile(r.instanceRates, 50), InstanceP99: percentile(r.instanceRates, 99),
		InstanceMax: percentile(r.instanceRates, 100), Reversions: r.observer.reversions,
	}, nil
}

// percentile returns the value at percentile p, from 0 to 100, of values in ascending order; 0 without values.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
