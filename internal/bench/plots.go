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

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// Point is one point of a series.
type Point struct{ X, Y float64 }

// Series is one line of a plot. Name is its label in the legend.
type Series struct {
	Name   string
	Points []Point
}

// Plot is a line chart over an experiment's result.
type Plot struct {
	// Name is the suffix of the file name, EXPERIMENT-NAME.svg. It is in lower case and has no spaces.
	Name   string
	Title  string
	XLabel string
	YLabel string
	Lines  []Series
}

// Plotter is implemented by results that have line charts.
type Plotter interface {
	// Plots returns the charts, which WriteReport adds to the section of the experiment.
	Plots() []Plot
}

// writePlots writes the charts of an outcome to dir and appends references to them to text.
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
		for j, point := range s.Points {
			points[j] = plotter.XY(point)
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

// writeBaselines writes a bar chart for each numeric field that has a counterpart named baseline_FIELD.
func writeBaselines(text *strings.Builder, dir string, o Outcome, fields []field) error {
	for _, f := range fields {
		baseline, hasBase := numericField(fields, "baseline_"+f.name)
		figure, ok := numericField(fields, f.name)
		if !ok || !hasBase {
			continue
		}
		file := fmt.Sprintf("%s-%s.svg", o.Experiment.Name, f.name)
		if err := drawBars(filepath.Join(dir, file), f.name, figure, baseline); err != nil {
			return err
		}
		fmt.Fprintf(text, "\n![%s against the baseline](%s)\n", f.name, file)
	}
	return nil
}

func drawBars(file, name string, figure, baseline float64) error {
	p := plot.New()
	p.Title.Text = name
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(plotter.Values{figure, baseline}, barWidth)
	if err != nil {
		return errors.Wrapf(err, "plot %s", name)
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX("measured", "baseline")
	return errors.Wrap(p.Save(plotWidth/2, plotHeight, file), "write a plot")
}
