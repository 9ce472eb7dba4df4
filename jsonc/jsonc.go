// Package jsonc strictly decodes JSON with comments and trailing commas into structs. It reports all problems of a file in one
// pass, each with its line, cause and remedy.
//
// Unknown fields, duplicate fields, null and values of the wrong type are problems. Field names match case-sensitively.
// Input size and nesting depth are limited so that malicious input can't exhaust the stack.
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

// Limits on the input.
const (
	// MaxBytes is the maximum input size in bytes.
	MaxBytes = 32 << 20
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth = 32
)

// Decode decodes data into the struct that v points to. It returns the line of each value and, if there are problems, an error
// of type Problems that lists all of them. Values without problems are set even if others have problems.
// The file name is used in problems only.
func Decode(file string, data []byte, v any) (*Positions, error) {
	d := &decoder{data: data, positions: &Positions{file: file, lines: map[string]int{}}, lines: findNewlines(data)}
	if p := checkLimits(data); p != nil {
		p.File = file
		return d.positions, Problems{*p}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return d.positions, Problems{syntaxProblem(file, err)}
	}
	d.decodeValue(&root, reflect.ValueOf(v).Elem(), "")
	d.positions.Locate(d.problems)
	return d.positions, d.problems.Err()
}

// checkLimits returns a problem if the input exceeds MaxBytes or MaxDepth, and nil otherwise.
func checkLimits(data []byte) *Problem {
	if len(data) > MaxBytes {
		return &Problem{
			Cause:  fmt.Sprintf("file has %d bytes", len(data)),
			Remedy: fmt.Sprintf("reduce it to at most %d bytes", MaxBytes),
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
				Cause:  fmt.Sprintf("nesting is deeper than %d levels", MaxDepth),
				Remedy: "reduce the nesting",
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

// syntaxProblem converts an error of the parser, which has the form "hujson: line N, column M: TEXT", into a problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Remedy: "correct the JSON at this line"}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &p.Line, &column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, text)
	}
	p.Cause = "invalid JSON: " + text
	return p
}

// decoder holds the state of one call of Decode.
type decoder struct {
	data      []byte
	lines     newlineOffsets
	positions *Positions
	problems  Problems
}

func (d *decoder) addProblem(path, cause, remedy string) { d.problems.Add("", path, cause, remedy) }

// decodeValue decodes one value into rv, which must be addressable, and records its line.
func (d *decoder) decodeValue(v *hujson.Value, rv reflect.Value, path string) {
	d.positions.lines[path] = d.lines.line(v.StartOffset)
	if lit, ok := v.Value.(hujson.Literal); ok && string(lit) == "null" {
		d.addProblem(path, "value is null", "give a value or leave the field out")
		return
	}
	if hasUnmarshaler(rv) {
		d.unmarshalValue(v, rv, path)
		return
	}
	switch rv.Kind() {
	case reflect.Pointer:
		rv.Set(reflect.New(rv.Type().Elem()))
		d.decodeValue(v, rv.Elem(), path)
	case reflect.Struct:
		d.decodeObject(v, rv, path)
	case reflect.Slice, reflect.Array:
		d.decodeArray(v, rv, path)
	default:
		d.unmarshalValue(v, rv, path)
	}
}

// hasUnmarshaler reports whether the type of rv decodes itself from JSON or text.
func hasUnmarshaler(rv reflect.Value) bool {
	switch rv.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) decodeObject(v *hujson.Value, rv reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, describeKind(v)+" instead of an object", "write { ... }")
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		d.decodeMember(m, rv, path, seen)
	}
}

func (d *decoder) decodeMember(m *hujson.ObjectMember, rv reflect.Value, path string, seen map[string]bool) {
	lit, _ := m.Name.Value.(hujson.Literal)
	name := lit.String()
	memberPath := joinPath(path, name)
	field, ok := fieldByName(rv, name)
	switch {
	case !ok:
		d.positions.lines[memberPath] = d.lines.line(m.Name.StartOffset)
		d.addProblem(memberPath, fmt.Sprintf("field %q is unknown", name), "remove it or use one of: "+strings.Join(fieldNames(rv.Type()), ", "))
	case seen[name]:
		d.problems = append(d.problems, Problem{
			File: d.positions.file, Line: d.lines.line(m.Name.StartOffset), Path: memberPath,
			Cause: fmt.Sprintf("field %q is given twice", name), Remedy: "keep one",
		})
	default:
		d.decodeValue(&m.Value, field, memberPath)
	}
	seen[name] = true
}

func (d *decoder) decodeArray(v *hujson.Value, rv reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, describeKind(v)+" instead of a list", "write [ ... ]")
		return
	}
	n := len(arr.Elements)
	if rv.Kind() == reflect.Array && n != rv.Len() {
		d.addProblem(path, fmt.Sprintf("list has %d elements", n), fmt.Sprintf("give exactly %d", rv.Len()))
		return
	}
	if rv.Kind() == reflect.Slice {
		rv.Set(reflect.MakeSlice(rv.Type(), n, n))
	}
	for i := range arr.Elements {
		d.decodeValue(&arr.Elements[i], rv.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// unmarshalValue decodes a scalar, or a value whose type has an unmarshaler, with encoding/json.
// The text of an unmarshaler's error has the form "CAUSE; REMEDY".
func (d *decoder) unmarshalValue(v *hujson.Value, rv reflect.Value, path string) {
	standardized := v.Clone()
	standardized.Standardize()
	err := json.Unmarshal(bytes.TrimSpace(standardized.Pack()), rv.Addr().Interface())
	if err == nil {
		return
	}
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		d.addProblem(path, fmt.Sprintf("%s is not %s", excerpt(v), describeType(rv.Type())), "give "+describeType(rv.Type()))
		return
	}
	cause, remedy, _ := strings.Cut(err.Error(), "; ")
	d.addProblem(path, cause, remedy)
}

// excerpt returns the text of a literal, truncated to maxBytes, or the kind of a composite value.
func excerpt(v *hujson.Value) string {
	const maxBytes = 40
	lit, ok := v.Value.(hujson.Literal)
	switch {
	case !ok:
		return describeKind(v)
	case len(lit) > maxBytes:
		return fmt.Sprintf("%q...", lit[:maxBytes])
	}
	return string(lit)
}

func describeKind(v *hujson.Value) string {
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
	return "a boolean"
}

// describeType describes the JSON values that decode into t.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer in range"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer in range"
	}
	return "a " + t.Kind().String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
