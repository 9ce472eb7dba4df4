package jsonc

import (
	"bytes"
	"reflect"
	"sort"
	"strings"
)

// fieldNames returns the JSON names of the exported fields of a struct type, in order of declaration.
func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// fieldName returns the JSON name of a field, or "" if the field is not decoded.
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

// fieldByName returns the field of a struct that has the JSON name; names match case-sensitively.
func fieldByName(structValue reflect.Value, name string) (reflect.Value, bool) {
	t := structValue.Type()
	for i := range t.NumField() {
		if n := fieldName(t.Field(i)); n != "" && n == name {
			return structValue.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// newlineOffsets holds the byte offsets of the newlines of a file in ascending order.
type newlineOffsets []int

func findNewlines(data []byte) newlineOffsets {
	out := make(newlineOffsets, 0, bytes.Count(data, []byte("\n")))
	for i, c := range data {
		if c == '\n' {
			out = append(out, i)
		}
	}
	return out
}

// line returns the line number, counted from 1, of a byte offset.
func (x newlineOffsets) line(offset int) int { return 1 + sort.SearchInts(x, offset) }
