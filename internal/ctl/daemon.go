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

// always is the judgement of commands whose answer is never unhealthy.
func always[T any](T) bool { return true }

// status prints the state of a daemon.
type status struct{ question }

func newStatus(env *environment) *status {
	return &status{question{env: env, info: info{
		"status", aboutDaemons, "print the state of a daemon",
		"status -addr HOST:PORT [-json]\n  Print state, catalogue in force, place in the distribution, budgets and alerts. Exit 1 if the daemon isn't ready.",
	}}}
}

// Execute implements subcommands.Command.
func (c *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, &c.question, f, c, operator.PathStatus, nil, printStatus, func(s operator.Status) bool { return s.Ready })
}

func printStatus(out io.Writer, s operator.Status) {
	d := s.Distribution
	t := newTable(out, "INSTANCE", s.Instance)
	t.row("FAILURE DOMAIN", s.FailureDomain)
	t.row("REGION", dash(s.Region))
	t.row("SERVICE", s.Service)
	t.row("STATE", s.State)
	t.row("REVISION", s.Revision)
	t.row("DIGEST", dash(s.Digest))
	t.row("PHASE", d.Phase)
	t.row("ROLE", d.Role)
	t.row("PARENT", dash(d.Parent))
	t.row("UPSTREAMS", list(d.Upstreams))
	t.row("CHILDREN", list(d.Children))
	t.row("MEMBERS", d.Members)
	t.row("PLATFORM READS", list(d.Reads))
	t.row("PLATFORM", sourceState(d))
	t.flush()
	printOrganisations(out, s.Organisations)
	for _, a := range s.Alerts {
		fmt.Fprintf(out, "\nalert: organisation %q: %s: %s; %s", a.Organisation, a.Subject, a.Detail, a.Remedy)
	}
	for _, r := range s.Refusals {
		fmt.Fprintf(out, "\nrefused: %s %s: %s; %s", r.Time.Format(time.RFC3339), r.Kind, r.Detail, dash(r.Remedy))
	}
	if len(s.Alerts)+len(s.Refusals) > 0 {
		fmt.Fprintln(out)
	}
}

func sourceState(d operator.Distribution) string {
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
		case o.Over:
			budget = "over"
		case o.ChangesPerDay == 0:
			budget = "none set"
		}
		t.row(o.Organisation, o.ChangesToday, o.ChangesPerDay, o.OpenAlerts, budget)
	}
	t.flush()
}

func list(names []string) string { return dash(strings.Join(names, " ")) }

// auditCommand prints the audit trail of a daemon.
type auditCommand struct {
	question
	since uint64
}

func newAudit(env *environment) *auditCommand {
	return &auditCommand{question: question{env: env, info: info{
		"audit", aboutDaemons, "print the audit trail of a daemon",
		"audit -addr HOST:PORT [-since SEQ] [-json]\n  Print the records that the daemon still holds, the oldest first.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.question.SetFlags(f)
	f.Uint64Var(&c.since, "since", 0, "print what follows the record with this sequence number")
}

// Execute implements subcommands.Command.
func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"since": {strconv.FormatUint(c.since, 10)}}
	return run(ctx, &c.question, f, c, operator.PathAudit, query, printAudit, always)
}

func printAudit(out io.Writer, l operator.AuditList) {
	t := newTable(out, "SEQ", "TIME", "KIND", "REVISION", "SUBJECT", "DETAIL", "REMEDY")
	for _, r := range l.Records {
		revision := "-"
		if r.Revision > 0 {
			revision = strconv.FormatUint(r.Revision, 10)
		}
		t.row(r.Seq, r.Time.Format(time.RFC3339), r.Kind, revision, r.Subject, oneLine(r.Detail), dash(oneLine(r.Remedy)))
	}
	t.flush()
}

// oneLine keeps a record on one line of a table.
func oneLine(s string) string { return strings.NewReplacer("\n", " | ", "\t", " ").Replace(s) }

// instances prints the instances that a daemon knows.
type instances struct {
	question
	service, domain string
}

func newInstances(env *environment) *instances {
	return &instances{question: question{env: env, info: info{
		"instances", aboutDaemons, "print the instances that a daemon knows",
		"instances -addr HOST:PORT [-service NAME] [-domain NAME] [-json]\n  Print the instances known, by service and name.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *instances) SetFlags(f *flag.FlagSet) {
	c.question.SetFlags(f)
	f.StringVar(&c.service, "service", "", "only this service")
	f.StringVar(&c.domain, "domain", "", "only this failure domain")
}

// Execute implements subcommands.Command.
func (c *instances) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"service": {c.service}, "failureDomain": {c.domain}}
	return run(ctx, &c.question, f, c, operator.PathInstances, query, printInstances, always)
}

func printInstances(out io.Writer, l operator.InstanceList) {
	t := newTable(out, "INSTANCE", "SERVICE", "FAILURE DOMAIN", "REGION", "LISTED", "IN SERVICE", "REQUESTS", "PEERS")
	for _, i := range l.Instances {
		t.row(i.Name, i.Service, i.FailureDomain, dash(i.Region), i.State, i.InService, dash(i.RequestAddr), dash(i.PeerAddr))
	}
	t.flush()
}

// explain prints which targets a call may take.
type explain struct {
	question
	service, organisation, region string
}

func newExplain(env *environment) *explain {
	return &explain{question: question{env: env, info: info{
		"explain", aboutDaemons, "say which targets a call may take, and why each other may not",
		"explain -addr HOST:PORT -service NAME [-organisation NAME] [-region NAME] [-json]\n" +
			"  Judge the targets of a service as the daemon sees them, for a call that arrives in the region (its own by default).\n" +
			"  Exit 1 if no call can take any target.",
	}}}
}

// SetFlags implements subcommands.Command.
func (c *explain) SetFlags(f *flag.FlagSet) {
	c.question.SetFlags(f)
	f.StringVar(&c.service, "service", "", "service called")
	f.StringVar(&c.organisation, "organisation", "", "organisation of the caller")
	f.StringVar(&c.region, "region", "", "region in which the call arrives")
}

// Execute implements subcommands.Command.
func (c *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" {
		return c.env.misused(c, "give -service NAME")
	}
	query := url.Values{"service": {c.service}, "organisation": {c.organisation}, "region": {c.region}}
	return run(ctx, &c.question, f, c, operator.PathExplain, query, printExplanation, operator.Explanation.Usable)
}

func printExplanation(out io.Writer, e operator.Explanation) {
	fmt.Fprintf(out, "revision %d as %s sees it: calls of organisation %s to service %s that arrive in region %s\n",
		e.Revision, e.SeenBy, dash(e.Organisation), e.Service, e.Region)
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
	fmt.Fprintf(out, "\nroute %s: %s %s, %s, repeat %s, %s\n", r.Route, methods, r.PathPrefix, r.Class, r.Repeat, homes)
	if r.Refusal != "" {
		fmt.Fprintf(out, "refused: %s; %s\n", r.Refusal, r.Remedy)
	}
	t := newTable(out, "TARGET", "FAILURE DOMAIN", "REGION", "VERDICT", "LOAD", "IN FLIGHT", "REMEDY")
	for _, target := range r.Targets {
		verdict := "may be taken"
		if target.Verdict != pick.Usable {
			verdict = string(target.Verdict)
		}
		t.row(target.Instance, target.FailureDomain, dash(target.Region), verdict,
			fmt.Sprintf("%.2f", target.Utilisation), target.InFlight, dash(target.Remedy))
	}
	t.flush()
}
