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

// plot draws, per site and policy, the share of faults that were detected
// within a time.
func (s *Summary) plot(path string) error {
	p := plot.New()
	p.Title.Text = "Faults detected within a time, all traces with faults of single servers"
	p.X.Label.Text = "time since the first affected request, s (log scale)"
	p.Y.Label.Text = "share of faults"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = plotFrom, plotTo, 0, 1
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
			line, err := plotter.NewLine(steps(times))
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
	plotFrom = 0.1 // Seconds.
	plotTo   = 100
)

func (s *Summary) sites() []string {
	var out []string
	for _, t := range s.traces {
		if !slices.Contains(out, t.Site) {
			out = append(out, t.Site)
		}
	}
	return out
}

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

// steps returns the distribution of the times. Times outside of the plot are
// drawn at its edge.
func steps(times []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(times)+1)
	out = append(out, plotter.XY{X: plotFrom})
	for i, t := range times {
		x := min(max(t, plotFrom), plotTo)
		out = append(out, plotter.XY{X: x, Y: float64(i+1) / float64(len(times))})
	}
	return out
}
