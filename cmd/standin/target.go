package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// targetCommand serves a stand-in for a target.
type targetCommand struct {
	log        zerolog.Logger
	listen     string
	coldPeriod time.Duration
	limits     catalogue.ServiceLimits
	cfg        standin.TargetConfig
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "serve a stand-in for a target" }
func (*targetCommand) Usage() string {
	return "target [-listen ADDRESS] [-name NAME] ...\n" +
		"A request with header " + standin.CrashHeader + " crashes the target. " + standin.HealthPath + " reports its state of -health-lag ago.\n"
}

func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9001", "address to listen on")
	f.StringVar(&c.cfg.Name, "name", "target", "name of the target")
	f.IntVar(&c.limits.Slots, "slots", 20, "maximum number of concurrent requests when warm")
	f.IntVar(&c.limits.Connections, "connections", 120, "maximum number of connections")
	f.IntVar(&c.limits.ColdSlots, "cold-slots", 2, "maximum number of concurrent requests at the beginning of a cold start")
	f.DurationVar(&c.coldPeriod, "cold-period", 5*time.Second, "duration of a cold start")
	f.DurationVar(&c.cfg.Service, "service", 6*time.Millisecond, "median service time of a request")
	f.Float64Var(&c.cfg.Spread, "spread", 0.3, "standard deviation of the natural logarithm of the service time")
	f.BoolVar(&c.cfg.Warm, "warm", false, "start warm")
	f.DurationVar(&c.cfg.DownTime, "down-time", 2*time.Second, "time between a crash and the restart")
	f.DurationVar(&c.cfg.HealthLag, "health-lag", 5*time.Second, "age of the state that the health endpoint reports")
	f.IntVar(&c.cfg.ResponseBytes, "answer-bytes", 512, "minimum size of a response body in bytes")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of the random service times")
}

func (c *targetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.limits.Slots <= 0 || c.limits.ColdSlots <= 0 || c.cfg.Service <= 0 {
		return subcommands.ExitUsageError
	}
	c.limits.ColdPeriod = catalogue.Duration(c.coldPeriod)
	c.cfg.Limits = c.limits
	target := standin.NewTarget(c.cfg)
	address, err := target.Start(c.listen)
	if err != nil {
		return exitStatus(err)
	}
	c.log.Info().Str("address", address).Msg("stand-in listens")
	<-ctx.Done()
	target.Close()
	return subcommands.ExitSuccess
}
