// Command deadly sends a request that crashes each endpoint that begins to run it, again and again. It shows how often it is passed on. It exits with 1 if the rule BUDGET was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/review/harness3/rig"
)

const (
	host = "lager.example"
	page = "/stock/overview"
	// service is that of the endpoints, from that of the machines at which the page is read: a request that comes again has the same caller.
	service, from = "lagerstand", "disposition"
	// work is the mean running time of a request; it varies by half.
	work     = 160 * time.Millisecond
	deadline = 2 * time.Second
	// The page is deadly from turnAt on. Endpoints are back after downFor.
	turnAt  = 15 * time.Second
	downFor = 3 * time.Second
	end     = 50 * time.Second
	// Orders, which may run once at most, are sent at each orderInterval.
	orderInterval = 50 * time.Millisecond
	// stability is StabilityWindowS. Of the retries sent later than that after the third crash, allowed may reach endpoints.
	stability = 3 * time.Second
	allowed   = 3
)

// watch holds what the judge needs.
type watch struct {
	deadly atomic.Bool

	mu      sync.Mutex
	crashes []time.Time
	sent    map[string]time.Time // of the attempts for the page, by ID
	orders  map[bool]map[string]int
}

func main() {
	dir := flag.String("dir", "review/11", "folder of the case")
	answers := flag.Bool("answers", false, "an endpoint answers the request with a failure before it crashes")
	after := flag.Duration("crash-after", 0, "time to the crash, from the answer or else from the moment at which an endpoint begins to run the request")
	readFrom := flag.Duration("read-from", 0, "time from the start to the first reading of the page; it turns deadly at "+turnAt.String())
	interval := flag.Duration("read-interval", 125*time.Millisecond, "time between two readings of the page")
	flag.Parse()
	os.Exit(run(*dir, rig.Deadly{Answers: *answers, After: *after, DownFor: downFor}, *readFrom, *interval))
}

func run(dir string, deadly rig.Deadly, readFrom, readInterval time.Duration) int {
	record, err := rig.NewRecord(dir + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	w := &watch{sent: map[string]time.Time{}, orders: map[bool]map[string]int{false: {}, true: {}}}
	config := rig.Config("00000007", host,
		rig.Route{Name: "r-stock", Prefix: "/stock/", Kind: "safe", Service: service}, rig.Route{Name: "r-order", Prefix: "/order/", Kind: "unsafe", Service: service})
	r, err := rig.Start(record, func(string) time.Duration { return time.Duration(float64(work) * (0.5 + rand.Float64())) }, config)
	if err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	defer r.Stop()
	deadly.Selects = func(path string) bool { return path == page && w.deadly.Load() }
	deadly.Crashed = w.crashed
	var readers []*rig.Machine
	for _, m := range r.Machines {
		switch m.Endpoint.Service {
		case from:
			readers = append(readers, m)
		case service:
			m.Endpoint.SetDeadly(&deadly)
		}
	}
	start := time.Now()
	var clients sync.WaitGroup
	at := func(when time.Duration, f func()) {
		clients.Go(func() { time.Sleep(time.Until(start.Add(when))); f() })
	}
	for when := readFrom; when < end; when += readInterval {
		at(when, func() { w.read(r, readers[rand.IntN(len(readers))]) })
	}
	for when := time.Duration(0); when < end; when += orderInterval {
		number := int(when / orderInterval)
		at(when, func() { w.order(r, number, time.Since(start) >= turnAt) })
	}
	if os.Getenv("TROUBLE") != "0" {
		at(turnAt, func() {
			record.Write("the page is deadly from now on")
			w.deadly.Store(true)
		})
	}
	clients.Wait()
	return w.judge(record)
}

func (w *watch) crashed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
}

// read reads the page once at a machine that gets clients.
func (w *watch) read(r *rig.Rig, m *rig.Machine) {
	if !m.GetsClients() {
		return
	}
	sent := time.Now()
	a := r.Send(m, http.MethodGet, host, page, nil, deadline)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[a.Attempt] = sent
}

// order sends an order once, at any machine that gets clients.
func (w *watch) order(r *rig.Rig, number int, turned bool) {
	m := r.Machines[rand.IntN(len(r.Machines))]
	if !m.GetsClients() {
		return
	}
	a := r.Send(m, http.MethodPost, host, "/order/", strings.NewReader(fmt.Sprintf("order %d", number)), deadline)
	answer := "no answer"
	if a.Status != 0 {
		answer = fmt.Sprint(a.Status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders[turned][answer]++
}

// judge applies the rule to the page, which has one caller: the retries that reach endpoints though they were sent later than stability after
// the third crash.
func (w *watch) judge(record *rig.Record) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	record.Say("orders by answer, before the page is deadly: %v, from then on: %v", w.orders[false], w.orders[true])
	if w.orders[false]["200"] == 0 {
		record.Say("can't judge: nothing was served")
		return 2
	}
	if len(w.crashes) < 3 {
		record.Say("%d crashes; BUDGET holds", len(w.crashes))
		return 0
	}
	late := 0
	for attempt, sent := range w.sent {
		if sent.Sub(w.crashes[2]) > stability && len(record.Runs(attempt)) > 0 {
			late++
		}
	}
	first, last := w.crashes[0], w.crashes[len(w.crashes)-1]
	record.Say("%d crashes within %.1f s, %d late retries reached endpoints, %d may", len(w.crashes), last.Sub(first).Seconds(), late, allowed)
	if late > allowed {
		record.Say("BUDGET is broken")
		return 1
	}
	record.Say("BUDGET holds")
	return 0
}
