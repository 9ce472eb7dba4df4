package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Permissions of the report directory and its files.
const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Names of the report files.
const (
	resultsFile = "results.json"
	reportFile  = "README.md"
)

// failedRun is the entry of a failed experiment in results.json.
type failedRun struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Instances  int    `json:"instances"`
	Error      string `json:"error"`
}

// field is one top-level field of a JSON result.
type field struct {
	name  string
	value any
}

// WriteReport writes results.json, README.md and the plots (SVG) of all outcomes to dir, which is created if necessary.
// It overwrites existing files.
func WriteReport(dir string, outcomes []Outcome) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create the report directory; choose another with -out")
	}
	results := make([]json.RawMessage, 0, len(outcomes))
	var text strings.Builder
	text.WriteString("# Measurements\n\nEach section names the command that gave its figures. " +
		"A bound is a stated need; it is not derived from a figure.\n")
	for _, o := range outcomes {
		raw, err := o.encodedResult()
		if err != nil {
			return err
		}
		results = append(results, raw)
		if err := writeSection(&text, dir, o); err != nil {
			return err
		}
	}
	all, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the results")
	}
	if err := os.WriteFile(filepath.Join(dir, resultsFile), append(all, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "write the results")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, reportFile), []byte(text.String()), fileMode), "write the report")
}

// encodedResult returns the entry of the outcome in results.json.
func (o Outcome) encodedResult() (json.RawMessage, error) {
	if o.Err == nil {
		return o.JSON, nil
	}
	f := failedRun{Experiment: o.Experiment.Name, Seed: o.Config.Seed, Instances: o.Config.Instances, Error: o.Err.Error()}
	raw, err := json.Marshal(f)
	return raw, errors.Wrap(err, "encode a failed run")
}

// writeSection appends the section of one outcome to text and writes its plots to dir.
func writeSection(text *strings.Builder, dir string, o Outcome) error {
	e := o.Experiment
	fmt.Fprintf(text, "\n## %s\n\n%s\n\n", e.Name, e.Summary)
	fmt.Fprintf(text, "    go run ./cmd/bench %s -instances %d -seed %d\n\n", e.Name, o.Config.Instances, o.Config.Seed)
	if o.Err != nil {
		fmt.Fprintf(text, "The run failed: %s\n", o.Err)
		return nil
	}
	fields, err := orderedFields(o.JSON)
	if err != nil {
		return err
	}
	text.WriteString("| field | figure | stated bound | |\n|---|---|---|---|\n")
	for _, f := range fields {
		if slices.Contains([]string{"experiment", "seed", "instances"}, f.name) {
			continue
		}
		bound, verdict := evaluateTargets(e.Targets, fields, f)
		fmt.Fprintf(text, "| %s | %v | %s | %s |\n", f.name, f.value, bound, verdict)
	}
	return writePlots(text, dir, o, fields)
}

// orderedFields decodes the top level of a JSON object and preserves the order of its fields. Numbers are json.Number.
func orderedFields(raw json.RawMessage) ([]field, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if _, err := dec.Token(); err != nil {
		return nil, errors.Wrap(err, "decode a result")
	}
	var out []field
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, errors.Wrap(err, "decode a result")
		}
		var v any
		if err := dec.Decode(&v); err != nil {
			return nil, errors.Wrap(err, "decode a result")
		}
		out = append(out, field{name: fmt.Sprint(key), value: v})
	}
	return out, nil
}

// numericField returns the value of the named field. It reports false if the field is missing or not a number.
func numericField(fields []field, name string) (float64, bool) {
	for _, f := range fields {
		if n, ok := f.value.(json.Number); ok && f.name == name {
			v, err := n.Float64()
			return v, err == nil
		}
	}
	return 0, false
}

// bound returns the value of the bound. It reports false if the target refers to a field without a numeric value.
func (t Target) bound(fields []field) (float64, bool) {
	if t.Relation == AtMostField || t.Relation == AtLeastField {
		return numericField(fields, t.Other)
	}
	return t.Bound, true
}

// Met reports whether figure satisfies the target's relation to bound.
func (t Target) Met(figure, bound float64) bool {
	if t.Relation == AtLeast || t.Relation == AtLeastField {
		return figure >= bound
	}
	return figure <= bound
}

// evaluateTargets returns the bounds on field f as text and, in the same order, whether each is met or missed. Bounds or
// fields without a numeric value are skipped.
func evaluateTargets(targets []Target, fields []field, f field) (bound, verdict string) {
	var bounds, verdicts []string
	for _, t := range targets {
		if t.Field != f.name {
			continue
		}
		figure, hasFigure := numericField(fields, f.name)
		limit, hasLimit := t.bound(fields)
		if !hasFigure || !hasLimit {
			continue
		}
		name := strings.TrimSuffix(string(t.Relation), " field")
		if t.Other != "" {
			bounds = append(bounds, fmt.Sprintf("%s %s", name, t.Other))
		} else {
			bounds = append(bounds, fmt.Sprintf("%s %v", name, limit))
		}
		verdicts = append(verdicts, map[bool]string{true: "met", false: "**missed**"}[t.Met(figure, limit)])
	}
	return strings.Join(bounds, "; "), strings.Join(verdicts, "; ")
}
