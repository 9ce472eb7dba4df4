package ctl

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/trail"
)

// trailCommand shows what the processes logged about a request.
type trailCommand struct {
	info
	env *environment
	id  string
}

func newTrail(env *environment) *trailCommand {
	return &trailCommand{env: env, info: info{
		"trail", aboutLogs, "show a request's path over all processes, and why it ended so",
		"trail -id ID FILE...\n  Read the daemons' logs and print the lines about a request in order, with what each process knew. Exit 1 if there is none.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *trailCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "identity of the request")
}

// Execute implements subcommands.Command.
func (c *trailCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" || f.NArg() == 0 {
		return c.env.misused(c, "give -id and at least one file")
	}
	var logs []io.Reader
	for _, path := range f.Args() {
		file, err := os.Open(path)
		if err != nil {
			return c.env.fail(errors.Wrap(err, "give the path of a readable file"))
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := trail.Collect(c.id, logs...)
	if err != nil {
		return c.env.fail(err)
	}
	if err := trail.Write(c.env.out, lines); err != nil {
		return c.env.fail(errors.Wrap(err, "path can't be written"))
	}
	if len(lines) == 0 {
		return exitRefused
	}
	return exitDone
}
