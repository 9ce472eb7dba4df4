package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/origin"
)

// validateCommand validates a catalogue.
type validateCommand struct {
	commandInfo
	streams *ioStreams
	json    bool
}

func newValidate(streams *ioStreams) *validateCommand {
	return &validateCommand{streams: streams, commandInfo: commandInfo{
		"validate", groupCatalogues, "validate a catalogue",
		"validate [-json] FILE\n  Report every problem of a catalogue with line, cause and remedy. A catalogue with warnings only is valid.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *validateCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "write JSON") }

// validateResult is the JSON output of validateCommand.
type validateResult struct {
	File     string             `json:"file"`
	Good     bool               `json:"good"`
	Revision uint64             `json:"revision,omitempty"`
	Problems catalogue.Problems `json:"problems"`
	Warnings catalogue.Problems `json:"warnings"`
}

// Execute implements subcommands.Command.
func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.streams.usageError(c, "give one file")
	}
	file := f.Arg(0)
	data, err := os.ReadFile(file)
	if err != nil {
		return c.streams.fail(errors.Wrap(err, "cannot read file; give the path of a readable file"))
	}
	cat, warnings, err := catalogue.Validate(file, data)
	result := validateResult{File: file, Good: err == nil, Problems: catalogue.Problems{}, Warnings: catalogue.Problems{}}
	errors.As(err, &result.Problems)
	if cat != nil {
		result.Revision = cat.Revision
		result.Warnings = append(result.Warnings, warnings...)
	}
	if c.json {
		writeJSON(c.streams.out, result)
	} else {
		c.print(result, cat)
	}
	if !result.Good {
		return exitRefused
	}
	return exitOK
}

// print writes the result as text.
func (c *validateCommand) print(r validateResult, cat *catalogue.Catalogue) {
	for _, p := range r.Problems {
		fmt.Fprintf(c.streams.err, "%s\n", p)
	}
	for _, p := range r.Warnings {
		fmt.Fprintf(c.streams.err, "warning: %s\n", p)
	}
	if !r.Good {
		fmt.Fprintf(c.streams.out, "%s: refused, problems: %d\n", r.File, len(r.Problems))
		return
	}
	fmt.Fprintf(c.streams.out, "%s: good, revision %d, organisations %d, services %d, routes %d, warnings: %d\n",
		r.File, r.Revision, len(cat.Organisations), len(cat.Services), len(cat.Routes), len(r.Warnings))
}

// diffCommand compares two catalogues.
type diffCommand struct {
	commandInfo
	streams *ioStreams
	json    bool
}

func newDiff(streams *ioStreams) *diffCommand {
	return &diffCommand{streams: streams, commandInfo: commandInfo{
		"diff", groupCatalogues, "compare two catalogues",
		"diff [-json] OLD NEW\n  Print the changes with their owners, and the number of changes and the daily budget of each organisation.\n" +
			"  Exit 1 if a catalogue is invalid or NEW differs without a higher revision.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *diffCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "write JSON") }

// Execute implements subcommands.Command.
func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.streams.usageError(c, "give two files")
	}
	older, err := loadCatalogue(f.Arg(0))
	if err != nil {
		return c.streams.fail(err)
	}
	newer, err := loadCatalogue(f.Arg(1))
	if err != nil {
		return c.streams.fail(err)
	}
	d := catalogue.Diff(older, newer)
	if c.json {
		writeJSON(c.streams.out, d)
	} else {
		printDiff(c.streams.out, d)
	}
	for _, o := range d.Organisations {
		if o.OverBudget() {
			fmt.Fprintf(c.streams.err, "warning: organisation %q: %d changes exceed its budget of %d a day; bundle them or raise changesPerDay\n",
				o.Organisation, o.Changes, o.DailyBudget)
		}
	}
	if len(d.Changes) > 0 && newer.Revision <= older.Revision {
		return c.streams.fail(errors.Errorf("%s: revision %d would be refused after revision %d; give the catalogue a higher revision", f.Arg(1), newer.Revision, older.Revision))
	}
	return exitOK
}

func printDiff(out io.Writer, d catalogue.Difference) {
	fmt.Fprintf(out, "revision %d to %d: %d changes\n", d.OldRevision, d.NewRevision, len(d.Changes))
	if len(d.Changes) == 0 {
		return
	}
	t := newTable(out, "CHANGE", "ENTRY", "NAME", "OWNER", "FIELD", "OLD", "NEW")
	for _, c := range d.Changes {
		if len(c.Fields) == 0 {
			t.row(c.Kind, c.Entry, c.Name, orDash(c.Owner), "-", "-", "-")
		}
		for _, f := range c.Fields {
			t.row(c.Kind, c.Entry, c.Name, orDash(c.Owner), f.Path, f.Old, f.New)
		}
	}
	t.flush()
	if len(d.Organisations) == 0 {
		return
	}
	fmt.Fprintln(out)
	t = newTable(out, "ORGANISATION", "CHANGES", "PER DAY")
	for _, o := range d.Organisations {
		t.row(o.Organisation, o.Changes, o.DailyBudget)
	}
	t.flush()
}

// renderCommand writes the values of a catalogue to publish on the platform.
type renderCommand struct {
	commandInfo
	streams *ioStreams
	dir     string
}

func newRender(streams *ioStreams) *renderCommand {
	return &renderCommand{streams: streams, commandInfo: commandInfo{
		"render", groupCatalogues, "write the manifest and chunks to publish",
		"render -out DIR FILE\n  Write DIR/KEY for each value to publish on the platform. Publish the chunks first and the manifest last.\n" +
			"  A catalogue is refused if its revision is lower than that in DIR, or the same with other content.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *renderCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.dir, "out", "", "output directory") }

// Execute implements subcommands.Command.
func (c *renderCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.dir == "" {
		return c.streams.usageError(c, "give -out DIR and one file")
	}
	cat, err := loadCatalogue(f.Arg(0))
	if err != nil {
		return c.streams.fail(err)
	}
	if err := checkRevision(c.dir, cat); err != nil {
		return c.streams.fail(err)
	}
	values, err := catalogue.RenderValues(cat)
	if err != nil {
		return c.streams.fail(err)
	}
	for _, v := range values {
		if err := writeValue(c.dir, v); err != nil {
			return c.streams.fail(err)
		}
		fmt.Fprintf(c.streams.out, "%s\t%d bytes\n", v.Key, len(v.Data))
	}
	return exitOK
}

// checkRevision returns an error if processes would refuse the catalogue after the catalogue that was last rendered into dir:
// its revision must be higher, or the same with the same content.
func checkRevision(dir string, cat *catalogue.Catalogue) error {
	data, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(origin.ManifestKey)))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "cannot read the manifest in the output directory; give -out a readable directory")
	}
	previous, err := catalogue.ParseManifest(data)
	if err != nil {
		return err
	}
	doc, err := catalogue.Encode(cat)
	if err != nil {
		return err
	}
	if cat.Revision < previous.Revision || cat.Revision == previous.Revision && doc.Digest() != previous.Digest {
		return errors.Errorf("%s contains revision %d, after which revision %d would be refused; give the catalogue a higher revision",
			dir, previous.Revision, cat.Revision)
	}
	return nil
}

// writeValue writes a value to the file dir/KEY. The file is replaced atomically by a rename.
func writeValue(dir string, v catalogue.Value) error {
	path := filepath.Join(dir, filepath.FromSlash(v.Key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "cannot write to the output directory; give -out a writable directory")
	}
	tempPath := path + ".partial"
	if err := os.WriteFile(tempPath, v.Data, 0o644); err != nil {
		return errors.Wrap(err, "cannot write to the output directory; give -out a writable directory")
	}
	return errors.Wrap(os.Rename(tempPath, path), "cannot write to the output directory; give -out a writable directory")
}

// chartCommand prints a state chart in the DOT language of Graphviz.
type chartCommand struct {
	commandInfo
	streams *ioStreams
}

func newChart(streams *ioStreams) *chartCommand {
	return &chartCommand{streams: streams, commandInfo: commandInfo{
		"chart", groupCatalogues, "print a state chart as Graphviz",
		fmt.Sprintf("chart NAME\n  NAME is one of %q. Draw it with: chervilwellctl chart NAME | dot -Tsvg", charts.Names()),
	}}
}

// SetFlags implements subcommands.Command.
func (*chartCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *chartCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.streams.usageError(c, "give one name")
	}
	stateChart, err := charts.Load(charts.Name(f.Arg(0)))
	if err != nil {
		return c.streams.fail(err)
	}
	if err := stateChart.WriteGraphviz(c.streams.out); err != nil {
		return c.streams.fail(err)
	}
	return exitOK
}

// loadCatalogue reads, parses and validates a catalogue file.
func loadCatalogue(file string) (*catalogue.Catalogue, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read file; give the path of a readable file")
	}
	return catalogue.Parse(file, data)
}

// writeJSON writes v as indented JSON. Errors of the writer are ignored, as for other output of the tool.
func writeJSON(out io.Writer, v any) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// table writes a table with aligned columns. flush must be called after the last row.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, headings ...any) *table {
	const padding = 2
	t := &table{tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() { _ = t.w.Flush() }

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
