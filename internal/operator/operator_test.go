package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

var noon = time.Date(2026, 1, 15, 12, 0, 0, 0, time.UTC)

type fakeProcess struct{ state chart.State }

func (p *fakeProcess) State() chart.State { return p.state }

type fakeDistributor struct{}

func (fakeDistributor) Status() distribution.Status {
	return distribution.Status{Phase: "synced", Role: distribution.RoleReader, Members: 4, Reads: []string{"manifest"}}
}

// bench is a handler over a holder that the test fills.
type bench struct {
	*Handler
	t       *testing.T
	holder  *snapshot.Holder
	trail   *audit.Trail
	budget  *Budget
	process *fakeProcess
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, holder: snapshot.NewHolder(), trail: audit.New(0, zerolog.Nop()), process: &fakeProcess{charts.ProcessServing}}
	registry := prometheus.NewRegistry()
	b.budget = NewBudget(b.holder, b.trail, registry)
	b.Handler = New(Config{
		Identity: Identity{Instance: "obb-muc-1", FailureDomain: "obb-muc", Service: "lagerstand"},
		Holder:   b.holder, Trail: b.trail, Process: b.process, Distribution: fakeDistributor{}, Budget: b.budget,
		Registerer: registry, Gatherer: registry, Now: func() time.Time { return noon }, Log: zerolog.Nop(),
	})
	return b
}

// publish puts the Streusalz catalogue, changed by change, in force.
func (b *bench) publish(change func(*catalogue.Catalogue)) {
	b.t.Helper()
	c, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		b.t.Fatal(err)
	}
	change(c)
	doc, err := catalogue.Encode(c)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := b.holder.Accept(doc); err != nil {
		b.t.Fatal(err)
	}
	b.budget.Look(noon)
}

// list puts instances of lagerstand and disposition in force, one of each in each failure domain.
func (b *bench) list(domains ...string) {
	b.t.Helper()
	var docs []*document.Document
	for _, domain := range domains {
		list := origin.InstanceList{FailureDomain: domain, Version: 1}
		for i, service := range []string{"lagerstand", "disposition"} {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			list.Instances = append(list.Instances, origin.Instance{
				Name: name, FailureDomain: domain, Service: service, State: origin.Live, PeerAddr: "10.0.0.1:1", RequestAddr: "10.0.0.1:2",
			})
		}
		doc, err := snapshot.EncodeInstances(list)
		if err != nil {
			b.t.Fatal(err)
		}
		docs = append(docs, doc)
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		b.t.Fatal(err)
	}
	b.holder.SetEndpoints(endpoints)
}

func (b *bench) get(target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w
}

// golden compares an answer in JSON with the file of the given name.
func (b *bench) golden(name, target string) {
	b.t.Helper()
	w := b.get(target)
	var out bytes.Buffer
	if err := json.Indent(&out, w.Body.Bytes(), "", "  "); err != nil || w.Code != http.StatusOK {
		b.t.Fatalf("%s: status %d, %v", target, w.Code, err)
	}
	// The digest is that of the catalogue in force; the file calls it so, since its value depends on the encoding.
	digest := b.holder.Load().Config.Version().Digest.String()
	goldie.New(b.t).Assert(b.t, name, bytes.ReplaceAll(out.Bytes(), []byte(digest), []byte("DIGEST-IN-FORCE")))
}

func changed(c *catalogue.Catalogue) {
	c.Revision = 2
	c.Regions[0].FailureDomains[1].State = catalogue.Out
	c.Instances = []catalogue.InstanceState{{Name: "nbb-la-1", State: catalogue.Out}}
	c.Routes[0].HomeRegions = []string{"obb"}
	c.Organisations[0].ChangesPerDay = 1
	c.Services[0].Limits.Queue++
}

func TestAnswers(t *testing.T) {
	b := newBench(t)
	b.publish(func(*catalogue.Catalogue) {})
	b.list("obb-muc", "obb-ro", "nbb-la")
	b.publish(changed)
	b.trail.Add(audit.Record{Time: noon, Kind: audit.RevertedSource, Subject: "catalogue", Detail: "revision 1 offered", Revision: 1})
	b.golden("status", PathStatus)
	b.golden("audit", PathAudit+"?since=1")
	b.golden("instances", PathInstances+"?service=lagerstand")
	b.golden("explain", PathExplain+"?service=lagerstand&organisation=haulier-b&region=obb")
	b.golden("explain-other-region", PathExplain+"?service=lagerstand&region=nbb")
}

func TestReadiness(t *testing.T) {
	b := newBench(t)
	for state, want := range map[chart.State]int{
		charts.ProcessStarting: 503, charts.ProcessJoining: 503, charts.ProcessServing: 200, charts.ProcessDraining: 503,
	} {
		b.process.state = state
		if w := b.get(PathReady); w.Code != want || strings.TrimSpace(w.Body.String()) != string(state) {
			t.Errorf("%s: ready answers %d %q", state, w.Code, w.Body)
		}
		if w := b.get(PathHealth); w.Code != 200 {
			t.Errorf("%s: health answers %d", state, w.Code)
		}
	}
}

func TestRefusals(t *testing.T) {
	empty, full := newBench(t), newBench(t)
	full.publish(func(*catalogue.Catalogue) {})
	tests := []struct {
		bench  *bench
		target string
		want   int
	}{
		{empty, PathStatus, 200},
		{empty, PathInstances, 200},
		{empty, PathExplain + "?service=lagerstand", 503},
		{full, PathExplain, 400},
		{full, PathExplain + "?service=nothing", 404},
		{full, PathExplain + "?service=lagerstand&organisation=nobody", 404},
		{full, PathExplain + "?service=lagerstand&region=moon", 404},
		{full, PathExplain + "?service=lagerstand&colour=red", 400},
		{full, PathAudit + "?since=-1", 400},
		{full, "/v1/nothing", 404},
	}
	for _, tt := range tests {
		w := tt.bench.get(tt.target)
		if w.Code != tt.want {
			t.Errorf("%s answers %d, want %d", tt.target, w.Code, tt.want)
		}
		var body ErrorBody
		if strings.HasPrefix(tt.target, PathExplain) && (json.Unmarshal(w.Body.Bytes(), &body) != nil || body.Remedy == "") {
			t.Errorf("%s: no remedy in %q", tt.target, w.Body)
		}
	}
}

func TestBudgetCountsADay(t *testing.T) {
	b := newBench(t)
	b.publish(func(*catalogue.Catalogue) {})
	b.publish(changed)
	if got := b.budget.Today(noon, "haulier-a"); got != 3 {
		t.Fatalf("%d changes counted, want 3", got)
	}
	if got := b.trail.Count(audit.Budget); got != 1 {
		t.Fatalf("%d records of a budget exceeded, want 1", got)
	}
	body := b.get(PathMetrics).Body.String()
	for _, want := range []string{
		`chervilwell_organisation_changes_today{organisation="haulier-a"} 3`, `chervilwell_audit_records_total{kind="budget"} 1`,
		"chervilwell_ready 1", `chervilwell_process_state{state="serving"} 1`, "chervilwell_platform_failing 0",
		`chervilwell_open_alerts{organisation="haulier-c"} 1`, "chervilwell_instances_known 0",
	} {
		if !strings.Contains(body, want+"\n") {
			t.Errorf("metrics lack %s", want)
		}
	}
	if got := b.budget.Today(noon.Add(12*time.Hour), "haulier-a"); got != 0 {
		t.Fatalf("%d changes counted on the next day", got)
	}
}
