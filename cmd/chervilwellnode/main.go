// Command chervilwellnode is the daemon for a platform that hands out addresses and settings and keeps the configuration: it runs
// beside a target, without certificates and without an operators' listener.
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

// Figures of the process on a platform that prices memory and processor time.
const (
	// softMemory is the part of the machine's memory above which garbage is collected more often.
	softMemory = 0.6
	// heapGrowth is the growth of the heap, in percent, after which garbage is collected. At 150 memory costs more than it saves,
	// at 50 processor time does.
	heapGrowth = 100
)

// The exit codes of the command.
const (
	exitDone    = subcommands.ExitSuccess
	exitRefused = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func refuse(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return exitRefused
}

// checkCommand checks the platform's settings.
type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "check the platform's settings" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (*checkCommand) Usage() string {
	return "check\n  Exit 0 if the daemon could run with the settings that " + platform.SettingsVariable + " names, 1 with the field and its remedy if not.\n"
}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "chervilwellnode check takes no arguments")
		return exitUsage
	}
	if _, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
		return refuse(err)
	}
	fmt.Println("settings: ok")
	return exitDone
}

// runCommand runs the daemon.
type runCommand struct {
	level   string
	every   uint64
	metrics uint
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon with the platform's settings" }

func (*runCommand) Usage() string {
	return "run [-log LEVEL] [-log-every N] [-metrics PORT]\n  The path of the settings stands in the variable " + platform.SettingsVariable + ".\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.level, "log", "info", "least level of the events logged: debug, info, warn or error")
	f.Uint64Var(&c.every, "log-every", 100, "log one of each N requests that went well; 0 logs none")
	f.UintVar(&c.metrics, "metrics", 0, "port of the metrics on the machine's address; 0 serves none")
}

func (c *runCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.metrics > math.MaxUint16 {
		fmt.Fprintln(os.Stderr, "chervilwellnode run takes no arguments, and -metrics a port below 65536")
		return exitUsage
	}
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return refuse(err)
	}
	lines := logging.NewAsync(os.Stdout)
	log, err := logging.New(lines, c.level, s.Instance)
	if err != nil {
		return refuse(err)
	}
	flushed := write(lines)
	defer flushed()
	runtime.GOMAXPROCS(1) // the process has a part of one core; further threads would only wake each other
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemory * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(heapGrowth)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reload(ctx, log)
	log.Info().Str("service", s.Service).Str("target", s.Target.String()).Str("domain", s.FailureDomain).Msg(events.Started)
	options := node.Options{LogEvery: c.every, MetricsPort: uint16(c.metrics), Lost: lines.Lost}
	if err := node.New(s, options, log).Run(ctx); err != nil {
		return refuse(err)
	}
	return exitDone
}

// write runs the log's writer and returns a function that ends it when all lines are out.
func write(lines *logging.Async) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = lines.Serve(ctx) // ends with its context
	}()
	return func() { cancel(); <-done }
}

// reload checks the settings file at each SIGHUP. Addresses and limits take effect at the next start.
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
