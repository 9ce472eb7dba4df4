// Command chervilwellnode is the daemon for a platform that assigns addresses and settings and stores the configuration.
// It runs beside a target, without certificates and without a listener for operators.
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/logging"
	"github.com/chervilwell/chervilwell/internal/node"
	"github.com/chervilwell/chervilwell/platform"
)

// Limits of memory and garbage collection, for a platform on which memory and processor time have a price.
const (
	// memoryLimitShare is the soft memory limit of the Go runtime as a fraction of the machine's memory. Near it, garbage is collected
	// more often.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth, in percent, that starts a garbage collection. At 150 the memory costs more than the saved processor
	// time, at 50 the processor time costs more than the saved memory.
	gcPercent = 100
)

// Exit codes.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&heldCommand{}, "")
	subcommands.Register(&quotasCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}

// checkCommand checks the settings file of the platform.
type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "check the platform's settings file" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (*checkCommand) Usage() string {
	return "check\n  Check the settings file whose path is in the environment variable " + platform.SettingsVariable + ". Exit 0 if the daemon can run with it; otherwise print the field and its remedy, and exit 1.\n"
}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "chervilwellnode check takes no arguments")
		return exitUsage
	}
	if _, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
		return fail(err)
	}
	fmt.Println("settings: ok")
	return exitOK
}

// runCommand runs the daemon.
type runCommand struct {
	logLevel    string
	logEvery    uint64
	metricsPort uint
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon with the platform's settings file" }

func (*runCommand) Usage() string {
	return "run [-log LEVEL] [-log-every N] [-metrics PORT]\n  The path of the settings file is read from the environment variable " + platform.SettingsVariable + ".\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.logLevel, "log", "info", "minimum level of log lines: debug, info, warn or error")
	f.Uint64Var(&c.logEvery, "log-every", 100, "log one in N successful requests; 0 logs none")
	f.UintVar(&c.metricsPort, "metrics", 0, "port for metrics on the machine's address; 0 disables them")
}

func (c *runCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.metricsPort > math.MaxUint16 {
		fmt.Fprintln(os.Stderr, "chervilwellnode run takes no arguments; -metrics must be below 65536")
		return exitUsage
	}
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return fail(err)
	}
	lines := logging.NewAsync(os.Stdout)
	log, err := logging.New(lines, c.logLevel, s.Instance)
	if err != nil {
		return fail(err)
	}
	stopLogWriter := startLogWriter(lines)
	defer stopLogWriter()
	runtime.GOMAXPROCS(1) // the process has a fraction of one core; more threads would only add context switches
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reload(ctx, log)
	log.Info().Str("service", s.Service).Str("target", s.Target.String()).Str("domain", s.FailureDomain).Msg(events.Started)
	options := node.Options{LogEvery: c.logEvery, MetricsPort: uint16(c.metricsPort), LostLines: lines.Lost}
	if err := node.New(s, options, log).Run(ctx); err != nil {
		return fail(err)
	}
	return exitOK
}

// startLogWriter starts the writer of the log lines. The returned function stops it and waits until all lines are written.
func startLogWriter(lines *logging.Async) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = lines.Serve(ctx) // its only error is that of ctx
	}()
	return func() { cancel(); <-done }
}

// reload validates the settings file at each SIGHUP and logs the result. Changed addresses and limits take effect at the
// next start.
func reload(ctx context.Context, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		if _, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
			log.Error().Err(err).Msg(events.SettingsRefused)
			continue
		}
		log.Info().Msg(events.Reloaded)
	}
}
