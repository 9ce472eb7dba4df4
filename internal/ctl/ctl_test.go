package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/operator"
	"github.com/chervilwell/chervilwell/origin"
)

// runTool runs the tool and returns its exit code and its output, with standard error after the marker.
func runTool(args ...string) (string, int) {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, &stdout, &stderr)
	text := stdout.String()
	if stderr.Len() > 0 {
		text += "--- standard error\n" + stderr.String()
	}
	return text, code
}

// startFakeDaemon starts an HTTP server that responds with the golden files of package operator. It returns its address.
func startFakeDaemon(t *testing.T) string {
	t.Helper()
	goldens := map[string]string{
		operator.PathStatus + "?":                                                      "status",
		operator.PathAudit + "?since=1":                                                "audit",
		operator.PathInstances + "?failureDomain=&service=lagerstand":                  "instances",
		operator.PathExplain + "?organisation=haulier-b&region=obb&service=lagerstand": "explain",
		operator.PathExplain + "?organisation=&region=nbb&service=lagerstand":          "explain-other-region",
		operator.PathExplain + "?organisation=&region=&service=nothing":                "",
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := goldens[r.URL.Path+"?"+r.URL.RawQuery]
		if name == "" {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(operator.ErrorBody{Error: "service is unknown", Remedy: "name another"})
			return
		}
		http.ServeFile(w, r, filepath.Join("..", "operator", "testdata", name+".golden"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestOutput(t *testing.T) {
	addr := startFakeDaemon(t)
	tests := []struct {
		name string
		code int
		args []string
	}{
		{"validate-good", 0, []string{"validate", "../../examples/streusalz.jsonc"}},
		{"validate-bad", 1, []string{"validate", "../../catalogue/testdata/bad-homes.jsonc"}},
		{"validate-warn", 0, []string{"validate", "-json", "../../catalogue/testdata/warn.jsonc"}},
		{"diff-same", 0, []string{"diff", "../../examples/streusalz.jsonc", "../../examples/streusalz.jsonc"}},
		{"diff", 0, []string{"diff", "../../examples/streusalz.jsonc", "testdata/streusalz-2.jsonc"}},
		{"diff-older", 1, []string{"diff", "testdata/streusalz-2.jsonc", "../../examples/streusalz.jsonc"}},
		{"chart", 0, []string{"chart", "application"}},
		{"chart-unknown", 1, []string{"chart", "nothing"}},
		{"status", 0, []string{"status", "-addr", addr}},
		{"audit", 0, []string{"audit", "-addr", addr, "-since", "1"}},
		{"instances", 0, []string{"instances", "-addr", addr, "-service", "lagerstand"}},
		{"explain", 0, []string{"explain", "-addr", addr, "-service", "lagerstand", "-organisation", "haulier-b", "-region", "obb"}},
		{"explain-refused", 1, []string{"explain", "-addr", addr, "-service", "lagerstand", "-region", "nbb"}},
		{"explain-unknown", 1, []string{"explain", "-addr", addr, "-service", "nothing"}},
		{"help-validate", 0, []string{"help", "validate"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, code := runTool(tt.args...)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			goldie.New(t).Assert(t, tt.name, []byte(out))
		})
	}
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"nothing"},
		{"validate"},
		{"validate", "-colour", "x"},
		{"diff", "a"},
		{"render", "a"},
		{"render", "-out", "d"},
		{"chart"},
		{"status"},
		{"status", "-addr", "x:1", "more"},
		{"explain", "-addr", "x:1"},
		{"-colour"},
	} {
		if out, code := runTool(args...); code != 2 || out == "" {
			t.Errorf("%q: exit code %d, output %q", args, code, out)
		}
	}
}

func TestErrorMessages(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(server.URL, "http://")
	if out, code := runTool("status", "-addr", addr); code != 1 || !strings.Contains(out, "operator listener") {
		t.Errorf("server without the operator interface: exit code %d, %s", code, out)
	}
	server.Close()
	if out, code := runTool("status", "-addr", addr); code != 1 || !strings.Contains(out, "check -addr") {
		t.Errorf("stopped server: exit code %d, %s", code, out)
	}
	if out, code := runTool("validate", "testdata/none"); code != 1 || !strings.Contains(out, "readable file") {
		t.Errorf("missing file: exit code %d, %s", code, out)
	}
}

// TestRender checks that the rendered files assemble to a catalogue, that lower revisions are refused, and that nothing is
// written for an invalid catalogue.
func TestRender(t *testing.T) {
	dir := t.TempDir()
	if out, code := runTool("render", "-out", dir, "../../examples/streusalz.jsonc"); code != 0 {
		t.Fatalf("exit code %d: %s", code, out)
	}
	data, err := os.ReadFile(filepath.Join(dir, origin.ManifestKey))
	if err != nil {
		t.Fatal(err)
	}
	m, err := catalogue.ParseManifest(data)
	if err != nil {
		t.Fatal(err)
	}
	var chunks []catalogue.Chunk
	files, _ := filepath.Glob(filepath.Join(dir, origin.ChunkPrefix+"*"))
	for _, file := range files {
		c := catalogue.Chunk{}
		if c.Data, err = os.ReadFile(file); err != nil {
			t.Fatal(err)
		}
		if c.Digest, err = parseDigest(filepath.Base(file)); err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, c)
	}
	if _, err := catalogue.Assemble(m, nil, chunks); err != nil {
		t.Fatal(err)
	}
	if _, code := runTool("render", "-out", dir, "testdata/streusalz-2.jsonc"); code != 0 {
		t.Errorf("higher revision: exit code %d", code)
	}
	if out, code := runTool("render", "-out", dir, "../../examples/streusalz.jsonc"); code != 1 || !strings.Contains(out, "higher revision") {
		t.Errorf("lower revision: exit code %d, %s", code, out)
	}
	empty := t.TempDir()
	if _, code := runTool("render", "-out", empty, "../../catalogue/testdata/bad-homes.jsonc"); code != 1 {
		t.Errorf("invalid catalogue: exit code %d", code)
	}
	if entries, _ := os.ReadDir(empty); len(entries) > 0 {
		t.Errorf("render of an invalid catalogue wrote %v", entries)
	}
}

func parseDigest(text string) (document.Digest, error) {
	var d document.Digest
	err := d.UnmarshalText([]byte(text))
	return d, err
}
