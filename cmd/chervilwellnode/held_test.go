package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/proxy"
)

func TestHeldRequestsArePrinted(t *testing.T) {
	at := time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	want := []proxy.HeldRequest{{
		Fingerprint: "00000000000000ff", State: "quarantined", Crashes: 2, Since: at, Until: at.Add(time.Hour), Request: "GET h.example/\x1b[2Jx from s",
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != proxy.HeldPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(want)
	}))
	defer server.Close()
	held, err := fetchHeld(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := printHeld(&out, held); err != nil {
		t.Fatal(err)
	}
	line := `00000000000000ff  quarantined  2        2026-01-31T08:00:00Z  2026-01-31T09:00:00Z  "GET h.example/\x1b[2Jx from s"`
	if !strings.HasSuffix(out.String(), line+"\n") || strings.Count(out.String(), "\n") != 2 {
		t.Fatalf("printed\n%s", out.String())
	}
}

func TestHeldRequestsOfWrongAddress(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	for _, addr := range []string{strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:1", "not an address"} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if _, err := fetchHeld(ctx, addr); !errors.Is(err, ErrHeld) {
			t.Errorf("%s: %v", addr, err)
		}
		cancel()
	}
}
