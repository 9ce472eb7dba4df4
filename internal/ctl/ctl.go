// Package ctl is the operators' command-line tool: it checks, compares and renders catalogues, and asks a daemon for status,
// audit trail, instances and explanations.
//
// Exit codes: 0 done, 1 refused or unhealthy, 2 wrong usage.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// Exit codes of the tool.
const (
	exitDone    = subcommands.ExitSuccess
	exitRefused = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

const toolName = "chervilwellctl"

// Run runs the tool with the given arguments, without the name of the program, and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(toolName, flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, toolName)
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	env := &environment{out: stdout, err: stderr}
	for _, c := range commands(env) {
		commander.Register(c, c.group())
	}
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return int(exitDone)
	case err != nil:
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// grouped is a command with its heading in the help.
type grouped interface {
	subcommands.Command
	group() string
}

// environment is where the commands write.
type environment struct{ out, err io.Writer }

// fail reports an error and returns the exit code of a refusal.
func (e *environment) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.err, err)
	return exitRefused
}

// misused reports wrong usage.
func (e *environment) misused(c subcommands.Command, cause string) subcommands.ExitStatus {
	fmt.Fprintf(e.err, "%s %s: %s\n%s", toolName, c.Name(), cause, c.Usage())
	return exitUsage
}

// info is the descriptive part of a command.
type info struct {
	name, heading, synopsis, usage string
}

// Name implements subcommands.Command.
func (i info) Name() string { return i.name }

// Synopsis implements subcommands.Command.
func (i info) Synopsis() string { return i.synopsis }

// Usage implements subcommands.Command.
func (i info) Usage() string { return i.usage + "\n" }

func (i info) group() string { return i.heading }

// The headings of the help.
const (
	aboutCatalogues = "catalogues (files only)"
	aboutDaemons    = "a running daemon"
	aboutLogs       = "logs (files only)"
)

func commands(env *environment) []grouped {
	return []grouped{
		newValidate(env), newDiff(env), newRender(env), newChart(env),
		newStatus(env), newAudit(env), newInstances(env), newExplain(env), newTrail(env),
	}
}
