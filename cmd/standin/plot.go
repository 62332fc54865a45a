package main

import (
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"hornbeamwinch.example/drydock"
)

const (
	panelWidth  = 28 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	barWidth    = 0.6 * vg.Centimeter
	// headroom scales the y axis to leave space for the legend above the highest
	// bar.
	headroom = 1.35
)

// panel is the bar chart of one measure.
type panel struct {
	title string
	value func(drydock.Measures) float64
}

var panels = []panel{
	{title: "imbalance (max / mean load)", value: func(m drydock.Measures) float64 { return m.Imbalance }},
	{title: "churn (keys moved of 1000)", value: func(m drydock.Measures) float64 { return m.Churn }},
	{title: "unavailable time (log10 of 1 + key-seconds for 1000 keys)", value: func(m drydock.Measures) float64 {
		return math.Log10(1 + m.Unavailable)
	}},
}

var barColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// plotRows draws one panel for each measure and writes the plot to a PNG file.
func plotRows(rows []row, file string) error {
	canvas := vgimg.New(panelWidth, panelHeight*vg.Length(len(panels)))
	area := draw.New(canvas)
	for i, p := range panels {
		picture, err := p.plot(rows)
		if err != nil {
			return err
		}
		bottom := panelHeight * vg.Length(len(panels)-1-i)
		top := panelHeight * vg.Length(i)
		picture.Draw(draw.Crop(area, 0, 0, bottom, -top))
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// plot draws the bars of one measure, one color for each placement.
func (p panel) plot(rows []row) (*plot.Plot, error) {
	picture := plot.New()
	picture.Title.Text = p.title
	picture.Legend.Top = true
	for i, name := range drydock.Placements() {
		var values plotter.Values
		for _, r := range rows {
			if r.Placement == name {
				values = append(values, p.value(r.Measures))
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = barColors[i]
		bars.Offset = barWidth * vg.Length(i-1)
		picture.Add(bars)
		picture.Legend.Add(name, bars)
	}
	picture.NominalX(groupNames(rows)...)
	picture.Y.Max *= headroom
	return picture, nil
}

// groupNames returns a label for each pair of deployment and fault.
func groupNames(rows []row) []string {
	var names []string
	for _, r := range rows {
		if r.Placement == drydock.PlacementHornbeamwinch {
			names = append(names, r.Deployment[:4]+": "+r.Fault)
		}
	}
	return names
}
