package refusal

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/internal/headers"
)

func TestEveryKindIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	for kind, status := range Statuses() {
		row := fmt.Sprintf("| `%s` | %d | %s |", kind, status, New(kind, "").Remedy)
		if New(kind, "").Remedy == "" || !strings.Contains(string(page), row) {
			t.Errorf("docs/operate/refusals.md lacks the row %s", row)
		}
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	sent := Unknown(KeyHeldElsewhere, "held by %q", "obb-muc-1")
	sent.Holder = "obb-muc-1"
	w := httptest.NewRecorder()
	sent.Write(w)
	got := FromResponse(w.Result())
	if *got != *sent {
		t.Fatalf("got %+v, want %+v", got, sent)
	}
	if headers.ParseRun("forged") != headers.Unknown {
		t.Fatal("unknown run state was not parsed as Unknown")
	}
}
