package events

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// sources are the packages and files whose log calls are checked against the table.
var sources = []string{"../../proxy", "../../follow", "../node", "../../quota/exchange", "../../cmd/chervilwellnode/main.go"}

// levelCalls are the methods of a zerolog chain that add no field.
var levelCalls = map[string]bool{"Msg": true, "Debug": true, "Info": true, "Warn": true, "Error": true, "WithLevel": true}

// fieldsOf returns the names of the fields that a chain of zerolog calls adds, last call first.
func fieldsOf(call *ast.CallExpr) []string {
	var out []string
	for {
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return out
		}
		switch {
		case sel.Sel.Name == "Err":
			out = append(out, "error")
		case !levelCalls[sel.Sel.Name] && len(call.Args) > 0:
			if lit, ok := call.Args[0].(*ast.BasicLit); ok {
				name, _ := strconv.Unquote(lit.Value)
				out = append(out, name)
			}
		}
		next, ok := sel.X.(*ast.CallExpr)
		if !ok {
			return out
		}
		call = next
	}
}

// constantValues returns the values of the string constants in events.go by constant name.
func constantValues(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for i, name := range spec.Names {
				if i < len(spec.Values) {
					if lit, ok := spec.Values[i].(*ast.BasicLit); ok && lit.Kind == token.STRING {
						out[name.Name], _ = strconv.Unquote(lit.Value)
					}
				}
			}
		}
		return true
	})
	return out
}

func TestTableDescribesEveryLine(t *testing.T) {
	described := map[string]Event{}
	for _, e := range Table {
		described[e.Name] = e
	}
	names, used := constantValues(t), map[string]bool{}
	fset := token.NewFileSet()
	for _, source := range sources {
		files, err := filepath.Glob(filepath.Join(source, "*.go"))
		if filepath.Ext(source) == ".go" {
			files = []string{source}
		}
		if err != nil || len(files) == 0 {
			t.Fatalf("%s matches no files: %v", source, err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(fset, path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				sel, ok := call.Fun.(*ast.SelectorExpr)
				if !ok || sel.Sel.Name != "Msg" {
					return true
				}
				arg, ok := call.Args[0].(*ast.SelectorExpr)
				if !ok {
					t.Errorf("%s: the argument of Msg is not a constant of package events", fset.Position(call.Pos()))
					return true
				}
				event, ok := described[names[arg.Sel.Name]]
				if !ok {
					t.Errorf("%s: %s is not in the table", fset.Position(call.Pos()), arg.Sel.Name)
					return true
				}
				used[event.Name] = true
				for _, field := range fieldsOf(call) {
					if !slices.Contains(event.Fields, field) {
						t.Errorf("%s: %q has no field %q in the table", fset.Position(call.Pos()), event.Name, field)
					}
				}
				for _, field := range event.Fields {
					if !slices.Contains(fieldsOf(call), field) {
						t.Errorf("%s: %q lacks its field %q", fset.Position(call.Pos()), event.Name, field)
					}
				}
				return true
			})
		}
	}
	for _, e := range Table {
		if !used[e.Name] {
			t.Errorf("%q is never logged", e.Name)
		}
	}
}

const docs = "../../docs/operate/events.md"

// TestDocsListTheTable compares docs/operate/events.md with the table; UPDATE_DOCS=1 writes the page.
func TestDocsListTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery line has `time`, `level`, `msg` (the event's name) and `instance`, then the event's own fields. Times are in\nmilliseconds. This page is written from the table in `internal/events`.\n\n| event | means | fields |\n| --- | --- | --- |\n")
	for _, e := range Table {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Name, e.Meaning, strings.Join(e.Fields, ", "))
	}
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(docs, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docs)
	if err != nil || string(got) != b.String() {
		t.Errorf("%s does not match the table (%v); run the test with UPDATE_DOCS=1", docs, err)
	}
}

func TestBudgetLimitsLinesAndSamplesSuccesses(t *testing.T) {
	b := NewBudget(10)
	sampled := 0
	for range 100 {
		if b.Sample() {
			sampled++
		}
	}
	if sampled != 10 {
		t.Errorf("%d of 100 successful requests logged, want 10", sampled)
	}
	kept := 0
	for range 10 * burstLines {
		if b.Allow() {
			kept++
		}
	}
	if kept < burstLines-sampled || kept > 2*burstLines || b.Dropped() == 0 {
		t.Errorf("%d lines kept, %d dropped", kept, b.Dropped())
	}
	if NewBudget(0).Sample() {
		t.Error("Budget with every = 0 samples a successful request")
	}
}
