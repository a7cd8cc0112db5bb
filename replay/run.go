package replay

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Options says what to replay. The zero value replays nothing.
type Options struct {
	Traces   []*Trace
	Policies []string // Default: all.
	Short    bool     // First tuning seed only, for the short span of a trace.
	Held     bool     // Also the seeds kept out of tuning.
	Workers  int      // Runs at a time; default 1.
	Out      string   // Directory for the table and the plot; empty: none.
}

// Summary holds the results of all traces.
type Summary struct {
	traces  []*Trace
	results []*Result
	misses  []UnmetExpectation
}

// Results returns one result per trace, kind of seeds and policy, in the order
// of the options.
func (s *Summary) Results() []*Result { return s.results }

// UnmetExpectations returns the stated outcomes that are not met.
func (s *Summary) UnmetExpectations() []UnmetExpectation { return s.misses }

type job struct {
	result *Result
	seed   uint64
	span   time.Duration
}

// Run replays the traces, checks them against their stated outcomes and writes
// the table and the plot. Results do not depend on the number of workers. A
// missed outcome is no error.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if len(o.Policies) == 0 {
		o.Policies = PolicyNames()
	}
	sum := &Summary{traces: o.Traces}
	jobs := o.jobs(sum)
	parts := make([]*Result, len(jobs))
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(max(1, o.Workers))
	for i, j := range jobs {
		group.Go(func() error {
			var err error
			parts[i], err = run(inner, j.result.trace, j.result.policy, j.seed, j.span)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrap(err, "replay")
	}
	for i, j := range jobs {
		j.result.add(parts[i])
	}
	for _, t := range o.Traces {
		sum.misses = append(sum.misses, CheckExpectations(t, sum.results)...)
	}
	if o.Out == "" {
		return sum, nil
	}
	return sum, sum.write(o.Out)
}

// jobs lists the runs and adds an empty result for each group of them.
func (o *Options) jobs(sum *Summary) []job {
	var jobs []job
	for _, t := range o.Traces {
		for _, held := range []bool{false, true} {
			seeds, span := t.TuningSeeds, t.Span.Std()
			if held {
				seeds = t.Held
			}
			if o.Short {
				seeds, span = t.TuningSeeds[:1], t.Short.Std()
			}
			if held && (o.Short || !o.Held || len(seeds) == 0) {
				continue
			}
			for _, p := range o.Policies {
				r := newResult(t, p)
				r.held = held
				sum.results = append(sum.results, r)
				for _, seed := range seeds {
					jobs = append(jobs, job{r, seed, span})
				}
			}
		}
	}
	return jobs
}

func (s *Summary) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	table, err := os.Create(filepath.Join(dir, "table.md"))
	if err != nil {
		return errors.Wrap(err, "create table")
	}
	if err := s.WriteTable(table); err != nil {
		_ = table.Close() // The first error is the one to report.
		return err
	}
	if err := table.Close(); err != nil {
		return errors.Wrap(err, "close table")
	}
	return s.plot(filepath.Join(dir, "detection.svg"))
}
