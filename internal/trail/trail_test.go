package trail

import (
	"os"
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/internal/events"
)

const logText = `  22.0012 n2 time=2026-03-31T07:10:37.000Z level=info msg="call refused" instance=n2 request=r1 route=a priority=2 reason=busy running=18 waiting=9 slots=18 wait=61.5 cold=false left=900 back=61 revision=40
time=2026-03-31T07:10:37.001Z level=info msg="attempt ended" instance=n1 request=r1 target=i-1 run=not-run reason=busy
time=2026-03-31T07:10:37.002Z level=warn msg="request refused" instance=n1 request=r1 status=503 reason=busy tried=i-1 took=3.2
time=2026-03-31T07:10:37.003Z level=warn msg="request refused" instance=n1 request=r10 status=503 reason=no-target
not a daemon line r1
time=bad msg=x request=r1
`

func TestCollectAndWrite(t *testing.T) {
	lines, err := Collect("r1", strings.NewReader(logText))
	if err != nil || len(lines) != 3 {
		t.Fatalf("got %d lines, %v", len(lines), err)
	}
	if lines[0].Event != events.CallRefused || lines[0].Instance != "n2" || lines[0].Get("waiting") != "9" {
		t.Errorf("got %+v", lines[0])
	}
	var out strings.Builder
	if err := Write(&out, lines); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"+0.000 s  n2", "waiting: 9", "+0.002 s  n1", "cause: request refused with status 503 (busy): no gate expected a free slot"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q does not contain %q", out.String(), want)
		}
	}
}

func TestCauseOfEachOutcome(t *testing.T) {
	for text, want := range map[string]string{
		`msg="request answered" status=200 target=i-1 took=12`:                   "answered with status 200 by i-1",
		`msg="no route" host=h path=/x config=4`:                                 "configuration 4 has no route for h/x",
		`msg="key refused" route=a config=4 age=12`:                              "no organisation of configuration 4",
		`msg="organisation is over its quota" organisation=o cause=over-quota`:   "status 429 by the quota of organisation o: it exceeds",
		`msg="organisation is over its quota" organisation=o cause=no-collector`: "admits only its part",
		`msg="organisation is over its quota" organisation=o cause=unreported`:   "between two reports",
		`msg="request failed" status=502 reason=peer-broken`:                     "it is not known whether the request ran",
		`msg="request failed" status=500 reason=- target=i-2`:                    "target i-2 returned this status itself",
		`msg="attempt ended" reason=busy`:                                        "the logs do not show how the request ended",
		`msg="request refused" status=503 reason=no-configuration`:               "had just started",
	} {
		l, err := Parse("time=2026-03-31T07:10:37.000Z level=info " + text + " request=r")
		if err != nil {
			t.Fatal(err)
		}
		if got := Cause([]Line{l}); !strings.Contains(got, want) {
			t.Errorf("%s: got %q", text, got)
		}
	}
}

func TestRefusalByQuotaIsExplainedByItsOwnLine(t *testing.T) {
	text := `time=2026-03-31T07:10:37.000Z level=info msg="organisation is over its quota" request=r organisation=o cause=over-quota rate=10 burst=5 fraction=0.25
time=2026-03-31T07:10:37.000Z level=warn msg="request refused" request=r status=429 reason=over-quota`
	lines, err := Collect("r", strings.NewReader(text))
	if want := "exceeds 10 requests per second with a burst of 5 over all processes, of which a fraction of 0.25"; err != nil || !strings.Contains(Cause(lines), want) {
		t.Errorf("got %q, %v, want %q", Cause(lines), err, want)
	}
}

// Regression: an error response of the target was explained with the reason of an earlier attempt.
func TestResponseOfTargetIsNotExplainedByEarlierAttempt(t *testing.T) {
	var lines []Line
	for _, text := range []string{
		`time=2026-03-31T07:10:37.000Z level=info msg="attempt ended" request=r target=i-1 reason=busy`,
		`time=2026-03-31T07:10:37.100Z level=warn msg="request failed" request=r status=504 reason=- target=i-2`,
	} {
		l, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
	}
	if got := Cause(lines); !strings.Contains(got, "target i-2 returned this status itself") {
		t.Errorf("got %q", got)
	}
}

func TestEveryReasonHasACause(t *testing.T) {
	text, err := os.ReadFile("../../proxy/call.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, line := range strings.Split(string(text), "\n") {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if !ok || !strings.HasPrefix(name, "reason") || strings.Contains(name, "reasonNone") {
			continue
		}
		found++
		if reason := strings.Trim(strings.TrimSpace(value), `"`); causes[reason] == "" {
			t.Errorf("reason %q has no cause", reason)
		}
	}
	if found < 10 {
		t.Errorf("found only %d reasons in call.go, want at least 10", found)
	}
}
