// Command moved shows that a store whose address changes in the settings files is lost: later configurations are never in force. It exits
// with 1 if the rule CONFIG was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chervilwell/chervilwell/review/harness3/rig"
)

const (
	host     = "lager.example"
	work     = 160 * time.Millisecond
	deadline = 2 * time.Second
	interval = 30 * time.Millisecond
	// The settings files change at moveAt. signalled machines get SIGHUP then, one each signalGap: 0.3 of 14. The store answers at both
	// addresses until oldEndsAt.
	moveAt    = 6 * time.Second
	signalled = 4
	signalGap = 250 * time.Millisecond
	oldEndsAt = 18 * time.Second
	// The configuration that moves the route to another service is written at changeAt, and judged from judgedAt on: ConfigApplyS and
	// StabilityWindowS after it.
	changeAt = 24 * time.Second
	judgedAt = changeAt + 5*time.Second
	end      = 40 * time.Second
	// before and after are the services of the route in the two configurations.
	before, after = "lagerstand", "disposition"
)

// totals counts the judged requests by the service that ran them; "" stands for none.
type totals struct {
	mu   sync.Mutex
	ran  map[string]int
	sent int
}

func main() {
	dir := flag.String("dir", "review/15", "folder of the case")
	flag.Parse()
	os.Exit(run(*dir))
}

func run(dir string) int {
	record, err := rig.NewRecord(dir + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	r, err := rig.Start(record, func(string) time.Duration { return time.Duration(float64(work) * (0.5 + rand.Float64())) }, config("00000007", before))
	if err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	defer r.Stop()
	machines := rand.Perm(len(r.Machines))[:signalled]
	t := &totals{ran: map[string]int{}}
	start := time.Now()
	var clients sync.WaitGroup
	at := func(when time.Duration, f func()) {
		clients.Go(func() { time.Sleep(time.Until(start.Add(when))); f() })
	}
	for when := time.Duration(0); when < end; when += interval {
		judged := when >= judgedAt
		at(when, func() { t.read(r, r.Machines[machines[rand.IntN(signalled)]], judged) })
	}
	failed := make(chan error, 1)
	if os.Getenv("TROUBLE") != "0" {
		at(moveAt, func() { move(r, machines, at, failed) })
	}
	at(changeAt, func() {
		r.Store.PutConfig(config("00000011", after))
		record.Write("version 00000011 is acknowledged")
	})
	clients.Wait()
	select {
	case err := <-failed:
		record.Say("can't run: %v", err)
		return 2
	default:
	}
	return t.judge(record)
}

// move changes the store's address, and signals it to some machines.
func move(r *rig.Rig, machines []int, at func(time.Duration, func()), failed chan<- error) {
	endOld, err := r.MoveStore()
	if err != nil {
		failed <- err
		return
	}
	at(oldEndsAt, endOld)
	for _, i := range machines {
		if err := r.Machines[i].Signal(syscall.SIGHUP); err != nil {
			failed <- err
			return
		}
		r.Record.Write("SIGHUP to %s", r.Machines[i].Name)
		time.Sleep(signalGap)
	}
}

// read reads a page once at a machine that gets clients.
func (t *totals) read(r *rig.Rig, m *rig.Machine, judged bool) {
	if !m.GetsClients() {
		return
	}
	a := r.Send(m, http.MethodGet, host, fmt.Sprintf("/stock/depot-%d", rand.IntN(100)), nil, deadline)
	if !judged {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.ran[r.Record.ServiceThatRan(a.Attempt)]++
}

// judge applies the rule: no request that is sent later than ConfigApplyS after the acknowledgement may be run by the service of the older version.
func (t *totals) judge(record *rig.Record) int {
	record.Say("%d requests judged at the %d machines with SIGHUP; by the service that ran them: %v", t.sent, signalled, t.ran)
	if t.ran[before]+t.ran[after] == 0 {
		record.Say("can't judge: nothing was run")
		return 2
	}
	if t.ran[before] > 0 {
		record.Say("CONFIG is broken: %d requests were run by the old service %.0f s and more after the acknowledgement", t.ran[before], (judgedAt - changeAt).Seconds())
		return 1
	}
	record.Say("CONFIG holds")
	return 0
}

// config is the operators' configuration: one route to a service.
func config(version, service string) map[string]any {
	return rig.Config(version, host, rig.Route{Name: "r-stock", Prefix: "/stock/", Kind: "safe", Service: service})
}
