// Package charts embeds the state charts of the system and defines constants for their states, events and actions.
//
// The charts and their states:
//
//   - Process, a daemon process: starting, joining, serving, draining, stopped.
//   - Target, a target as observed by its admission process: unknown, cold, warming, warm, suspect, quarantined, leaving, gone.
//   - Reader, the role of a process in reading the platform: follower, standby, reading, backoff.
//   - Application, the application of a snapshot: idle, received, checking, applied, refused.
//   - FailureDomain, the service state of a failure domain: in, leaving, out, returning.
//
// The constants of a chart are in the Go file with the name of the chart. The prefix On marks events, Do marks actions.
package charts

import (
	"embed"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/chart"
)

// Name is the name of an embedded chart, which is also the name of its file without .jsonc.
type Name string

// Names of the embedded charts.
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

// Load returns an embedded chart. If known is given, every action of the chart must be in it, otherwise Load returns an error
// of type jsonc.Problems. Pass the actions that the program implements, so that a chart with other actions is refused at
// start. An unknown name is an error.
func Load(name Name, known ...chart.Action) (*chart.Chart, error) {
	file := string(name) + ".jsonc"
	data, err := files.ReadFile(file)
	if err != nil {
		return nil, errors.Errorf("chart %q is unknown; use one of %s", name, quotedNames())
	}
	return chart.Load(file, data, known)
}

// NewMachine returns a machine of an embedded chart in its initial state. Arguments and errors are those of Load.
func NewMachine(name Name, known ...chart.Action) (*chart.Machine, error) {
	c, err := Load(name, known...)
	if err != nil {
		return nil, err
	}
	return chart.NewMachine(c), nil
}

func quotedNames() string {
	var out []string
	for _, n := range Names() {
		out = append(out, fmt.Sprintf("%q", n))
	}
	return strings.Join(out, ", ")
}
