package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg" // the form of the pictures
)

const (
	steady    = 0.15 // a figure that moves by less than this part of its mean does not grow
	straight  = 0.1  // a line misses no point by more than this part of the largest
	halfLine  = 0.03 // so many times the points' range is drawn beyond them
	wide      = 9 * vg.Centimeter
	high      = 6 * vg.Centimeter
	inPicture = 3 // columns of pictures
)

// fit lays the line of least squares through a figure, and says how the figure grows.
func fit(rows []row, i int) (slope, at0 float64, form string) {
	var n, sx, sy, sxx, sxy float64
	least, most := math.Inf(1), math.Inf(-1)
	for _, r := range rows {
		x, y := r.size, r.figures[i].value
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		least, most = min(least, y), max(most, y)
	}
	if spread := n*sxx - sx*sx; spread > 0 {
		slope = (n*sxy - sx*sy) / spread
	}
	at0 = (sy - slope*sx) / n
	if most == least || most-least < steady*math.Abs(sy/n) {
		return slope, at0, "steady"
	}
	for _, r := range rows {
		if math.Abs(at0+slope*r.size-r.figures[i].value) > straight*max(math.Abs(most), math.Abs(least)) {
			return slope, at0, "no line"
		}
	}
	return slope, at0, "line"
}

// points are a figure's values by size, with their spread.
type points struct {
	rows []row
	i    int
}

// Len implements plotter.XYer.
func (p points) Len() int { return len(p.rows) }

// XY implements plotter.XYer.
func (p points) XY(at int) (x, y float64) { return p.rows[at].size, p.rows[at].figures[p.i].value }

// YError implements plotter.YErrorer.
func (p points) YError(at int) (low, high float64) {
	f := p.rows[at].figures[p.i]
	return f.value - f.low, f.high - f.value
}

// plotSlope makes one picture of a slope with a small plot for each figure that is to be drawn.
func plotSlope(s series, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var plots []*plot.Plot
	for i, f := range s.rows[0].figures {
		if !f.drawn {
			continue
		}
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.name, s.grows, f.unit
		p.Y.Min = 0
		if s.name == "index" || s.name == "claims" || s.name == "blocks" {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		line, dots, err := plotter.NewLinePoints(points{s.rows, i})
		if err != nil {
			return err
		}
		bars, err := plotter.NewYErrorBars(points{s.rows, i})
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(0), plotutil.Color(0), draw.CircleGlyph{}
		p.Add(plotter.NewGrid(), line, dots, bars)
		p.Y.Min = 0
		p.Y.Max *= 1 + halfLine
		plots = append(plots, p)
	}
	if len(plots) == 0 {
		return fmt.Errorf("%s has no figure to be drawn", s.name)
	}
	return save(plots, filepath.Join(folder, s.name+".svg"))
}

// save lays plots side by side into one picture.
func save(plots []*plot.Plot, path string) error {
	columns := min(inPicture, len(plots))
	rows := (len(plots) + columns - 1) / columns
	canvas, err := draw.NewFormattedCanvas(vg.Length(columns)*wide, vg.Length(rows)*high, "svg")
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter * 3, PadY: vg.Millimeter * 3}
	whole := draw.New(canvas)
	for i, p := range plots {
		p.Draw(tiles.At(whole, i%columns, i/columns))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err = canvas.WriteTo(file); err != nil {
		_ = file.Close() // the first error counts
		return err
	}
	return file.Close()
}
