package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// openLoop offers requests of organisations at Poisson rates to one gate and measures their latencies.
type openLoop struct {
	rng     *rand.Rand
	gate    *Gate
	service time.Duration
	runs    []run
	arrived map[ID]time.Time
	owner   map[ID]string
	latency map[string][]time.Duration
}

func (m *openLoop) begin(now time.Time, id ID) {
	took := float64(m.service) * math.Exp(0.3*m.rng.NormFloat64())
	m.runs = append(m.runs, run{id, now.Add(time.Duration(took))})
}

func (m *openLoop) apply(now time.Time, c Changes) {
	for _, id := range c.Granted {
		m.begin(now, id)
	}
}

// endUntil ends all runs that end by the given time.
func (m *openLoop) endUntil(by time.Time) {
	for {
		slices.SortFunc(m.runs, func(a, b run) int { return a.end.Compare(b.end) })
		if len(m.runs) == 0 || m.runs[0].end.After(by) {
			return
		}
		r := m.runs[0]
		m.runs = m.runs[1:]
		org := m.owner[r.id]
		m.latency[org] = append(m.latency[org], r.end.Sub(m.arrived[r.id]))
		m.apply(r.end, m.gate.Finish(r.end, r.id, Outcome{Result: OK}))
	}
}

// p99 simulates the rates, in calls per second, and returns an organisation's latency at the 99th percentile.
func p99(seed uint64, service time.Duration, shares Shares, rates map[string]float64, of string) time.Duration {
	m := &openLoop{
		rng: rand.New(rand.NewPCG(seed, 5)), gate: New(epoch, limits(20, 20, 40, 0), shares), service: service,
		arrived: map[ID]time.Time{}, owner: map[ID]string{}, latency: map[string][]time.Duration{},
	}
	total := 0.0
	var orgs []string
	for org, rate := range rates {
		total += rate
		orgs = append(orgs, org)
	}
	slices.Sort(orgs)
	now := epoch
	for id := ID(1); now.Before(epoch.Add(30 * time.Second)); id++ {
		now = now.Add(time.Duration(m.rng.ExpFloat64() / total * float64(time.Second)))
		m.endUntil(now)
		x := m.rng.Float64() * total
		for _, org := range orgs {
			if x -= rates[org]; x < 0 {
				m.owner[id] = org
				break
			}
		}
		m.arrived[id] = now
		d := m.gate.Offer(now, Request{ID: id, Organisation: m.owner[id], Deadline: now.Add(800 * time.Millisecond)})
		m.apply(now, d.Changes)
		if d.Verdict == Admitted {
			m.begin(now, id)
		}
	}
	got := m.latency[of]
	slices.Sort(got)
	return got[len(got)*99/100]
}

// The p99 latency of an organisation within its share must not rise by more than 30 % while another offers ten times
// its own share.
func TestLightOrganisationIsNotDelayed(t *testing.T) {
	shares := Shares{"a": 0.4, "b": 0.3, "c": 0.3}
	for _, service := range []time.Duration{30 * time.Millisecond, 200 * time.Millisecond} {
		checkLight(t, shares, service)
	}
}

func checkLight(t *testing.T, shares Shares, service time.Duration) {
	full := 20 / service.Seconds()
	for seed := range uint64(5) {
		light := map[string]float64{"b": 0.24 * full, "c": 0.24 * full}
		alone := p99(seed, service, shares, light, "b")
		light["a"] = 4 * full
		contended := p99(seed, service, shares, light, "b")
		if ratio := float64(contended) / float64(alone); ratio > 1.3 {
			t.Errorf("service %v seed %d: p99 %v beside a heavy organisation, %v alone: ratio %.2f", service, seed, contended, alone, ratio)
		}
	}
}
