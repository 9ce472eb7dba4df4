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

// fixture is a handler with its dependencies, whose snapshot the test sets.
type fixture struct {
	*Handler
	t       *testing.T
	holder  *snapshot.Holder
	trail   *audit.Trail
	budget  *Budget
	process *fakeProcess
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, holder: snapshot.NewHolder(), trail: audit.New(0, zerolog.Nop()), process: &fakeProcess{charts.ProcessServing}}
	registry := prometheus.NewRegistry()
	f.budget = NewBudget(f.holder, f.trail, registry)
	f.Handler = New(Config{
		Identity: Identity{Instance: "obb-muc-1", FailureDomain: "obb-muc", Service: "lagerstand"},
		Holder:   f.holder, Trail: f.trail, Process: f.process, Distribution: fakeDistributor{}, Budget: f.budget,
		Registerer: registry, Gatherer: registry, Now: func() time.Time { return noon }, Log: zerolog.Nop(),
	})
	return f
}

// publish puts the Streusalz catalogue in force after applying change to it, and updates the budget.
func (f *fixture) publish(change func(*catalogue.Catalogue)) {
	f.t.Helper()
	c, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		f.t.Fatal(err)
	}
	change(c)
	doc, err := catalogue.Encode(c)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.holder.Accept(doc); err != nil {
		f.t.Fatal(err)
	}
	f.budget.Update(noon)
}

// setInstances puts lists in force with one instance each of lagerstand and disposition per failure domain.
func (f *fixture) setInstances(domains ...string) {
	f.t.Helper()
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
			f.t.Fatal(err)
		}
		docs = append(docs, doc)
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		f.t.Fatal(err)
	}
	f.holder.SetEndpoints(endpoints)
}

// get returns the response to a GET request.
func (f *fixture) get(target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w
}

// assertGolden compares the JSON response of target with the golden file of the given name.
func (f *fixture) assertGolden(name, target string) {
	f.t.Helper()
	w := f.get(target)
	var out bytes.Buffer
	if err := json.Indent(&out, w.Body.Bytes(), "", "  "); err != nil || w.Code != http.StatusOK {
		f.t.Fatalf("%s: status %d, %v", target, w.Code, err)
	}
	// The golden files contain DIGEST-IN-FORCE instead of the digest, since its value depends on the encoding.
	digest := f.holder.Load().Config.Version().Digest.String()
	goldie.New(f.t).Assert(f.t, name, bytes.ReplaceAll(out.Bytes(), []byte(digest), []byte("DIGEST-IN-FORCE")))
}

// applyChanges changes the catalogue. Three of the changes belong to haulier-a.
func applyChanges(c *catalogue.Catalogue) {
	c.Revision = 2
	c.Regions[0].FailureDomains[1].State = catalogue.OutOfService
	c.Instances = []catalogue.InstanceState{{Name: "nbb-la-1", State: catalogue.OutOfService}}
	c.Routes[0].HomeRegions = []string{"obb"}
	c.Organisations[0].ChangesPerDay = 1
	c.Services[0].Limits.Queue++
}

func TestResponses(t *testing.T) {
	f := newFixture(t)
	f.publish(func(*catalogue.Catalogue) {})
	f.setInstances("obb-muc", "obb-ro", "nbb-la")
	f.publish(applyChanges)
	f.trail.Add(audit.Record{Time: noon, Kind: audit.RevertedSource, Subject: "catalogue", Detail: "revision 1 offered", Revision: 1})
	f.assertGolden("status", PathStatus)
	f.assertGolden("audit", PathAudit+"?since=1")
	f.assertGolden("instances", PathInstances+"?service=lagerstand")
	f.assertGolden("explain", PathExplain+"?service=lagerstand&organisation=haulier-b&region=obb")
	f.assertGolden("explain-other-region", PathExplain+"?service=lagerstand&region=nbb")
}

func TestReadiness(t *testing.T) {
	f := newFixture(t)
	for state, want := range map[chart.State]int{
		charts.ProcessStarting: 503, charts.ProcessJoining: 503, charts.ProcessServing: 200, charts.ProcessDraining: 503,
	} {
		f.process.state = state
		if w := f.get(PathReady); w.Code != want || strings.TrimSpace(w.Body.String()) != string(state) {
			t.Errorf("%s: readiness returned %d %q", state, w.Code, w.Body)
		}
		if w := f.get(PathHealth); w.Code != 200 {
			t.Errorf("%s: health returned %d", state, w.Code)
		}
	}
}

func TestStatusCodes(t *testing.T) {
	empty, full := newFixture(t), newFixture(t)
	full.publish(func(*catalogue.Catalogue) {})
	tests := []struct {
		fixture *fixture
		target  string
		want    int
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
		w := tt.fixture.get(tt.target)
		if w.Code != tt.want {
			t.Errorf("%s returned %d, want %d", tt.target, w.Code, tt.want)
		}
		var body ErrorBody
		if strings.HasPrefix(tt.target, PathExplain) && (json.Unmarshal(w.Body.Bytes(), &body) != nil || body.Remedy == "") {
			t.Errorf("%s returned no remedy: %q", tt.target, w.Body)
		}
	}
}

func TestBudgetCountsChangesPerDay(t *testing.T) {
	f := newFixture(t)
	f.publish(func(*catalogue.Catalogue) {})
	f.publish(applyChanges)
	if got := f.budget.CountToday(noon, "haulier-a"); got != 3 {
		t.Fatalf("CountToday returned %d, want 3", got)
	}
	if got := f.trail.Count(audit.Budget); got != 1 {
		t.Fatalf("%d audit records of kind budget, want 1", got)
	}
	body := f.get(PathMetrics).Body.String()
	for _, want := range []string{
		`chervilwell_organisation_changes_today{organisation="haulier-a"} 3`, `chervilwell_audit_records_total{kind="budget"} 1`,
		"chervilwell_ready 1", `chervilwell_process_state{state="serving"} 1`, "chervilwell_platform_failing 0",
		`chervilwell_open_alerts{organisation="haulier-c"} 1`, "chervilwell_instances_known 0",
	} {
		if !strings.Contains(body, want+"\n") {
			t.Errorf("metrics do not contain %s", want)
		}
	}
	if got := f.budget.CountToday(noon.Add(12*time.Hour), "haulier-a"); got != 0 {
		t.Fatalf("CountToday returned %d on the next day, want 0", got)
	}
}
