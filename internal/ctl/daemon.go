package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/chervilwell/chervilwell/internal/operator"
	"github.com/chervilwell/chervilwell/pick"
)

// alwaysHealthy is the health check of commands whose response is never unhealthy.
func alwaysHealthy[T any](T) bool { return true }

// statusCommand prints the state of a daemon.
type statusCommand struct{ daemonCommand }

func newStatus(streams *ioStreams) *statusCommand {
	return &statusCommand{daemonCommand{streams: streams, commandInfo: commandInfo{
		"status", groupDaemons, "print the state of a daemon",
		"status -addr HOST:PORT [-json]\n  Print state, catalogue in force, distribution status, budgets and alerts. Exit 1 if the daemon is not ready.",
	}}}
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, &c.daemonCommand, f, c, operator.PathStatus, nil, printStatus, func(s operator.Status) bool { return s.Ready })
}

func printStatus(out io.Writer, s operator.Status) {
	d := s.Distribution
	t := newTable(out, "INSTANCE", s.Instance)
	t.row("FAILURE DOMAIN", s.FailureDomain)
	t.row("REGION", orDash(s.Region))
	t.row("SERVICE", s.Service)
	t.row("STATE", s.State)
	t.row("REVISION", s.Revision)
	t.row("DIGEST", orDash(s.Digest))
	t.row("PHASE", d.Phase)
	t.row("ROLE", d.Role)
	t.row("PARENT", orDash(d.Parent))
	t.row("UPSTREAMS", joinOrDash(d.Upstreams))
	t.row("CHILDREN", joinOrDash(d.Children))
	t.row("MEMBERS", d.Members)
	t.row("PLATFORM READS", joinOrDash(d.Reads))
	t.row("PLATFORM", platformState(d))
	t.flush()
	printOrganisations(out, s.Organisations)
	for _, a := range s.Alerts {
		fmt.Fprintf(out, "\nalert: organisation %q: %s: %s; %s", a.Organisation, a.Subject, a.Detail, a.Remedy)
	}
	for _, r := range s.Refusals {
		fmt.Fprintf(out, "\nrefused: %s %s: %s; %s", r.Time.Format(time.RFC3339), r.Kind, r.Detail, orDash(r.Remedy))
	}
	if len(s.Alerts)+len(s.Refusals) > 0 {
		fmt.Fprintln(out)
	}
}

// platformState returns the cell for the health of the platform.
func platformState(d operator.Distribution) string {
	switch {
	case d.SourceFailing:
		return "failing: the catalogue in force keeps being served"
	case len(d.Reads) > 0:
		return "read here"
	}
	return "not read here"
}

func printOrganisations(out io.Writer, organisations []operator.OrganisationStatus) {
	if len(organisations) == 0 {
		return
	}
	fmt.Fprintln(out)
	t := newTable(out, "ORGANISATION", "CHANGES TODAY", "PER DAY", "OPEN ALERTS", "BUDGET")
	for _, o := range organisations {
		budget := "within"
		switch {
		case o.OverBudget:
			budget = "over"
		case o.ChangesPerDay == 0:
			budget = "none set"
		}
		t.row(o.Organisation, o.ChangesToday, o.ChangesPerDay, o.OpenAlerts, budget)
	}
	t.flush()
}

// joinOrDash returns the names separated by spaces, or "-" if there are none.
func joinOrDash(names []string) string { return orDash(strings.Join(names, " ")) }

// auditCommand prints the audit trail of a daemon.
type auditCommand struct {
	daemonCommand
	since uint64
}

func newAudit(streams *ioStreams) *auditCommand {
	return &auditCommand{daemonCommand: daemonCommand{streams: streams, commandInfo: commandInfo{
		"audit", groupDaemons, "print the audit trail of a daemon",
		"audit -addr HOST:PORT [-since SEQ] [-json]\n  Print the records that the daemon still holds, oldest first.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.daemonCommand.SetFlags(f)
	f.Uint64Var(&c.since, "since", 0, "print the records after this sequence number")
}

// Execute implements subcommands.Command.
func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"since": {strconv.FormatUint(c.since, 10)}}
	return run(ctx, &c.daemonCommand, f, c, operator.PathAudit, query, printAudit, alwaysHealthy)
}

func printAudit(out io.Writer, l operator.AuditList) {
	t := newTable(out, "SEQ", "TIME", "KIND", "REVISION", "SUBJECT", "DETAIL", "REMEDY")
	for _, r := range l.Records {
		revision := "-"
		if r.Revision > 0 {
			revision = strconv.FormatUint(r.Revision, 10)
		}
		t.row(r.Seq, r.Time.Format(time.RFC3339), r.Kind, revision, r.Subject, oneLine(r.Detail), orDash(oneLine(r.Remedy)))
	}
	t.flush()
}

// oneLine replaces line breaks and tabs, so that a text fits into one cell of a table.
func oneLine(s string) string { return strings.NewReplacer("\n", " | ", "\t", " ").Replace(s) }

// instancesCommand prints the instances that a daemon knows.
type instancesCommand struct {
	daemonCommand
	service, domain string
}

func newInstances(streams *ioStreams) *instancesCommand {
	return &instancesCommand{daemonCommand: daemonCommand{streams: streams, commandInfo: commandInfo{
		"instances", groupDaemons, "print the instances that a daemon knows",
		"instances -addr HOST:PORT [-service NAME] [-domain NAME] [-json]\n  Print the known instances, sorted by service and name.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *instancesCommand) SetFlags(f *flag.FlagSet) {
	c.daemonCommand.SetFlags(f)
	f.StringVar(&c.service, "service", "", "only this service")
	f.StringVar(&c.domain, "domain", "", "only this failure domain")
}

// Execute implements subcommands.Command.
func (c *instancesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"service": {c.service}, "failureDomain": {c.domain}}
	return run(ctx, &c.daemonCommand, f, c, operator.PathInstances, query, printInstances, alwaysHealthy)
}

func printInstances(out io.Writer, l operator.InstanceList) {
	t := newTable(out, "INSTANCE", "SERVICE", "FAILURE DOMAIN", "REGION", "LISTED", "IN SERVICE", "REQUESTS", "PEERS")
	for _, i := range l.Instances {
		t.row(i.Name, i.Service, i.FailureDomain, orDash(i.Region), i.State, i.InService, orDash(i.RequestAddr), orDash(i.PeerAddr))
	}
	t.flush()
}

// explainCommand prints which targets a call may use.
type explainCommand struct {
	daemonCommand
	service, organisation, region string
}

func newExplain(streams *ioStreams) *explainCommand {
	return &explainCommand{daemonCommand: daemonCommand{streams: streams, commandInfo: commandInfo{
		"explain", groupDaemons, "print which targets a call may use and why others are excluded",
		"explain -addr HOST:PORT -service NAME [-organisation NAME] [-region NAME] [-json]\n" +
			"  Print the daemon's verdict on each target of a service, for a call that arrives in the region (default: the daemon's).\n" +
			"  Exit 1 if no call has a usable target.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.daemonCommand.SetFlags(f)
	f.StringVar(&c.service, "service", "", "name of the called service")
	f.StringVar(&c.organisation, "organisation", "", "organisation of the caller")
	f.StringVar(&c.region, "region", "", "region in which the call arrives")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" {
		return c.streams.usageError(c, "give -service NAME")
	}
	query := url.Values{"service": {c.service}, "organisation": {c.organisation}, "region": {c.region}}
	return run(ctx, &c.daemonCommand, f, c, operator.PathExplain, query, printExplanation, operator.Explanation.Usable)
}

func printExplanation(out io.Writer, e operator.Explanation) {
	fmt.Fprintf(out, "revision %d as reported by %s: calls of organisation %s to service %s that arrive in region %s\n",
		e.Revision, e.Reporter, orDash(e.Organisation), e.Service, e.Region)
	if len(e.Routes) == 0 {
		fmt.Fprintln(out, "no route leads to the service; add one to the catalogue")
	}
	for _, r := range e.Routes {
		printRoute(out, r)
	}
}

func printRoute(out io.Writer, r operator.RouteExplanation) {
	methods, homes := "all methods", "any region"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, " ")
	}
	if len(r.HomeRegions) > 0 {
		homes = "home regions " + strings.Join(r.HomeRegions, " ")
	}
	fmt.Fprintf(out, "\nroute %s: %s %s, %s, repeat %s, %s\n", r.Route, methods, r.PathPrefix, r.Class, r.Retry, homes)
	if r.Refusal != "" {
		fmt.Fprintf(out, "refused: %s; %s\n", r.Refusal, r.Remedy)
	}
	t := newTable(out, "TARGET", "FAILURE DOMAIN", "REGION", "VERDICT", "LOAD", "IN FLIGHT", "REMEDY")
	for _, target := range r.Targets {
		verdict := "may be taken"
		if target.Verdict != pick.Usable {
			verdict = string(target.Verdict)
		}
		t.row(target.Instance, target.FailureDomain, orDash(target.Region), verdict,
			fmt.Sprintf("%.2f", target.Utilisation), target.InFlight, orDash(target.Remedy))
	}
	t.flush()
}
