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

// validate checks a catalogue.
type validate struct {
	info
	env  *environment
	json bool
}

func newValidate(env *environment) *validate {
	return &validate{env: env, info: info{
		"validate", aboutCatalogues, "check a catalogue as a whole",
		"validate [-json] FILE\n  Report every problem of a catalogue with line, cause and remedy. Warnings alone don't refuse it.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *validate) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "write JSON") }

// validation is the result of validate in JSON.
type validation struct {
	File     string             `json:"file"`
	Good     bool               `json:"good"`
	Revision uint64             `json:"revision,omitempty"`
	Problems catalogue.Problems `json:"problems"`
	Warnings catalogue.Problems `json:"warnings"`
}

// Execute implements subcommands.Command.
func (c *validate) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.misused(c, "give one file")
	}
	file := f.Arg(0)
	data, err := os.ReadFile(file)
	if err != nil {
		return c.env.fail(errors.Wrap(err, "give the path of a readable file"))
	}
	cat, warnings, err := catalogue.Validate(file, data)
	result := validation{File: file, Good: err == nil, Problems: catalogue.Problems{}, Warnings: catalogue.Problems{}}
	errors.As(err, &result.Problems)
	if cat != nil {
		result.Revision = cat.Revision
		result.Warnings = append(result.Warnings, warnings...)
	}
	if c.json {
		writeJSON(c.env.out, result)
	} else {
		c.print(result, cat)
	}
	if !result.Good {
		return exitRefused
	}
	return exitDone
}

func (c *validate) print(r validation, cat *catalogue.Catalogue) {
	for _, p := range r.Problems {
		fmt.Fprintf(c.env.err, "%s\n", p)
	}
	for _, p := range r.Warnings {
		fmt.Fprintf(c.env.err, "warning: %s\n", p)
	}
	if !r.Good {
		fmt.Fprintf(c.env.out, "%s: refused, problems: %d\n", r.File, len(r.Problems))
		return
	}
	fmt.Fprintf(c.env.out, "%s: good, revision %d, organisations %d, services %d, routes %d, warnings: %d\n",
		r.File, r.Revision, len(cat.Organisations), len(cat.Services), len(cat.Routes), len(r.Warnings))
}

// diff compares two catalogues.
type diff struct {
	info
	env  *environment
	json bool
}

func newDiff(env *environment) *diff {
	return &diff{env: env, info: info{
		"diff", aboutCatalogues, "compare two catalogues",
		"diff [-json] OLD NEW\n  List what differs, whom it belongs to, and each organisation's changes against its budget of a day.\n" +
			"  NEW must be good and have the higher revision; otherwise exit 1.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *diff) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "write JSON") }

// Execute implements subcommands.Command.
func (c *diff) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.env.misused(c, "give two files")
	}
	older, err := load(f.Arg(0))
	if err != nil {
		return c.env.fail(err)
	}
	newer, err := load(f.Arg(1))
	if err != nil {
		return c.env.fail(err)
	}
	d := catalogue.Diff(older, newer)
	if c.json {
		writeJSON(c.env.out, d)
	} else {
		printDifference(c.env.out, d)
	}
	for _, o := range d.Organisations {
		if o.Over() {
			fmt.Fprintf(c.env.err, "warning: organisation %q: %d changes exceed its budget of %d a day; bundle them or raise changesPerDay\n",
				o.Organisation, o.Changes, o.PerDay)
		}
	}
	if len(d.Changes) > 0 && newer.Revision <= older.Revision {
		return c.env.fail(errors.Errorf("%s: revision %d would be refused after %d; give it a higher revision", f.Arg(1), newer.Revision, older.Revision))
	}
	return exitDone
}

func printDifference(out io.Writer, d catalogue.Difference) {
	fmt.Fprintf(out, "revision %d to %d: %d changes\n", d.OldRevision, d.NewRevision, len(d.Changes))
	if len(d.Changes) == 0 {
		return
	}
	t := newTable(out, "CHANGE", "ENTRY", "NAME", "OWNER", "FIELD", "OLD", "NEW")
	for _, c := range d.Changes {
		if len(c.Fields) == 0 {
			t.row(c.Kind, c.Entry, c.Name, dash(c.Owner), "-", "-", "-")
		}
		for _, f := range c.Fields {
			t.row(c.Kind, c.Entry, c.Name, dash(c.Owner), f.Path, f.Old, f.New)
		}
	}
	t.flush()
	if len(d.Organisations) == 0 {
		return
	}
	fmt.Fprintln(out)
	t = newTable(out, "ORGANISATION", "CHANGES", "PER DAY")
	for _, o := range d.Organisations {
		t.row(o.Organisation, o.Changes, o.PerDay)
	}
	t.flush()
}

// render writes what to publish.
type render struct {
	info
	env *environment
	dir string
}

func newRender(env *environment) *render {
	return &render{env: env, info: info{
		"render", aboutCatalogues, "write the manifest and chunks to publish",
		"render -out DIR FILE\n  Write DIR/KEY for each value to publish on the platform. Publish the chunks first and the manifest last.\n" +
			"  A catalogue that may not follow the one in DIR by its revision is refused.",
	}}
}

// SetFlags implements subcommands.Command.
func (c *render) SetFlags(f *flag.FlagSet) { f.StringVar(&c.dir, "out", "", "directory to write into") }

// Execute implements subcommands.Command.
func (c *render) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.dir == "" {
		return c.env.misused(c, "give -out DIR and one file")
	}
	cat, err := load(f.Arg(0))
	if err != nil {
		return c.env.fail(err)
	}
	if err := checkFollows(c.dir, cat); err != nil {
		return c.env.fail(err)
	}
	values, err := catalogue.Publication(cat)
	if err != nil {
		return c.env.fail(err)
	}
	for _, v := range values {
		if err := writeValue(c.dir, v); err != nil {
			return c.env.fail(err)
		}
		fmt.Fprintf(c.env.out, "%s\t%d bytes\n", v.Key, len(v.Data))
	}
	return exitDone
}

// checkFollows refuses a catalogue that processes would refuse after the one that was rendered into dir before.
func checkFollows(dir string, cat *catalogue.Catalogue) error {
	data, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(origin.ManifestKey)))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "give -out a directory that can be read")
	}
	before, err := catalogue.ParseManifest(data)
	if err != nil {
		return err
	}
	doc, err := catalogue.Encode(cat)
	if err != nil {
		return err
	}
	if cat.Revision < before.Revision || cat.Revision == before.Revision && doc.Digest() != before.Digest {
		return errors.Errorf("%s holds revision %d and revision %d would be refused after it; give the catalogue a higher revision",
			dir, before.Revision, cat.Revision)
	}
	return nil
}

// writeValue writes a value to the file that its key names. The file appears whole or not at all.
func writeValue(dir string, v catalogue.Value) error {
	path := filepath.Join(dir, filepath.FromSlash(v.Key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "give -out a directory that can be written")
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, v.Data, 0o644); err != nil {
		return errors.Wrap(err, "give -out a directory that can be written")
	}
	return errors.Wrap(os.Rename(partial, path), "give -out a directory that can be written")
}

// chartCommand prints a state chart.
type chartCommand struct {
	info
	env *environment
}

func newChart(env *environment) *chartCommand {
	return &chartCommand{env: env, info: info{
		"chart", aboutCatalogues, "print a state chart as Graphviz",
		fmt.Sprintf("chart NAME\n  NAME is one of %q. Draw it with: chervilwellctl chart NAME | dot -Tsvg", charts.Names()),
	}}
}

// SetFlags implements subcommands.Command.
func (*chartCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *chartCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.misused(c, "give one name")
	}
	loaded, err := charts.Load(charts.Name(f.Arg(0)))
	if err != nil {
		return c.env.fail(err)
	}
	if err := loaded.WriteGraphviz(c.env.out); err != nil {
		return c.env.fail(err)
	}
	return exitDone
}

// load reads and checks a catalogue file.
func load(file string) (*catalogue.Catalogue, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "give the path of a readable file")
	}
	return catalogue.Parse(file, data)
}

func writeJSON(out io.Writer, v any) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// table writes aligned columns.
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

// dash stands for an empty cell.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
