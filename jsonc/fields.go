package jsonc

import (
	"bytes"
	"reflect"
	"sort"
	"strings"
)

// fieldNames returns the names in JSON of a struct's exported fields, in order of declaration.
func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// fieldName returns the name in JSON of a field, or "" if it has none.
func fieldName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	switch name {
	case "-":
		return ""
	case "":
		return f.Name
	}
	return name
}

func fieldByName(rv reflect.Value, name string) (reflect.Value, bool) {
	t := rv.Type()
	for i := range t.NumField() {
		if n := fieldName(t.Field(i)); n != "" && n == name {
			return rv.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// lineIndex holds the offsets of the newlines of a file.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	out := make(lineIndex, 0, bytes.Count(data, []byte("\n")))
	for i, c := range data {
		if c == '\n' {
			out = append(out, i)
		}
	}
	return out
}

// line returns the line of an offset, from 1.
func (x lineIndex) line(offset int) int { return 1 + sort.SearchInts(x, offset) }
