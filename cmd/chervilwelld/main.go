// Command chervilwelld is the daemon that runs beside each target.
//
//	chervilwelld run -settings FILE
//	chervilwelld check -settings FILE
//
// It exits with 0 on success, 1 on an error and 2 on wrong usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/chervilwell/chervilwell/internal/daemon"
	"github.com/chervilwell/chervilwell/internal/logging"
	"github.com/chervilwell/chervilwell/settings"
)

// Exit codes of the command.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

// gcPercent is the growth of the heap, in percent of the live heap, that triggers a garbage collection. It is below Go's
// default of 100 because memory on the instance is scarcer than the CPU time that this costs.
const gcPercent = 75

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// runCommand runs the daemon until SIGTERM or SIGINT.
type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon until SIGTERM, then drain" }
func (*runCommand) Usage() string {
	return "run -settings FILE\n  Run the daemon. On SIGTERM it announces to peers that it is leaving, finishes running requests and exits with 0.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := load(c.file, f)
	if s == nil {
		return status
	}
	log, err := logging.New(os.Stderr, s.LogLevel, s.Instance)
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(s.MemoryBytes)
	debug.SetGCPercent(gcPercent)
	d, err := daemon.New(s, log)
	if err != nil {
		return fail(err)
	}
	a := d.Addresses()
	log.Info().Str("callers", a.Callers).Str("requests", a.Requests).Str("peers", a.Peers).Str("operator", a.Operator).Msg("listening")
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitFailure
	}
	log.Info().Msg("stopped")
	return exitOK
}

// checkCommand checks a settings file and the certificates that it refers to.
type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and the files that it names" }

func (*checkCommand) Usage() string {
	return "check -settings FILE\n  Exit with 0 if the daemon can run with the file; otherwise print each problem with its remedy and exit with 1.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := load(c.file, f)
	if s == nil {
		return status
	}
	if _, err := daemon.LoadCertificates(s, nil); err != nil {
		return fail(err)
	}
	fmt.Printf("%s: ok\n", c.file)
	return exitOK
}

// load reads the settings file of a command. On an error it prints the error and returns nil settings and the exit status.
func load(file string, f *flag.FlagSet) (*settings.Settings, subcommands.ExitStatus) {
	if file == "" || f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "chervilwelld: expected -settings FILE and no other arguments")
		return nil, exitUsage
	}
	s, err := settings.Load(file)
	if err != nil {
		return nil, fail(err)
	}
	return s, exitOK
}

// fail prints the error and returns the exit status for it.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
