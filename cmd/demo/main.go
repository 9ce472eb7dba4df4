// Command demo runs a small deployment on the loopback interface: thirteen targets in four failure domains, each with its
// daemon, a stand-in for the platform, and callers. It repeatedly takes a failure domain out of service and returns it, and
// prints the results of the calls.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/internal/fleet"
	"github.com/chervilwell/chervilwell/internal/logging"
	"github.com/chervilwell/chervilwell/internal/periodic"
)

const (
	// readyTimeout bounds the start of the deployment.
	readyTimeout   = 30 * time.Second
	statusInterval = time.Second
	// workers is the number of concurrent callers, and pause the mean time between two calls of one caller.
	workers = 24
	pause   = 20 * time.Millisecond
	// domain is the failure domain that is taken out of service and returned.
	domain = "obb-ro"
	// leaveAt and returnAt are the times at which that happens, as fractions of a cycle.
	leaveAt, returnAt = 0.3, 0.6
)

// placements holds the instances of the deployment.
var placements = []fleet.Placement{
	{Service: "lagerstand", FailureDomain: "obb-muc", Instances: 2},
	{Service: "lagerstand", FailureDomain: "obb-ro", Instances: 1},
	{Service: "lagerstand", FailureDomain: "nbb-la", Instances: 1},
	{Service: "lagerstand", FailureDomain: "nbb-pa", Instances: 1},
	{Service: "disposition", FailureDomain: "obb-muc", Instances: 1},
	{Service: "disposition", FailureDomain: "obb-ro", Instances: 1},
	{Service: "disposition", FailureDomain: "nbb-la", Instances: 1},
	{Service: "disposition", FailureDomain: "nbb-pa", Instances: 1},
	{Service: "wiegebeleg", FailureDomain: "obb-muc", Instances: 1},
	{Service: "wiegebeleg", FailureDomain: "obb-ro", Instances: 1},
	{Service: "wiegebeleg", FailureDomain: "nbb-la", Instances: 1},
	{Service: "wiegebeleg", FailureDomain: "nbb-pa", Instances: 1},
}

// calls holds the kinds of requests that the callers send.
var calls = []fleet.Call{
	{Organisation: "haulier-a", Method: "GET", Path: "/lagerstand/depot/7"},
	{Organisation: "haulier-b", Method: "GET", Path: "/disposition/orders"},
	{Organisation: "haulier-b", Method: "POST", Path: "/disposition/orders", Key: true},
	{Organisation: "haulier-c", Method: "POST", Path: "/wiegebeleg/tickets", Key: true},
}

func main() {
	duration := flag.Duration("for", 0, "duration of the run; 0 runs until interrupted")
	level := flag.String("log", "error", "minimum level of the daemons' log lines on standard error")
	flag.Parse()
	if flag.NArg() > 0 || *duration < 0 {
		fmt.Fprintln(os.Stderr, "usage: demo [-for 20s] [-log LEVEL]")
		os.Exit(2)
	}
	log, err := logging.New(os.Stderr, *level, "")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *duration, log); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, duration time.Duration, log zerolog.Logger) error {
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		return err
	}
	dir, remove, err := fleet.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	f, err := fleet.Start(cat, placements, dir, log)
	if err != nil {
		return err
	}
	load := fleet.NewLoad(f, calls)
	if err := waitReady(ctx, f, load); err != nil {
		return errors.Wrap(errors.Wrap(f.Stop(), err.Error()), "start")
	}
	printAddresses(f)
	runLoad(ctx, f, load, duration)
	stopErr := f.Stop()
	return summarize(load, stopErr)
}

// waitReady waits until all instances are ready and Load.WaitAnswered returns, for at most readyTimeout.
func waitReady(ctx context.Context, f *fleet.Fleet, load *fleet.Load) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return load.WaitAnswered(ctx)
}

// runLoad sends the load, takes the failure domain out of service and returns it, and prints the status, until the duration
// has passed or ctx is done. A duration of 0 is unlimited.
func runLoad(ctx context.Context, f *fleet.Fleet, load *fleet.Load, duration time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	if duration > 0 {
		ctx, cancel = context.WithTimeout(ctx, duration)
	}
	defer cancel()
	cycle := duration
	if cycle == 0 {
		cycle = time.Minute
	}
	var wg sync.WaitGroup
	wg.Go(func() { load.Run(ctx, workers, pause, 1) })
	wg.Go(func() { cycleDomain(ctx, f, cycle) })
	wg.Go(func() { printStatus(ctx, f, load) })
	wg.Wait()
}

// cycleDomain takes the failure domain out of service and returns it, once per cycle, until ctx is done.
func cycleDomain(ctx context.Context, f *fleet.Fleet, cycle time.Duration) {
	offset := func(fraction float64) time.Duration { return time.Duration(fraction * float64(cycle)) }
	for periodic.Sleep(ctx, offset(leaveAt)) == nil {
		setDomain(f, catalogue.OutOfService)
		if periodic.Sleep(ctx, offset(returnAt-leaveAt)) != nil {
			return
		}
		setDomain(f, catalogue.InService)
		if periodic.Sleep(ctx, offset(1-returnAt)) != nil {
			return
		}
	}
}

// setDomain publishes the next revision of the catalogue, with the given state of the failure domain.
func setDomain(f *fleet.Fleet, state catalogue.State) {
	next, err := f.Catalogue().WithDomainState(domain, state)
	if err == nil {
		err = f.Publish(next)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo: publish:", err)
		return
	}
	fmt.Printf("revision %d published: failure domain %s is %s\n", next.Revision, domain, state)
}

func printAddresses(f *fleet.Fleet) {
	for _, n := range f.Nodes {
		fmt.Printf("%-10s %-12s callers %s  operator %s\n", n.Instance.Name, n.Instance.Service, n.Callers, n.Operator)
	}
	first := f.Nodes[0]
	fmt.Println("\ntry:")
	fmt.Printf("  curl -H 'Chervilwell-Organisation: haulier-a' http://%s/lagerstand/depot/7\n", first.Callers)
	fmt.Printf("  curl -H 'Chervilwell-Organisation: haulier-b' -H 'Idempotency-Key: %s' -d order http://%s/disposition/orders\n", newKey(), first.Callers)
	fmt.Printf("  curl http://%s/v1/status\n\n", first.Operator)
}

func printStatus(ctx context.Context, f *fleet.Fleet, load *fleet.Load) {
	start := time.Now()
	for periodic.Sleep(ctx, statusInterval) == nil {
		c := load.Counts()
		fmt.Printf("%3.0fs revision %d served %d refused %d lost %d resent %d\n",
			time.Since(start).Seconds(), f.Catalogue().Revision, c.Served, c.Refused, c.Lost, c.Resent)
	}
}

// summarize prints the counters. It returns an error if stopErr is not nil, if a call was lost or if none was served.
func summarize(load *fleet.Load, stopErr error) error {
	c := load.Counts()
	fmt.Printf("\ncalls served %d, refused %d, lost %d, keyed calls sent again %d\n", c.Served, c.Refused, c.Lost, c.Resent)
	if stopErr != nil {
		return errors.Wrap(stopErr, "stop")
	}
	if c.Lost > 0 {
		return errors.Errorf("%d calls were lost; error of the last one: %s", c.Lost, load.LastLoss())
	}
	if c.Served == 0 {
		return errors.New("no call was served; run with -log info to see the cause")
	}
	return nil
}

// newKey returns a time-ordered idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
