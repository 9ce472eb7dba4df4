package logging

import (
	"strings"
	"testing"
)

func TestPairs(t *testing.T) {
	var out strings.Builder
	log, err := New(&out, "info", "obb-muc-1")
	if err != nil {
		t.Fatal(err)
	}
	log.Debug().Msg("dropped")
	log.Info().Str("reason", `two words and a "quote"`).Int("revision", 7).Msg("applied snapshot")
	line := out.String()
	for _, want := range []string{"time=", "level=info", `msg="applied snapshot"`, "instance=obb-muc-1", "revision=7", `reason="two words and a \"quote\""`} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q lacks %s", line, want)
		}
	}
	if strings.Count(line, "\n") != 1 {
		t.Errorf("want one line, got %q", line)
	}
	if _, err := New(&out, "loud", ""); err == nil || !strings.Contains(err.Error(), "use trace") {
		t.Errorf("unknown level: got %v", err)
	}
}
