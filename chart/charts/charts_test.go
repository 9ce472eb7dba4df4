package charts

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/chart"
)

// constants returns the set of "type value", such as "State idle", of all typed constants of a source file.
func constants(t *testing.T, file string) map[string]bool {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		out[spec.Type.(*ast.SelectorExpr).Sel.Name+" "+value] = true
		return true
	})
	return out
}

func TestConstantsMatchCharts(t *testing.T) {
	for _, name := range Names() {
		c, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		if c.Name() != string(name) {
			t.Errorf("file of chart %s has name %s", name, c.Name())
		}
		want := map[string]bool{}
		for _, s := range c.States() {
			want["State "+string(s.Name)] = true
		}
		for _, e := range c.Events() {
			want["Event "+string(e)] = true
		}
		for _, a := range c.Actions() {
			want["Action "+string(a)] = true
		}
		got := constants(t, strings.ReplaceAll(string(name), "-", "_")+".go")
		for k := range want {
			if !got[k] {
				t.Errorf("%s: no constant for %s of the chart", name, k)
			}
		}
		for k := range got {
			if !want[k] {
				t.Errorf("%s: no %s in the chart for the constant", name, k)
			}
		}
	}
}

func TestLoadErrors(t *testing.T) {
	if _, err := Load("nothing"); err == nil {
		t.Error("Load accepted an unknown chart")
	}
	if _, err := Load(Process, DoProcessBeginJoin); err == nil {
		t.Error("Load accepted a chart with actions that are not known")
	}
}

func ExampleNewMachine() {
	m, _ := NewMachine(Process)
	for _, event := range []chart.Event{OnProcessListening, OnProcessSnapshotInForce, OnProcessStop} {
		actions, _ := m.Fire(event)
		fmt.Println(m.State(), actions)
	}
	// Output:
	// joining [begin-join]
	// serving [announce-serving]
	// draining [announce-leaving stop-admission]
}
