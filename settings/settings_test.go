package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/chervilwell/chervilwell/jsonc"
)

func TestParseGood(t *testing.T) {
	files, _ := filepath.Glob("testdata/good-*.jsonc")
	if len(files) == 0 {
		t.Fatal("testdata has no good files")
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(file, data); err != nil {
			t.Errorf("Parse(%s):\n%v", file, err)
		}
	}
}

func TestParseBad(t *testing.T) {
	files, _ := filepath.Glob("testdata/bad-*.jsonc")
	if len(files) == 0 {
		t.Fatal("testdata has no bad files")
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(filepath.Base(file), data)
			var problems jsonc.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("Parse returned error %v, want jsonc.Problems", err)
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// writeFile writes a file in dir.
func writeFile(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestLoadResolvesAndChecksFiles(t *testing.T) {
	data, err := os.ReadFile("testdata/good-least.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeFile(t, dir, "settings.jsonc", data)
	writeFile(t, dir, "internal.pem", nil)
	writeFile(t, dir, "ca.pem", nil)
	path := filepath.Join(dir, "settings.jsonc")
	_, err = Load(path)
	var problems jsonc.Problems
	if !errors.As(err, &problems) || len(problems) != 1 || problems[0].Path != "tls.key" || problems[0].Line == 0 {
		t.Fatalf("Load with a missing key file returned %v", err)
	}
	writeFile(t, dir, "internal.key", nil)
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.TLS.Key != filepath.Join(dir, "internal.key") || s.DrainLimit.Std() != 15*time.Second {
		t.Fatalf("Load returned %+v", s)
	}
	if _, err := Load(filepath.Join(dir, "none")); err == nil {
		t.Fatal("Load of a missing file returned no error")
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.jsonc")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		var problems jsonc.Problems
		switch {
		case err == nil && (s.Instance == "" || s.Platform.URL == ""):
			t.Fatalf("Parse accepted settings without instance or platform URL: %q", data)
		case err != nil && !errors.As(err, &problems):
			t.Fatalf("error has type %T, want jsonc.Problems", err)
		}
	})
}
