package bench

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// Point is one point of a series.
type Point struct{ X, Y float64 }

// Series is a named line of a plot.
type Series struct {
	Name   string
	Points []Point
}

// Plot is one diagram of an experiment's result.
type Plot struct {
	// Name is the end of the file's name, in lower case and without spaces.
	Name   string
	Title  string
	XLabel string
	YLabel string
	Lines  []Series
}

// Plotter is implemented by results that bring their own diagrams.
type Plotter interface {
	Plots() []Plot
}

func writePlots(text *strings.Builder, dir string, o Outcome, fields []field) error {
	if p, ok := o.Result.(Plotter); ok {
		for _, diagram := range p.Plots() {
			file := fmt.Sprintf("%s-%s.svg", o.Experiment.Name, diagram.Name)
			if err := drawLines(filepath.Join(dir, file), diagram); err != nil {
				return err
			}
			fmt.Fprintf(text, "\n![%s](%s)\n", diagram.Title, file)
		}
	}
	return writeBaselines(text, dir, o, fields)
}

func drawLines(file string, diagram Plot) error {
	p := plot.New()
	p.Title.Text = diagram.Title
	p.X.Label.Text = diagram.XLabel
	p.Y.Label.Text = diagram.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range diagram.Lines {
		points := make(plotter.XYs, len(s.Points))
		for j, pt := range s.Points {
			points[j] = plotter.XY(pt)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", diagram.Name)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write a plot")
}

// writeBaselines draws one bar chart for each figure that has a counterpart named baseline_<figure>.
func writeBaselines(text *strings.Builder, dir string, o Outcome, fields []field) error {
	for _, f := range fields {
		base, hasBase := number(fields, "baseline_"+f.name)
		figure, ok := number(fields, f.name)
		if !ok || !hasBase {
			continue
		}
		file := fmt.Sprintf("%s-%s.svg", o.Experiment.Name, f.name)
		if err := drawBars(filepath.Join(dir, file), f.name, figure, base); err != nil {
			return err
		}
		fmt.Fprintf(text, "\n![%s against the baseline](%s)\n", f.name, file)
	}
	return nil
}

func drawBars(file, name string, figure, base float64) error {
	p := plot.New()
	p.Title.Text = name
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(plotter.Values{figure, base}, barWidth)
	if err != nil {
		return errors.Wrapf(err, "plot %s", name)
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX("measured", "baseline")
	return errors.Wrap(p.Save(plotWidth/2, plotHeight, file), "write a plot")
}
