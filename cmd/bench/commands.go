package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/bench"
)

// defaultSeed is the default of the flag -seed.
const defaultSeed = 1

// listCommand prints the names and summaries of the experiments.
type listCommand struct{}

func (*listCommand) Name() string             { return "list" }
func (*listCommand) Synopsis() string         { return "list the experiments" }
func (*listCommand) Usage() string            { return "list\n" }
func (*listCommand) SetFlags(_ *flag.FlagSet) {}

func (*listCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return subcommands.ExitUsageError
	}
	for _, e := range bench.All() {
		fmt.Fprintf(os.Stdout, "%-12s %4d instances  %s\n", e.Name, e.DefaultInstances, e.Summary)
	}
	return subcommands.ExitSuccess
}

// experimentCommand runs one experiment and prints its results as JSON.
type experimentCommand struct {
	experiment bench.Experiment
	log        zerolog.Logger
	instances  int
	seed       uint64
}

func (c *experimentCommand) Name() string     { return c.experiment.Name }
func (c *experimentCommand) Synopsis() string { return c.experiment.Summary }
func (c *experimentCommand) Usage() string {
	return c.experiment.Name + " [-instances N] [-seed S]\n"
}

func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.instances, "instances", c.experiment.DefaultInstances, "number of instances")
	f.Uint64Var(&c.seed, "seed", defaultSeed, "seed of every random choice")
}

func (c *experimentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.instances <= 0 {
		return usage(os.Stderr, c.Usage())
	}
	out := bench.Execute(ctx, c.experiment, bench.Config{Instances: c.instances, Seed: c.seed, Log: c.log})
	if out.Err != nil {
		fmt.Fprintln(os.Stderr, out.Err)
		return subcommands.ExitFailure
	}
	fmt.Fprintln(os.Stdout, string(out.JSON))
	return subcommands.ExitSuccess
}

// allCommand runs all experiments, prints their results as JSON and writes a report. A failed experiment does not stop the
// others, but makes the command exit with 1.
type allCommand struct {
	log  zerolog.Logger
	out  string
	seed uint64
}

func (*allCommand) Name() string     { return "all" }
func (*allCommand) Synopsis() string { return "run every experiment and write a report" }
func (*allCommand) Usage() string    { return "all -out DIR [-seed S]\n" }

func (c *allCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "directory of the report")
	f.Uint64Var(&c.seed, "seed", defaultSeed, "seed of every random choice")
}

func (c *allCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.out == "" {
		return usage(os.Stderr, c.Usage())
	}
	status := subcommands.ExitSuccess
	var outcomes []bench.Outcome
	for _, e := range bench.All() {
		out := bench.Execute(ctx, e, bench.Config{Seed: c.seed, Log: c.log})
		outcomes = append(outcomes, out)
		if out.Err != nil {
			status = subcommands.ExitFailure
			continue
		}
		fmt.Fprintln(os.Stdout, string(out.JSON))
	}
	if err := bench.WriteReport(c.out, outcomes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return status
}

// usage prints the usage of a command and returns the exit status for wrong usage.
func usage(w io.Writer, text string) subcommands.ExitStatus {
	fmt.Fprint(w, "usage: bench ", text)
	return subcommands.ExitUsageError
}
