package chart

import (
	"fmt"
	"io"
	"strings"
)

// WriteGraphviz writes the chart to w as a directed graph in the DOT language of Graphviz. It returns the error of w.
func (c *Chart) WriteGraphviz(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n", c.def.Name)
	b.WriteString("  rankdir=LR;\n  node [shape=box, style=rounded];\n  initial [shape=point];\n")
	fmt.Fprintf(&b, "  initial -> %q;\n", string(c.def.Initial))
	for _, s := range c.def.States {
		fmt.Fprintf(&b, "  %q [tooltip=%q", string(s.Name), s.Doc)
		if s.Final {
			b.WriteString(", peripheries=2")
		}
		b.WriteString("];\n")
	}
	for _, t := range c.def.Transitions {
		fmt.Fprintf(&b, "  %q -> %q [label=%q];\n", string(t.From), string(t.To), edgeLabel(t))
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// edgeLabel returns the label of a transition: "event", or "event / action, action" if it has actions.
func edgeLabel(t Transition) string {
	if len(t.Actions) == 0 {
		return string(t.Event)
	}
	names := make([]string, len(t.Actions))
	for i, a := range t.Actions {
		names[i] = string(a)
	}
	return string(t.Event) + " / " + strings.Join(names, ", ")
}
