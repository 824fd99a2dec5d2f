package chart

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of an image.
const (
	width  = 24 * vg.Centimeter
	height = 13 * vg.Centimeter
)

// Point is one data point of a series.
type Point struct {
	// X and Y are in the units that the labels of the axes name.
	X, Y float64
}

// Series is one line of a chart.
type Series struct {
	// Name is the label in the legend.
	Name string
	// Points are sorted by X.
	Points []Point
}

// Picture is a chart of one or more series.
type Picture struct {
	// Title is printed above the chart, XLabel and YLabel at its axes.
	Title, XLabel, YLabel string
	// Series are drawn in this order, which also decides their colors.
	Series []Series
	// HorizontalLines are the values of Y at which a dashed line is drawn over the full
	// width, for example for thresholds. The Y axis is extended to include them.
	HorizontalLines []float64
}

// WritePNG draws the chart and writes it as a PNG image. The Y axis always includes zero.
func (p Picture) WritePNG(w io.Writer) error {
	drawing := plot.New()
	drawing.Title.Text, drawing.X.Label.Text, drawing.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	drawing.Legend.Top = true
	drawing.Add(plotter.NewGrid())
	for i, series := range p.Series {
		if err := addSeries(drawing, i, series); err != nil {
			return err
		}
	}
	for _, y := range p.HorizontalLines {
		line := plotter.NewFunction(func(float64) float64 { return y })
		line.Dashes = plotutil.Dashes(1)
		drawing.Add(line)
		drawing.Y.Max = max(drawing.Y.Max, y)
	}
	drawing.Y.Min = min(0, drawing.Y.Min)
	image, err := drawing.WriterTo(width, height, "png")
	if err != nil {
		return fmt.Errorf("draw chart %q: %w", p.Title, err)
	}
	if _, err := image.WriteTo(w); err != nil {
		return fmt.Errorf("write chart %q: %w", p.Title, err)
	}
	return nil
}

// addSeries adds the series at index i and its entry in the legend. The index selects
// the color.
func addSeries(drawing *plot.Plot, i int, series Series) error {
	points := make(plotter.XYs, len(series.Points))
	for j, point := range series.Points {
		points[j].X, points[j].Y = point.X, point.Y
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("series %q: %w", series.Name, err)
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(1.5)
	drawing.Add(line)
	drawing.Legend.Add(series.Name, line)
	return nil
}
