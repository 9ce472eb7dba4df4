// Command demo runs a small deployment on loopback: thirteen targets in four failure domains, the daemon beside each, a
// stand-in for the platform, and callers. It takes a failure domain out of service and back while it counts the calls.
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
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/fleet"
	"github.com/chervilwell/chervilwell/internal/logging"
)

const (
	readyTimeout   = 30 * time.Second
	statusInterval = time.Second
	workers        = 24
	pause          = 20 * time.Millisecond
	// domain is the failure domain that leaves and returns.
	domain = "obb-ro"
	// leaveAt and returnAt are the moments of that, as parts of the whole time.
	leaveAt, returnAt = 0.3, 0.6
)

// places are the instances of the deployment.
var places = []fleet.Place{
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

var calls = []fleet.Call{
	{Organisation: "haulier-a", Method: "GET", Path: "/lagerstand/depot/7"},
	{Organisation: "haulier-b", Method: "GET", Path: "/disposition/orders"},
	{Organisation: "haulier-b", Method: "POST", Path: "/disposition/orders", Key: true},
	{Organisation: "haulier-c", Method: "POST", Path: "/wiegebeleg/tickets", Key: true},
}

func main() {
	span := flag.Duration("for", 0, "end by itself after this time; 0 runs until interrupted")
	level := flag.String("log", "error", "least level of the daemons' log lines on standard error")
	flag.Parse()
	if flag.NArg() > 0 || *span < 0 {
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
	if err := run(ctx, *span, log); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, span time.Duration, log zerolog.Logger) error {
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		return err
	}
	dir, remove, err := fleet.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	f, err := fleet.Start(cat, places, dir, log)
	if err != nil {
		return err
	}
	load := fleet.NewLoad(f, calls)
	if err := ready(ctx, f, load); err != nil {
		return errors.Wrap(errors.Wrap(f.Stop(), err.Error()), "start")
	}
	printAddresses(f)
	drive(ctx, f, load, span)
	stopErr := f.Stop()
	return summarize(load, stopErr)
}

// ready waits until every instance takes requests and each kind of call is served.
func ready(ctx context.Context, f *fleet.Fleet, load *fleet.Load) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		return err
	}
	return load.Await(ctx)
}

// drive sends the load and moves the failure domain out and back until the time is over.
func drive(ctx context.Context, f *fleet.Fleet, load *fleet.Load, span time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	if span > 0 {
		ctx, cancel = context.WithTimeout(ctx, span)
	}
	defer cancel()
	cycle := span
	if cycle == 0 {
		cycle = time.Minute
	}
	var wg sync.WaitGroup
	wg.Go(func() { load.Run(ctx, workers, pause, 1) })
	wg.Go(func() { moveDomain(ctx, f, cycle) })
	wg.Go(func() { printStatus(ctx, f, load) })
	wg.Wait()
}

// moveDomain takes the failure domain out of service and back once in every cycle.
func moveDomain(ctx context.Context, f *fleet.Fleet, cycle time.Duration) {
	part := func(share float64) time.Duration { return time.Duration(share * float64(cycle)) }
	for duty.Sleep(ctx, part(leaveAt)) == nil {
		setDomain(f, catalogue.Out)
		if duty.Sleep(ctx, part(returnAt-leaveAt)) != nil {
			return
		}
		setDomain(f, catalogue.In)
		if duty.Sleep(ctx, part(1-returnAt)) != nil {
			return
		}
	}
}

// setDomain publishes a catalogue with another state of the failure domain under the next revision.
func setDomain(f *fleet.Fleet, state catalogue.State) {
	next, err := f.Catalogue().WithDomain(domain, state)
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
	for duty.Sleep(ctx, statusInterval) == nil {
		c := load.Counts()
		fmt.Printf("%3.0fs revision %d served %d refused %d lost %d resent %d\n",
			time.Since(start).Seconds(), f.Catalogue().Revision, c.Served, c.Refused, c.Lost, c.Resent)
	}
}

func summarize(load *fleet.Load, stopErr error) error {
	c := load.Counts()
	fmt.Printf("\ncalls served %d, refused %d, lost %d, keyed calls sent again %d\n", c.Served, c.Refused, c.Lost, c.Resent)
	if stopErr != nil {
		return errors.Wrap(stopErr, "stop")
	}
	if c.Lost > 0 {
		return errors.Errorf("%d calls were lost, the last one: %s", c.Lost, load.LastLoss())
	}
	if c.Served == 0 {
		return errors.New("no call was served; run with -log info and read why")
	}
	return nil
}

// newKey returns a time-ordered idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
