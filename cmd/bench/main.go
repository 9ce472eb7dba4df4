// Command bench runs the experiments that measure the mesh.
//
//	bench list
//	bench EXPERIMENT [-instances N] [-seed S]
//	bench all -out DIR [-seed S]
//
// Progress goes to standard error. The last line on standard output is one JSON object with the figures.
// It exits with 0 when the run ended, 1 when a run failed and 2 on wrong usage.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/bench"
)

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: "15:04:05.000"}).With().Timestamp().Logger()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&listCommand{}, "")
	subcommands.Register(&allCommand{log: log}, "")
	for _, e := range bench.All() {
		subcommands.Register(&experimentCommand{experiment: e, log: log}, "experiments")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
