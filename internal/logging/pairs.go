package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// pairWriter converts the flat JSON objects written by zerolog into lines of key=value pairs: time, level and message first,
// then the other fields in their original order.
type pairWriter struct {
	out io.Writer
	// mu guards the buffers, which are reused for each line.
	mu     sync.Mutex
	line   []byte
	fields []field
}

// field is one member of a JSON object. The key is without quotes, the value is encoded as JSON.
type field struct{ key, value []byte }

// Write implements io.Writer. Input that is not a JSON object is written unchanged.
func (w *pairWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields, ok := splitObject(p, w.fields[:0])
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
				w.appendPair([]byte(first.name), f.value)
			}
		}
	}
	for _, f := range fields {
		switch string(f.key) {
		case zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName:
		default:
			w.appendPair(f.key, f.value)
		}
	}
	w.line = append(w.line, '\n')
	_, err := w.out.Write(w.line)
	return len(p), err
}

// appendPair appends one pair to the line. A string is quoted if it is empty or contains white space, a quote or an equals
// sign, so that the line can be split into pairs again.
func (w *pairWriter) appendPair(key, value []byte) {
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

// splitObject appends the members of a JSON object to dst. It returns false if p is not an object.
func splitObject(p []byte, dst []field) ([]field, bool) {
	p = bytes.TrimSpace(p)
	if len(p) < 2 || p[0] != '{' || p[len(p)-1] != '}' {
		return dst, false
	}
	p = p[1 : len(p)-1]
	for len(p) > 0 {
		key, rest, ok := cutString(p)
		if !ok || len(rest) == 0 || rest[0] != ':' {
			return dst, false
		}
		value, rest, ok := cutValue(rest[1:])
		if !ok {
			return dst, false
		}
		dst = append(dst, field{key[1 : len(key)-1], value})
		if len(rest) > 0 && rest[0] == ',' {
			rest = rest[1:]
		}
		p = rest
	}
	return dst, true
}

// cutString returns the JSON string at the start of p, quotes included, and the rest. It returns false if there is none.
func cutString(p []byte) (s, rest []byte, ok bool) {
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

// cutValue returns the JSON value at the start of p, nested arrays and objects included, and the rest.
func cutValue(p []byte) (v, rest []byte, ok bool) {
	if len(p) > 0 && p[0] == '"' {
		return cutString(p)
	}
	depth := 0
	for i := 0; i < len(p); i++ {
		switch p[i] {
		case '"':
			s, _, ok := cutString(p[i:])
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
