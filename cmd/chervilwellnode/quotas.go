package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/quota/exchange"
)

// quotasCommand prints the state of quotas at a daemon.
type quotasCommand struct{ addr, organisation string }

func (*quotasCommand) Name() string     { return "quotas" }
func (*quotasCommand) Synopsis() string { return "print the quotas of organisations and their use" }

func (*quotasCommand) Usage() string {
	return "quotas -addr HOST:PORT [-organisation NAME]\n  Print the quotas as the daemon with this metrics address applies them: what organisations sent there, the fraction that is admitted, and which process collects. At the collector, also the demand over all processes.\n"
}

func (c *quotasCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "", "metrics address of a daemon")
	f.StringVar(&c.organisation, "organisation", "", "name of an organisation; empty selects all that have sent requests")
}

func (c *quotasCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.addr == "" {
		fmt.Fprintln(os.Stderr, "chervilwellnode quotas needs -addr and takes no arguments")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	var status exchange.Status
	if err := fetchJSON(ctx, c.addr, exchange.StatusPath, &status); err != nil {
		return fail(errors.Wrap(ErrQuotas, err.Error()))
	}
	if err := printQuotas(os.Stdout, status, c.organisation); err != nil {
		return fail(err)
	}
	return exitOK
}

// ErrQuotas is returned if a daemon does not return the state of its quotas.
var ErrQuotas = errors.New("the daemon does not return its quotas; check that -addr is its metrics address")

// printQuotas prints quotas as a table.
func printQuotas(w io.Writer, s exchange.Status, organisation string) error {
	if len(s.Organisations) == 0 {
		_, err := fmt.Fprintln(w, "the configuration in force has no quotas")
		return err
	}
	collector := s.Collector
	if !s.Fresh {
		collector = "none; only this process's part of each quota is admitted"
	}
	fmt.Fprintf(w, "collector: %s, last reply to a report %.3f s ago\nprocesses: %d, of which %d report to this one (top collector: %t)\n",
		collector, s.AgeSeconds, s.Processes, s.Reporting, s.Top)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ORGANISATION\tRATE\tBURST\tOFFERED\tADMITTED\tREFUNDED\tFRACTION\tALLOWANCE\tDEMAND\tLEVEL")
	for _, o := range s.Organisations {
		if organisation == o.Organisation || organisation == "" && (o.Offered > 0 || o.Demand > 0) {
			fmt.Fprintf(table, "%q\t%g\t%g\t%d\t%d\t%d\t%.3f\t%.0f\t%.1f\t%.1f\n",
				o.Organisation, o.PerSecond, o.Burst, o.Offered, o.Admitted, o.Refunded, o.Fraction, o.Allowance, o.Demand, o.Level)
		}
	}
	return table.Flush()
}
