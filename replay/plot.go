package replay

import (
	"image/color"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plot draws the cumulative distribution of the detection times for each site and
// policy and saves it as a file.
func (s *Summary) plot(path string) error {
	p := plot.New()
	p.Title.Text = "Faults detected within a time, all traces with faults of single servers"
	p.X.Label.Text = "time since the first affected request, s (log scale)"
	p.Y.Label.Text = "share of faults"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = plotMinSeconds, plotMaxSeconds, 0, 1
	p.Legend.Left, p.Legend.Top = true, true
	colors := []color.Color{
		color.RGBA{B: 200, A: 255},
		color.RGBA{R: 200, A: 255},
		color.RGBA{G: 140, A: 255},
		color.RGBA{R: 200, G: 140, A: 255},
	}
	n := 0
	for _, site := range s.sites() {
		for _, policy := range []string{PolicyAzuredeal, PolicyConsecutiveErrors} {
			times := s.times(site, policy)
			if len(times) == 0 {
				continue
			}
			line, err := plotter.NewLine(cumulative(times))
			if err != nil {
				return errors.Wrap(err, "draw line")
			}
			line.Color = colors[n%len(colors)]
			n++
			p.Add(line)
			p.Legend.Add(site+" "+policy, line)
		}
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

const (
	plotMinSeconds = 0.1 // Lower end of the time axis.
	plotMaxSeconds = 100 // Upper end of the time axis.
)

// sites returns the sites of the traces, in the order of the traces.
func (s *Summary) sites() []string {
	var out []string
	for _, t := range s.traces {
		if !slices.Contains(out, t.Site) {
			out = append(out, t.Site)
		}
	}
	return out
}

// times returns the detection times of all faults, in seconds, in ascending order.
func (s *Summary) times(site, policy string) []float64 {
	var out []float64
	for _, r := range s.results {
		if r.trace.Site == site && r.policy == policy {
			out = append(out, r.detected...)
		}
	}
	slices.Sort(out)
	return out
}

// cumulative returns the cumulative distribution of the times. Times outside the range of
// the axis are drawn at its ends.
func cumulative(times []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(times)+1)
	out = append(out, plotter.XY{X: plotMinSeconds})
	for i, t := range times {
		x := min(max(t, plotMinSeconds), plotMaxSeconds)
		out = append(out, plotter.XY{X: x, Y: float64(i+1) / float64(len(times))})
	}
	return out
}
