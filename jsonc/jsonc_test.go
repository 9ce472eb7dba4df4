package jsonc

import (
	"errors"
	"strings"
	"testing"
)

type inner struct {
	Size  int64     `json:"size"`
	Pair  [2]string `json:"pair"`
	Names []string  `json:"names"`
}

type outer struct {
	Name   string  `json:"name"`
	Ratio  float64 `json:"ratio"`
	On     bool    `json:"on"`
	Count  uint8   `json:"count"`
	List   []inner `json:"list"`
	Opt    *inner  `json:"opt"`
	Hidden string  `json:"-"`
}

func TestDecodeValid(t *testing.T) {
	input := "{ // comment\n\"name\": \"a\\\"[\", /* { [ */ \"ratio\": 0.5, \"on\": true,\n\"list\": [{\"pair\": [\"x\", \"y\"], \"size\": 7},],\n\"opt\": {}, }"
	var v outer
	pos, err := Decode("f", []byte(input), &v)
	if err != nil {
		t.Fatal(err)
	}
	if v.Name != `a"[` || v.Ratio != 0.5 || !v.On || v.List[0].Pair[1] != "y" || v.List[0].Size != 7 || v.Opt == nil {
		t.Fatalf("decoded %+v", v)
	}
	if pos.Line("list[0].size") != 3 || pos.Line("list[0].names[4]") != 3 || pos.Line("nowhere") != 1 {
		t.Fatalf("lines %v", pos.lines)
	}
}

func TestDecodeReportsAllProblems(t *testing.T) {
	input := `{
  "name": 5,
  "ratio": "x",
  "nope": 1,
  "count": 300,
  "on": null,
  "list": [{"pair": ["x"]}, 7, {"names": "a"}],
  "Name": "wrong case",
  "Hidden": "no",
  "ratio": 2,
  "opt": []
}`
	want := []string{
		`f:2: name: 5 is not a string; give a string`,
		`f:3: ratio: "x" is not a number; give a number`,
		`f:4: nope: field "nope" is unknown; remove it or use one of: name, ratio, on, count, list, opt`,
		`f:5: count: 300 is not a non-negative integer in range; give a non-negative integer in range`,
		`f:6: on: value is null; give a value or leave the field out`,
		`f:7: list[0].pair: list has 1 elements; give exactly 2`,
		`f:7: list[1]: a number instead of an object; write { ... }`,
		`f:7: list[2].names: a string instead of a list; write [ ... ]`,
		`f:8: Name: field "Name" is unknown; remove it or use one of: name, ratio, on, count, list, opt`,
		`f:9: Hidden: field "Hidden" is unknown; remove it or use one of: name, ratio, on, count, list, opt`,
		`f:10: ratio: field "ratio" is given twice; keep one`,
		`f:11: opt: a list instead of an object; write { ... }`,
	}
	var v outer
	_, err := Decode("f", []byte(input), &v)
	var ps Problems
	if !errors.As(err, &ps) {
		t.Fatalf("error is %T", err)
	}
	if got := ps.Error(); got != strings.Join(want, "\n") {
		t.Fatalf("got:\n%s", got)
	}
}

func TestDecodeRejectsMalformedInput(t *testing.T) {
	tests := map[string]string{
		"empty":     "",
		"deep":      strings.Repeat("[", 1<<20),
		"truncated": `{"name": "a`,
		"comment":   `{ /* `,
		"trailing":  `{} {}`,
		"scalar":    `7`,
	}
	for name, input := range tests {
		var v outer
		if _, err := Decode("f", []byte(input), &v); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
