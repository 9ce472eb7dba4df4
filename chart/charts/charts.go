// Package charts embeds the state charts of the system and names their states, events and actions.
//
// The charts and what fires them:
//
//   - Process: life of a daemon process; starting, joining, serving, draining, stopped.
//   - Target: a target as its admission process sees it; unknown, cold, warming, warm, suspect, quarantined, leaving, gone.
//   - Reader: role of a process towards the platform; follower, standby, reading, backoff.
//   - Application: a snapshot on its way into force; idle, received, checking, applied, refused.
//   - FailureDomain: service of a failure domain; in, leaving, out, returning.
//
// The constants of each chart are in the file named after it.
package charts

import (
	"embed"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/chart"
)

// Name is the name of an embedded chart.
type Name string

// The embedded charts.
const (
	Process       Name = "process"
	Target        Name = "target"
	Reader        Name = "reader"
	Application   Name = "application"
	FailureDomain Name = "failure-domain"
)

//go:embed *.jsonc
var files embed.FS

// Names returns the names of all embedded charts.
func Names() []Name { return []Name{Process, Target, Reader, Application, FailureDomain} }

// Load reads and checks an embedded chart. If known is not nil, the chart may name these actions only: pass those that
// the program carries out, so that a chart and a program that disagree are refused at start.
func Load(name Name, known ...chart.Action) (*chart.Chart, error) {
	file := string(name) + ".jsonc"
	data, err := files.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("chart %q is unknown; use one of %s", name, joinNames())
	}
	return chart.Load(file, data, known)
}

// NewMachine returns a machine on an embedded chart; see Load.
func NewMachine(name Name, known ...chart.Action) (*chart.Machine, error) {
	c, err := Load(name, known...)
	if err != nil {
		return nil, err
	}
	return chart.NewMachine(c), nil
}

func joinNames() string {
	var out []string
	for _, n := range Names() {
		out = append(out, fmt.Sprintf("%q", n))
	}
	return strings.Join(out, ", ")
}
