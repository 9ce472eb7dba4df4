package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem describes one error or warning in a file: its location, cause and remedy.
type Problem struct {
	// File is the name of the file, or empty if the content was not read from a file.
	File string `json:"file,omitempty"`
	// Line is the line number, counted from 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Entry is the kind and name of the entry, such as `route "stock-view"`, or empty.
	Entry string `json:"entry,omitempty"`
	// Path is the path of the value in the file, such as `routes[3].limits.timeout`, or empty for the whole file.
	Path string `json:"path,omitempty"`
	// Cause describes the problem.
	Cause string `json:"cause"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line as "FILE:LINE: ENTRY: PATH: CAUSE; REMEDY", without the parts that are empty.
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

// Problems is an error that lists all problems found in one pass.
type Problems []Problem

// Error returns the problems as text, one per line.
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

// Add appends a problem with the given entry and path; its file and line are set by Positions.Locate.
func (ps *Problems) Add(entry, path, cause, remedy string) {
	*ps = append(*ps, Problem{Entry: entry, Path: path, Cause: cause, Remedy: remedy})
}

// Sort sorts the problems by file and line. The sort is stable.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Positions maps the paths of the values in a decoded file to their lines.
type Positions struct {
	file  string
	lines map[string]int
}

// Line returns the line of a path or, if the file has no such path, of its closest parent in the file. It returns 0 if
// neither is known.
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

// Locate sets the file and line of each problem that has no file.
func (p *Positions) Locate(ps Problems) {
	for i := range ps {
		if ps[i].File == "" {
			ps[i].File = p.file
			ps[i].Line = p.Line(ps[i].Path)
		}
	}
}

// Unreported returns the problems in later whose path and parent paths have no problem in earlier. A value that could not be
// decoded keeps its zero value, so a checker's problem with that value would only repeat the decoder's.
func (p *Positions) Unreported(later, earlier Problems) Problems {
	reported := make(map[string]bool, len(earlier))
	for _, e := range earlier {
		reported[e.Path] = true
	}
	if reported[""] {
		return nil
	}
	var out Problems
	for _, l := range later {
		if !containsPathOrParent(reported, l.Path) {
			out = append(out, l)
		}
	}
	return out
}

// containsPathOrParent reports whether paths contains path or one of its parents.
func containsPathOrParent(paths map[string]bool, path string) bool {
	for path != "" {
		if paths[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return false
}
