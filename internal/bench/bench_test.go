package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

type sample struct {
	Lost         int     `json:"lost"`
	Rate         float64 `json:"rate"`
	BaselineRate float64 `json:"baseline_rate"`
}

func (sample) Plots() []Plot {
	l := NewLatency()
	l.Record(3 * time.Millisecond)
	return []Plot{{Name: "latency", Title: "latency", Lines: []Series{l.Curve("all")}}}
}

func runSample(t *testing.T, run func(context.Context, Config) (any, error)) Outcome {
	t.Helper()
	e := Experiment{
		Name: "sample", DefaultInstances: 13, Run: run,
		Targets: []Target{
			{Field: "lost", Relation: AtMost, Bound: 0},
			{Field: "rate", Relation: AtLeastField, Other: "baseline_rate"},
		},
	}
	return Execute(context.Background(), e, Config{Seed: 7, Log: zerolog.Nop()})
}

func TestExecuteMergesCommonFields(t *testing.T) {
	o := runSample(t, func(context.Context, Config) (any, error) { return sample{Lost: 1, Rate: 0.5, BaselineRate: 0.25}, nil })
	if o.Err != nil {
		t.Fatal(o.Err)
	}
	var got struct {
		commonFields
		sample
	}
	if err := json.Unmarshal(o.JSON, &got); err != nil {
		t.Fatal(err)
	}
	if got.Experiment != "sample" || got.Seed != 7 || got.Instances != 13 || got.Lost != 1 {
		t.Fatalf("got %s", o.JSON)
	}
}

func TestExecuteRejectsNonObjectResult(t *testing.T) {
	if o := runSample(t, func(context.Context, Config) (any, error) { return 3, nil }); !errors.Is(o.Err, ErrNotObject) {
		t.Fatalf("got %v", o.Err)
	}
}

func TestReportContainsBoundsPlotsAndErrors(t *testing.T) {
	dir := t.TempDir()
	good := runSample(t, func(context.Context, Config) (any, error) { return sample{Lost: 1, Rate: 0.5, BaselineRate: 0.25}, nil })
	bad := runSample(t, func(context.Context, Config) (any, error) { return nil, errors.New("target did not start") })
	if err := WriteReport(dir, []Outcome{good, bad}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| lost | 1 | at most 0 | **missed** |", "| rate | 0.5 | at least baseline_rate | met |",
		"sample-latency.svg", "sample-rate.svg", "The run failed: target did not start", "-instances 13 -seed 7",
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("report lacks %q:\n%s", want, text)
		}
	}
	for _, file := range []string{resultsFile, "sample-latency.svg", "sample-rate.svg"} {
		if _, err := os.Stat(filepath.Join(dir, file)); err != nil {
			t.Error(err)
		}
	}
}

func TestLatencyPercentiles(t *testing.T) {
	l := NewLatency()
	for i := 1; i <= 100; i++ {
		l.Record(time.Duration(i) * time.Millisecond)
	}
	if got := l.Milliseconds(50); got < 49.9 || got > 50.1 {
		t.Fatalf("median %v ms, want 50", got)
	}
	if l.Count() != 100 || l.MaxMilliseconds() < 100 {
		t.Fatalf("count %d, max %v", l.Count(), l.MaxMilliseconds())
	}
}
