// Command denied shows a proper request that is refused with a 4xx long after two endpoints of a zone have gone down at the same time while they
// worked on it. It exits with 1 if the rule DENIED was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/review/harness3/rig"
)

const (
	host = "lager.example"
	// work is the mean running time of a request, maxWork the longest, deadline what its client allows, as on the sheet and in the site file.
	work     = 160 * time.Millisecond
	maxWork  = 960 * time.Millisecond
	deadline = 2 * time.Second
	// pages is the number of pages that are read all the time, interval the time between two reads.
	pages    = 10
	interval = 15 * time.Millisecond
	// The page of the day takes maxWork. It is read by readers clients from burstAt on, and then every readInterval until end. Together with
	// the other reads these are fewer than the 269 a second of the sheet.
	readers      = 60
	burstWithin  = 600 * time.Millisecond
	burstAt      = 15 * time.Second
	readInterval = 250 * time.Millisecond
	end          = 55 * time.Second
	newPage      = "/stock/today"
	// The endpoints of the zone go down at crashAt for downFor and come back cold.
	zone    = "obb-muc"
	crashAt = burstAt + 700*time.Millisecond
	downFor = 3 * time.Second
)

// totals counts the attempts and their answers.
type totals struct {
	mu              sync.Mutex
	attempts        int
	denied          map[string]int
	served          map[string]int
	firstDenied     time.Duration
	lastDenied      time.Duration
	deniedByMachine map[string]int
}

func main() {
	dir := flag.String("dir", "review/13", "folder of the case")
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
	r, err := rig.Start(record, runTime, rig.Config("00000007", host, rig.Route{Name: "r-stock", Prefix: "/stock/", Kind: "safe", Service: "lagerstand"}))
	if err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	defer r.Stop()
	t := &totals{denied: map[string]int{}, served: map[string]int{}, deniedByMachine: map[string]int{}}
	start := time.Now()
	var clients sync.WaitGroup
	at := func(when time.Duration, f func()) {
		clients.Go(func() { time.Sleep(time.Until(start.Add(when))); f() })
	}
	for when := time.Duration(0); when < end; when += interval {
		page := fmt.Sprintf("/stock/depot-%d", rand.IntN(pages))
		at(when, func() { t.read(r, start, page) })
	}
	for range readers {
		at(burstAt+time.Duration(rand.Int64N(int64(burstWithin))), func() { t.read(r, start, newPage) })
	}
	for when := burstAt + time.Second; when < end; when += readInterval {
		at(when, func() { t.read(r, start, newPage) })
	}
	if os.Getenv("TROUBLE") != "0" {
		at(crashAt, func() { crash(r, record) })
	}
	clients.Wait()
	return t.judge(record)
}

// runTime returns the running time of a request. Those for the usual pages vary by half around the mean.
func runTime(path string) time.Duration {
	if path == newPage {
		return maxWork
	}
	return time.Duration(float64(work) * (0.5 + rand.Float64()))
}

// crash takes down the endpoints of the zone together, and starts them again later.
func crash(r *rig.Rig, record *rig.Record) {
	var crashed sync.WaitGroup
	for _, m := range r.Machines {
		if m.Zone != zone {
			continue
		}
		crashed.Go(m.Endpoint.Crash)
		time.AfterFunc(downFor, func() {
			if err := m.Endpoint.Start(true); err != nil {
				record.Say("an endpoint can't start again: %v", err)
			}
		})
	}
	crashed.Wait()
}

// read is a client that reads a page at a machine that gets clients. It retries once within its deadline, as the pages say.
func (t *totals) read(r *rig.Rig, start time.Time, page string) {
	until := time.Now().Add(deadline)
	for range 2 {
		m := r.Machines[rand.IntN(len(r.Machines))]
		if !m.GetsClients() {
			continue
		}
		a := r.Send(m, http.MethodGet, host, page, nil, time.Until(until))
		t.count(a, page, time.Since(start))
		if a.Status == http.StatusOK || a.Status == 400 || a.Status == 401 || a.Status == 404 || a.Status == 413 || a.Status == 431 {
			return
		}
		time.Sleep(a.RetryAfter)
		if time.Until(until) < 100*time.Millisecond {
			return
		}
	}
}

// count counts the answer to an attempt.
func (t *totals) count(a rig.Answer, page string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	own := a.Status >= 300 && a.Status < 500 && !a.Signed
	switch {
	case own && a.Status != 408 && a.Status != 421 && a.Status != 429:
		t.denied[fmt.Sprintf("%d for %s", a.Status, page)]++
		t.deniedByMachine[a.Machine.Name]++
		if t.firstDenied == 0 {
			t.firstDenied = at
		}
		t.lastDenied = at
	case a.Status == http.StatusOK && a.Signed:
		t.served[page]++
	}
}

// judge applies the rule: at most 5 and one in 500 of all requests may be denied. All machines are in touch all the time.
func (t *totals) judge(record *rig.Record) int {
	denied, served := 0, 0
	for what, n := range t.denied {
		record.Say("denied: %d times %s", n, what)
		denied += n
	}
	for _, n := range t.served {
		served += n
	}
	allowed := 5 + t.attempts/500
	record.Say("%d requests, %d served (%d of them %s), %d denied by %d machines, %d allowed", t.attempts, served, t.served[newPage], newPage, denied, len(t.deniedByMachine), allowed)
	if served == 0 {
		record.Say("can't judge: nothing was served")
		return 2
	}
	if denied > allowed {
		record.Say("DENIED is broken: from %.1f s to %.1f s after the start; the endpoints were down from %.1f s to %.1f s",
			t.firstDenied.Seconds(), t.lastDenied.Seconds(), crashAt.Seconds(), (crashAt + downFor).Seconds())
		return 1
	}
	record.Say("DENIED holds")
	return 0
}
