package audit

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

func TestTrailDropsOldestRecords(t *testing.T) {
	trail := New(3, zerolog.Nop())
	for i := range 5 {
		trail.Add(Record{Kind: Applied, Revision: uint64(i + 1)})
	}
	tests := []struct {
		since uint64
		want  string
	}{
		{0, "3 4 5"},
		{2, "3 4 5"},
		{3, "4 5"},
		{5, ""},
		{^uint64(0), ""},
	}
	for _, tt := range tests {
		var got []string
		for _, r := range trail.Since(tt.since) {
			if r.Seq != r.Revision || r.Time.IsZero() {
				t.Errorf("record %+v: wrong sequence number or zero time", r)
			}
			got = append(got, fmt.Sprint(r.Seq))
		}
		if strings.Join(got, " ") != tt.want {
			t.Errorf("Since(%d) = %v, want %q", tt.since, got, tt.want)
		}
	}
}

func TestTrailLogsOneLinePerRecord(t *testing.T) {
	var buf bytes.Buffer
	trail := New(1, zerolog.New(&buf))
	trail.Add(Record{Kind: Applied, Revision: 7})
	trail.Add(Record{Kind: Refused, Remedy: "publish again"})
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[1], `"level":"warn"`) || !strings.Contains(lines[1], "publish again") {
		t.Fatalf("log lines %q; want two, the second at level warn with the remedy", lines)
	}
}

func TestTrailConcurrentUse(t *testing.T) {
	trail := New(64, zerolog.Nop())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				trail.Add(Record{Kind: StateChange})
				trail.Since(10)
			}
		})
	}
	wg.Wait()
	got := trail.Since(0)
	if trail.Last() != 800 || trail.Count(StateChange) != 800 || trail.Count(Applied) != 0 || len(got) != 64 || got[0].Seq != 737 {
		t.Fatalf("Last() = %d, Since(0) returned %d records", trail.Last(), len(got))
	}
}

func ExampleTrail() {
	trail := New(100, zerolog.Nop())
	trail.Add(Record{Kind: Applied, Subject: "catalogue", Revision: 41})
	for _, r := range trail.Since(0) {
		fmt.Println(r.Seq, r.Kind, r.Revision)
	}
	// Output: 1 applied 41
}
