package chart

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/jsonc"
)

func loadFile(t *testing.T, name string, known []Action) (*Chart, error) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return Load(name, data, known)
}

func TestLoadReportsProblems(t *testing.T) {
	for _, name := range []string{"references", "reach", "fields"} {
		t.Run(name, func(t *testing.T) {
			_, err := loadFile(t, name+".jsonc", nil)
			var problems jsonc.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("Load returned error %v, want jsonc.Problems", err)
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestLoadRefusesUnknownAction(t *testing.T) {
	if _, err := loadFile(t, "door.jsonc", []Action{"ring"}); err != nil {
		t.Fatal(err)
	}
	if _, err := loadFile(t, "door.jsonc", []Action{"sing"}); err == nil {
		t.Fatal("Load accepted an action that is not known")
	}
}

func TestCanAgreesWithFire(t *testing.T) {
	c, err := loadFile(t, "door.jsonc", nil)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(c)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			event := rapid.SampledFrom(c.Events()).Draw(t, "event")
			before, can := m.State(), m.Can(event)
			_, err := m.Fire(event)
			var refused *RefusedError
			if can != (err == nil) || (err != nil && !errors.As(err, &refused)) {
				t.Fatalf("Can returned %v, Fire returned error %v", can, err)
			}
			if err != nil && m.State() != before {
				t.Fatalf("refused event changed the state to %s", m.State())
			}
		}
	})
}

func TestGraphviz(t *testing.T) {
	c, err := loadFile(t, "door.jsonc", nil)
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := c.WriteGraphviz(&buf); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "door.dot", buf.Bytes())
}
