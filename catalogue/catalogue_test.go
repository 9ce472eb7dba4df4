package catalogue

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/chervilwell/chervilwell/examples"
)

func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// streusalz returns a valid catalogue that the test may change.
func streusalz(t testing.TB) *Catalogue {
	t.Helper()
	c, err := Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// largeCatalogue returns a valid catalogue with n services and n routes.
func largeCatalogue(t testing.TB, n int) *Catalogue {
	c := streusalz(t)
	service, route := c.Services[0], c.Routes[0]
	c.Services, c.Routes = nil, nil
	for i := range n {
		service.Name = fmt.Sprintf("service-%04d", i)
		route.Name = fmt.Sprintf("route-%04d", i)
		route.Service = service.Name
		route.HomeRegions = []string{"obb"}
		route.Match.PathPrefix = fmt.Sprintf("/service-%04d/", i)
		c.Services = append(c.Services, service)
		c.Routes = append(c.Routes, route)
	}
	return c
}

func TestExamplesAreValid(t *testing.T) {
	for name, data := range map[string][]byte{"streusalz": examples.Streusalz, "pikkulusikka": examples.Pikkulusikka} {
		_, warnings, err := Validate(name, data)
		if err != nil || len(warnings) > 0 {
			t.Errorf("%s: error %v, warnings %v", name, err, warnings)
		}
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	for _, name := range []string{"bad-values", "bad-homes", "bad-fields"} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(name+".jsonc", readTestdata(t, name+".jsonc"))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error is %v", err)
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestWarnings(t *testing.T) {
	_, warnings, err := Validate("warn.jsonc", readTestdata(t, "warn.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "warn", []byte(warnings.Error()+"\n"))
}

func TestCheckRejectsNonFiniteShares(t *testing.T) {
	c := streusalz(t)
	c.Organisations[0].Share = math.NaN()
	c.Organisations[1].LinkShare = math.Inf(1)
	err := Check(c)
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Fatalf("error is %v", err)
	}
}

// Operators must be able to take all failure domains out of service in an emergency: Check accepts this, and Warnings reports it.
func TestCheckAcceptsAllDomainsOutOfService(t *testing.T) {
	c := streusalz(t)
	c.Routes[0].HomeRegions = []string{"obb"}
	for i := range c.Regions {
		for j := range c.Regions[i].FailureDomains {
			c.Regions[i].FailureDomains[j].State = OutOfService
		}
	}
	if err := Check(c); err != nil {
		t.Fatal(err)
	}
	if len(Warnings(c)) != 4 {
		t.Fatalf("warnings %v", Warnings(c))
	}
}

func BenchmarkCheck(b *testing.B) {
	c := largeCatalogue(b, 2200)
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(c); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Streusalz)
	f.Add(examples.Pikkulusikka)
	files, _ := filepath.Glob("testdata/*.jsonc")
	for _, file := range files {
		f.Add(readTestdata(f, filepath.Base(file)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse("fuzz", data)
		var problems Problems
		switch {
		case err != nil && !errors.As(err, &problems):
			t.Fatalf("error is %T", err)
		case err == nil && Check(c) != nil:
			t.Fatalf("Parse accepted a catalogue that Check rejects: %v", Check(c))
		}
	})
}
