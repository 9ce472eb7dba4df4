package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// pairWriter turns the logger's flat JSON objects into lines of key=value pairs in one pass: time, level and message first, then
// the other fields in their order.
type pairWriter struct {
	out io.Writer
	// mu guards the buffers, which are used again for each line.
	mu     sync.Mutex
	line   []byte
	fields []field
}

// field is one member of an object; the value is JSON.
type field struct{ key, value []byte }

// Write implements io.Writer. A line that is no flat object is passed on as it is.
func (w *pairWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields, ok := split(p, w.fields[:0])
	w.fields = fields
	if !ok {
		_, err := w.out.Write(p)
		return len(p), err
	}
	w.line = w.line[:0]
	for _, first := range [...]struct{ key, name string }{
		{zerolog.TimestampFieldName, "time"}, {zerolog.LevelFieldName, "level"}, {zerolog.MessageFieldName, "msg"},
	} {
		for _, f := range fields {
			if string(f.key) == first.key {
				w.pair([]byte(first.name), f.value)
			}
		}
	}
	for _, f := range fields {
		switch string(f.key) {
		case zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName:
		default:
			w.pair(f.key, f.value)
		}
	}
	w.line = append(w.line, '\n')
	_, err := w.out.Write(w.line)
	return len(p), err
}

// pair appends one pair. A text is quoted if it holds white space, quotes or an equals sign, so that a line splits into pairs again.
func (w *pairWriter) pair(key, value []byte) {
	if len(w.line) > 0 {
		w.line = append(w.line, ' ')
	}
	w.line = append(append(w.line, key...), '=')
	if len(value) < 2 || value[0] != '"' {
		w.line = append(w.line, value...)
		return
	}
	inner := value[1 : len(value)-1]
	switch {
	case bytes.IndexByte(inner, '\\') >= 0:
		text, err := strconv.Unquote(string(value))
		if err != nil {
			w.line = append(w.line, value...)
			return
		}
		w.line = strconv.AppendQuote(w.line, text)
	case len(inner) == 0 || bytes.ContainsAny(inner, " ="):
		w.line = append(w.line, value...)
	default:
		w.line = append(w.line, inner...)
	}
}

// split cuts a flat JSON object into its members.
func split(p []byte, into []field) ([]field, bool) {
	p = bytes.TrimSpace(p)
	if len(p) < 2 || p[0] != '{' || p[len(p)-1] != '}' {
		return into, false
	}
	p = p[1 : len(p)-1]
	for len(p) > 0 {
		key, rest, ok := text(p)
		if !ok || len(rest) == 0 || rest[0] != ':' {
			return into, false
		}
		value, rest, ok := value(rest[1:])
		if !ok {
			return into, false
		}
		into = append(into, field{key[1 : len(key)-1], value})
		if len(rest) > 0 && rest[0] == ',' {
			rest = rest[1:]
		}
		p = rest
	}
	return into, true
}

// text cuts a JSON string off the beginning of p.
func text(p []byte) (s, rest []byte, ok bool) {
	if len(p) == 0 || p[0] != '"' {
		return nil, nil, false
	}
	for i := 1; i < len(p); i++ {
		switch p[i] {
		case '\\':
			i++
		case '"':
			return p[:i+1], p[i+1:], true
		}
	}
	return nil, nil, false
}

// value cuts a value off the beginning of p; arrays and objects are taken whole.
func value(p []byte) (v, rest []byte, ok bool) {
	if len(p) > 0 && p[0] == '"' {
		return text(p)
	}
	depth := 0
	for i := 0; i < len(p); i++ {
		switch p[i] {
		case '"':
			s, _, ok := text(p[i:])
			if !ok {
				return nil, nil, false
			}
			i += len(s) - 1
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				return p[:i], p[i:], true
			}
		}
	}
	return p, nil, depth == 0
}
