// Command bench runs the experiments that measure the mesh.
//
//	bench list
//	bench EXPERIMENT [-instances N] [-seed S]
//	bench all -out DIR [-seed S]
//
// Progress is logged to standard error. The last line of standard output is a JSON object with the results.
// It exits with 0 on success, 1 if a run failed and 2 on wrong usage.
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
