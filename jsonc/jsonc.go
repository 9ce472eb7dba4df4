// Package jsonc decodes JSON with comments and trailing commas into structs, strictly, and reports every problem of a file in
// one run with its line, cause and remedy.
//
// Strict means: a field that the struct lacks, a field given twice, a null, and a value of another type are problems.
// Names of fields match exactly. Input size and nesting are bounded, so hostile input can't exhaust the stack.
package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Bounds on input.
const (
	// MaxBytes is the largest input.
	MaxBytes = 32 << 20
	// MaxDepth is the deepest nesting of objects and arrays.
	MaxDepth = 32
)

// Decode reads data into the struct that v points to. It returns where each value lies and, as an error of type Problems,
// everything wrong. Values without problems are set even if others have some.
func Decode(file string, data []byte, v any) (*Positions, error) {
	d := &decoder{data: data, pos: &Positions{file: file, lines: map[string]int{}}, lines: newLineIndex(data)}
	if p := checkBounds(data); p != nil {
		p.File = file
		return d.pos, Problems{*p}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return d.pos, Problems{syntaxProblem(file, err)}
	}
	d.value(&root, reflect.ValueOf(v).Elem(), "")
	d.pos.Locate(d.problems)
	return d.pos, d.problems.Err()
}

// checkBounds returns a problem for input that is too large or nested too deeply.
func checkBounds(data []byte) *Problem {
	if len(data) > MaxBytes {
		return &Problem{
			Cause:  fmt.Sprintf("file has %d bytes", len(data)),
			Remedy: fmt.Sprintf("keep it under %d bytes", MaxBytes),
		}
	}
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '/':
			i = skipComment(data, i)
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		if depth > MaxDepth {
			return &Problem{
				Line:   1 + bytes.Count(data[:i], []byte("\n")),
				Cause:  fmt.Sprintf("nesting is deeper than %d", MaxDepth),
				Remedy: "flatten the file",
			}
		}
	}
	return nil
}

// skipComment returns the index of the last byte of the comment that starts at i, or i if none starts there.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		if n := bytes.Index(rest[2:], []byte("*/")); n >= 0 {
			end = n + 3
		}
	default:
		return i
	}
	if end < 0 {
		return len(data) - 1
	}
	return i + end
}

// syntaxProblem turns a parser's error, which begins "hujson: line N, column M: ", into a problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Remedy: "correct the JSON at this line"}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &p.Line, &column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, text)
	}
	p.Cause = "not JSON with comments: " + text
	return p
}

type decoder struct {
	data     []byte
	lines    lineIndex
	pos      *Positions
	problems Problems
}

func (d *decoder) add(path, cause, remedy string) { d.problems.Add("", path, cause, remedy) }

// value decodes one value into rv and records its line.
func (d *decoder) value(v *hujson.Value, rv reflect.Value, path string) {
	d.pos.lines[path] = d.lines.line(v.StartOffset)
	if lit, ok := v.Value.(hujson.Literal); ok && string(lit) == "null" {
		d.add(path, "value is null", "give a value or leave the field out")
		return
	}
	if decodesItself(rv) {
		d.unmarshal(v, rv, path)
		return
	}
	switch rv.Kind() {
	case reflect.Pointer:
		rv.Set(reflect.New(rv.Type().Elem()))
		d.value(v, rv.Elem(), path)
	case reflect.Struct:
		d.object(v, rv, path)
	case reflect.Slice, reflect.Array:
		d.array(v, rv, path)
	default:
		d.unmarshal(v, rv, path)
	}
}

func decodesItself(rv reflect.Value) bool {
	switch rv.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) object(v *hujson.Value, rv reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(path, kindOf(v)+" stands where an object belongs", "write { ... }")
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		d.member(m, rv, path, seen)
	}
}

func (d *decoder) member(m *hujson.ObjectMember, rv reflect.Value, path string, seen map[string]bool) {
	lit, _ := m.Name.Value.(hujson.Literal)
	name := lit.String()
	place := join(path, name)
	field, ok := fieldByName(rv, name)
	switch {
	case !ok:
		d.pos.lines[place] = d.lines.line(m.Name.StartOffset)
		d.add(place, fmt.Sprintf("field %q is unknown", name), "remove it or use one of: "+strings.Join(fieldNames(rv.Type()), ", "))
	case seen[name]:
		d.problems = append(d.problems, Problem{
			File: d.pos.file, Line: d.lines.line(m.Name.StartOffset), Path: place,
			Cause: fmt.Sprintf("field %q is given twice", name), Remedy: "keep one",
		})
	default:
		d.value(&m.Value, field, place)
	}
	seen[name] = true
}

func (d *decoder) array(v *hujson.Value, rv reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(path, kindOf(v)+" stands where a list belongs", "write [ ... ]")
		return
	}
	n := len(arr.Elements)
	if rv.Kind() == reflect.Array && n != rv.Len() {
		d.add(path, fmt.Sprintf("list has %d elements", n), fmt.Sprintf("give exactly %d", rv.Len()))
		return
	}
	if rv.Kind() == reflect.Slice {
		rv.Set(reflect.MakeSlice(rv.Type(), n, n))
	}
	for i := range arr.Elements {
		d.value(&arr.Elements[i], rv.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// unmarshal decodes a scalar, or a value whose type decodes itself, by encoding/json.
func (d *decoder) unmarshal(v *hujson.Value, rv reflect.Value, path string) {
	standard := v.Clone()
	standard.Standardize()
	err := json.Unmarshal(bytes.TrimSpace(standard.Pack()), rv.Addr().Interface())
	if err == nil {
		return
	}
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		d.add(path, fmt.Sprintf("%s is not %s", clip(v), wanted(rv.Type())), "give "+wanted(rv.Type()))
		return
	}
	cause, remedy, _ := strings.Cut(err.Error(), "; ")
	d.add(path, cause, remedy)
}

// clip returns the text of a value, shortened.
func clip(v *hujson.Value) string {
	const limit = 40
	lit, ok := v.Value.(hujson.Literal)
	switch {
	case !ok:
		return kindOf(v)
	case len(lit) > limit:
		return fmt.Sprintf("%q...", lit[:limit])
	}
	return string(lit)
}

func kindOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	}
	return "a truth value"
}

// wanted describes the values that a type takes.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 that fits"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number that fits"
	}
	return "a " + t.Kind().String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
