package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file or of an entry, with its place, cause and remedy.
type Problem struct {
	// File is the name of the file, or empty where the content came from elsewhere.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 means that the line is not known.
	Line int `json:"line,omitempty"`
	// Entry names the entry for people, such as `route "stock-view"`.
	Entry string `json:"entry,omitempty"`
	// Path is the place inside the file, such as `routes[3].limits.timeout`.
	Path string `json:"path,omitempty"`
	// Cause says what is wrong.
	Cause string `json:"cause"`
	// Remedy says what to do.
	Remedy string `json:"remedy"`
}

// String renders the problem on one line: "FILE:LINE: ENTRY: PATH: CAUSE; REMEDY".
func (p Problem) String() string {
	var b strings.Builder
	switch {
	case p.File != "" && p.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	case p.File != "":
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	for _, part := range []string{p.Entry, p.Path} {
		if part != "" {
			b.WriteString(part)
			b.WriteString(": ")
		}
	}
	b.WriteString(p.Cause)
	if p.Remedy != "" {
		b.WriteString("; ")
		b.WriteString(p.Remedy)
	}
	return b.String()
}

// Problems is the error that lists every problem found in one run.
type Problems []Problem

// Error renders one problem on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Add appends a problem at the given place.
func (ps *Problems) Add(entry, path, cause, remedy string) {
	*ps = append(*ps, Problem{Entry: entry, Path: path, Cause: cause, Remedy: remedy})
}

// Sort orders the problems by file and line; problems of one line keep their order.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Positions tells the lines of the places inside a decoded file.
type Positions struct {
	file  string
	lines map[string]int
}

// Line returns the line of a path, or of the closest place around it that the file has, or 0.
func (p *Positions) Line(path string) int {
	for {
		if line, ok := p.lines[path]; ok {
			return line
		}
		if path == "" {
			return 0
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Locate fills in file and line of each problem that has neither.
func (p *Positions) Locate(ps Problems) {
	for i := range ps {
		if ps[i].File == "" {
			ps[i].File = p.file
			ps[i].Line = p.Line(ps[i].Path)
		}
	}
}

// Unreported returns the later problems whose places no earlier problem is about: a value that could not be decoded keeps
// its zero value, and what a checker says of that is no news.
func (p *Positions) Unreported(later, earlier Problems) Problems {
	bad := make(map[string]bool, len(earlier))
	for _, e := range earlier {
		bad[e.Path] = true
	}
	if bad[""] {
		return nil
	}
	var out Problems
	for _, l := range later {
		if !covered(bad, l.Path) {
			out = append(out, l)
		}
	}
	return out
}

// covered reports whether a place or one that encloses it is in the set.
func covered(places map[string]bool, path string) bool {
	for path != "" {
		if places[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return false
}
