// Command chervilwelld is the daemon that runs beside every target.
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

// The exit codes of the command.
const (
	exitDone    = subcommands.ExitSuccess
	exitRefused = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

// collectPercent is the growth of the heap, in percent of what lives, after which garbage is collected. Memory on the instance
// is scarcer than the processor time that this costs.
const collectPercent = 75

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

// runCommand runs the daemon until SIGTERM or an interrupt.
type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon until SIGTERM, then drain" }
func (*runCommand) Usage() string {
	return "run -settings FILE\n  Run the daemon. SIGTERM drains: running requests finish, peers are told, exit 0.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := load(c.file, f)
	if s == nil {
		return status
	}
	log, err := logging.New(os.Stderr, s.LogLevel, s.Instance)
	if err != nil {
		return refuse(err)
	}
	debug.SetMemoryLimit(s.MemoryBytes)
	debug.SetGCPercent(collectPercent)
	d, err := daemon.New(s, log)
	if err != nil {
		return refuse(err)
	}
	a := d.Addresses()
	log.Info().Str("callers", a.Callers).Str("requests", a.Requests).Str("peers", a.Peers).Str("operator", a.Operator).Msg("listening")
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitRefused
	}
	log.Info().Msg("stopped")
	return exitDone
}

// checkCommand checks a settings file and the certificates that it names.
type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and the files that it names" }

func (*checkCommand) Usage() string {
	return "check -settings FILE\n  Exit 0 if the daemon could run with the file, 1 with every problem and its remedy if not.\n"
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
		return refuse(err)
	}
	fmt.Printf("%s: ok\n", c.file)
	return exitDone
}

// load reads the settings file of a command. Settings are nil if it failed; the status says why.
func load(file string, f *flag.FlagSet) (*settings.Settings, subcommands.ExitStatus) {
	if file == "" || f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "chervilwelld: give -settings FILE and nothing else")
		return nil, exitUsage
	}
	s, err := settings.Load(file)
	if err != nil {
		return nil, refuse(err)
	}
	return s, exitDone
}

func refuse(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return exitRefused
}
