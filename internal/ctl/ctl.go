// Package ctl implements the operators' command-line tool. It validates, compares and renders catalogues, prints state charts,
// queries a daemon for its status, audit trail, instances and explanations, and collects the log lines of a request.
//
// Exit codes: 0 for success, 1 for an error, a refusal or an unhealthy result, 2 for wrong usage.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// Exit codes; see the package comment.
const (
	exitOK      = subcommands.ExitSuccess
	exitRefused = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

// toolName is the name of the tool in its messages.
const toolName = "chervilwellctl"

// Run runs the tool and returns its exit code. The arguments do not include the name of the program.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(toolName, flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, toolName)
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	streams := &ioStreams{out: stdout, err: stderr}
	for _, c := range commands(streams) {
		commander.Register(c, c.group())
	}
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return int(exitOK)
	case err != nil:
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// groupedCommand is a command with its group in the help.
type groupedCommand interface {
	subcommands.Command
	// group returns the heading of the group.
	group() string
}

// ioStreams holds standard output and standard error of the tool.
type ioStreams struct{ out, err io.Writer }

// fail writes err to standard error and returns exitRefused.
func (s *ioStreams) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(s.err, err)
	return exitRefused
}

// usageError writes cause and the usage of the command to standard error and returns exitUsage.
func (s *ioStreams) usageError(c subcommands.Command, cause string) subcommands.ExitStatus {
	fmt.Fprintf(s.err, "%s %s: %s\n%s", toolName, c.Name(), cause, c.Usage())
	return exitUsage
}

// commandInfo holds the name and the help texts of a command.
type commandInfo struct {
	name, heading, synopsis, usage string
}

// Name implements subcommands.Command.
func (i commandInfo) Name() string { return i.name }

// Synopsis implements subcommands.Command.
func (i commandInfo) Synopsis() string { return i.synopsis }

// Usage implements subcommands.Command.
func (i commandInfo) Usage() string { return i.usage + "\n" }

// group implements groupedCommand.
func (i commandInfo) group() string { return i.heading }

// Headings of the command groups in the help.
const (
	groupCatalogues = "catalogues (files only)"
	groupDaemons    = "a running daemon"
	groupLogs       = "logs (files only)"
)

// commands returns all commands of the tool.
func commands(streams *ioStreams) []groupedCommand {
	return []groupedCommand{
		newValidate(streams), newDiff(streams), newRender(streams), newChart(streams),
		newStatus(streams), newAudit(streams), newInstances(streams), newExplain(streams), newTrail(streams),
	}
}
