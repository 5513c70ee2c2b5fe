// Package chart plots a service's burn rate over the last hours as an SVG.
package chart

import (
	"bytes"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
)

const (
	width  = 18 * vg.Centimeter
	height = 6 * vg.Centimeter
	// rateWindowMinutes is the window, in minutes, of the plotted burn rate.
	rateWindowMinutes = 5
)

// Burn plots the burn rate of one service over a sliding window of five minutes, with the alerts'
// rates as dashed lines. It returns the SVG.
func Burn(r burn.ServiceReport) ([]byte, error) {
	p := plot.New()
	p.Title.Text = r.Service
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: func(t float64) time.Time { return time.Unix(int64(t), 0).UTC() }}
	p.Y.Min = 0
	line, err := plotter.NewLine(ratePoints(r))
	if err != nil {
		return nil, gauge.Errorf(gauge.KindInternal, "chart.Burn").WithCause(err)
	}
	p.Add(plotter.NewGrid(), line)
	for _, rate := range []float64{burn.PageRate, burn.TicketRate} {
		bound := plotter.NewFunction(func(float64) float64 { return rate })
		bound.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(bound)
	}
	p.Y.Max = max(p.Y.Max, burn.PageRate+1)
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, gauge.Errorf(gauge.KindInternal, "chart.Burn").WithCause(err)
	}
	return out.Bytes(), nil
}

func ratePoints(r burn.ServiceReport) plotter.XYs {
	out := make(plotter.XYs, len(r.Counts))
	firstMinute := r.Minute - int64(len(r.Counts)) + 1
	for i := range r.Counts {
		s := burn.Series{Counts: r.Counts[:i+1]}
		out[i].X = float64((firstMinute + int64(i)) * 60)
		out[i].Y = s.Rate(rateWindowMinutes, r.Objective)
	}
	return out
}
