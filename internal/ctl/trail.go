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

// trailCommand prints the log lines of all processes about a request.
type trailCommand struct {
	commandInfo
	streams *ioStreams
	id      string
}

func newTrail(streams *ioStreams) *trailCommand {
	return &trailCommand{streams: streams, commandInfo: commandInfo{
		"trail", groupLogs, "print a request's path through all processes and the cause of its outcome",
		"trail -id ID FILE...\n  Read log files of daemons, print the lines about a request in order and explain its outcome. Exit 1 if there are none.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *trailCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "ID of the request")
}

// Execute implements subcommands.Command.
func (c *trailCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" || f.NArg() == 0 {
		return c.streams.usageError(c, "give -id and at least one file")
	}
	var logs []io.Reader
	for _, path := range f.Args() {
		file, err := os.Open(path)
		if err != nil {
			return c.streams.fail(errors.Wrap(err, "cannot read file; give the path of a readable file"))
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := trail.Collect(c.id, logs...)
	if err != nil {
		return c.streams.fail(err)
	}
	if err := trail.Write(c.streams.out, lines); err != nil {
		return c.streams.fail(errors.Wrap(err, "cannot write output"))
	}
	if len(lines) == 0 {
		return exitRefused
	}
	return exitOK
}
