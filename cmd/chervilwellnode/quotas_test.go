package main

import (
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/quota/exchange"
)

func TestQuotasArePrinted(t *testing.T) {
	status := exchange.Status{Collector: "10.0.0.1", Fresh: true, AgeSeconds: 0.2, Processes: 78, Reporting: 39, Top: true, Organisations: []exchange.OrganisationStatus{
		{Organisation: "idle", PerSecond: 7, Burst: 7, Fraction: 1, Allowance: 2},
		{Organisation: "o", PerSecond: 216, Burst: 100, Offered: 50, Admitted: 40, Fraction: 0.25, Allowance: 3, Demand: 600, Level: -4},
	}}
	for _, test := range []struct {
		organisation string
		fresh        bool
		want         []string
		lines        int
	}{
		{"", true, []string{"collector: 10.0.0.1, last reply to a report 0.200 s ago", `"o"           216   100    50       40        0         0.250     3          600.0   -4.0`}, 4},
		{"idle", true, []string{`"idle"`, "7"}, 4},
		{"none", true, nil, 3},
		{"o", false, []string{"collector: none; only this process's part"}, 4},
	} {
		var out strings.Builder
		status.Fresh = test.fresh
		if err := printQuotas(&out, status, test.organisation); err != nil {
			t.Fatal(err)
		}
		for _, want := range test.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q: printed\n%s, want %q", test.organisation, out.String(), want)
			}
		}
		if got := strings.Count(out.String(), "\n"); got != test.lines {
			t.Errorf("%q: %d lines, want %d", test.organisation, got, test.lines)
		}
	}
}
