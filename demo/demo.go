// Package demo runs a small fleet in one process on loopback: a stand-in platform, one
// entry VM in each availability zone and workers for two services. It publishes a release
// note, replays the embedded trace, in which workers show gray failures, and compares the
// responses of callers with the expectations of the trace.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/entry"
	"github.com/azuredeal/azuredeal/worker"
)

const (
	readyTimeout = 10 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 10 * time.Second
	percent      = 100
)

// Options configures a demo.
type Options struct {
	Out io.Writer      // Receives the table of outcomes.
	Log zerolog.Logger // Receives the log lines of the entry VMs.
}

// ErrUnmetExpectation means that an outcome missed its expectation.
var ErrUnmetExpectation = errors.New("a stated outcome was missed")

// Run runs the demo with the embedded trace. It returns ErrUnmetExpectation if an outcome
// misses its expectation.
func Run(ctx context.Context, opts Options) error {
	t, err := loadTrace(embeddedTrace)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	outcomes, err := replayTrace(ctx, group, t, opts.Log)
	cancel()
	if groupErr := group.Wait(); err == nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	if err != nil {
		return err
	}
	return writeReport(opts.Out, t, outcomes)
}

func replayTrace(ctx context.Context, group *errgroup.Group, t *Trace, log zerolog.Logger) ([]outcome, error) {
	f, err := start(ctx, group, t, log)
	if err != nil {
		return nil, err
	}
	if err := f.publish(ctx); err != nil {
		return nil, err
	}
	c := &caller{http: &http.Client{Timeout: callTimeout}, tally: &tally{}}
	if c.addrs, err = c.addresses(ctx, f.vms[0].EntryAddr(), t.Zones[0]); err != nil {
		return nil, err
	}
	if len(c.addrs) != len(f.vms) {
		return nil, errors.Newf("callers were told %d addresses of %d", len(c.addrs), len(f.vms))
	}
	m := newMonitor(f)
	startTime := time.Now()
	monitorCtx, stop := context.WithCancel(ctx)
	group.Go(func() error { return m.run(monitorCtx) })
	f.runSchedule(ctx, c, m, startTime)
	stop()
	return evaluate(t, f, c.tally, m), nil
}

// publish sends the release note to one VM and waits until all VMs have applied the
// release and consider each other alive.
func (f *fleet) publish(ctx context.Context) error {
	data, err := f.releaseNote()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	generation, err := admin.NewClient("", "http://"+f.vms[0].AdminAddr()).Publish(ctx, data)
	if err != nil {
		return err
	}
	ready := func(vm *entry.VM) bool {
		return vm.Generation() >= generation && vm.Alive() == len(f.vms)
	}
	for !lo.EveryBy(f.vms, ready) {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the release is not in effect on every VM")
		}
	}
	return nil
}

// runSchedule sends the requests and applies the events of the trace at their times.
// It returns when all requests have ended.
func (f *fleet) runSchedule(ctx context.Context, c *caller, m *monitor, startTime time.Time) {
	deadlines := map[string]time.Duration{}
	for _, s := range f.trace.Services {
		deadlines[s.Name] = s.Deadline.Std()
	}
	for _, e := range f.trace.Events {
		timer := time.AfterFunc(time.Until(startTime.Add(e.At.Std())), func() {
			f.workers[e.Service][e.Worker].SetBehavior(worker.Behavior{Mode: e.Mode})
			m.recordFault(e)
		})
		defer timer.Stop()
	}
	var requests sync.WaitGroup
	for _, a := range f.trace.schedule() {
		select {
		case <-time.After(time.Until(startTime.Add(a.at))):
		case <-ctx.Done():
			return
		}
		requests.Go(func() { c.run(ctx, a, deadlines[a.flow.Service]) })
	}
	requests.Wait()
}

// outcome is one row of the table of outcomes.
type outcome struct {
	name     string
	got      string
	expected string // Empty if there is no expectation.
	ok       bool
}

// evaluate compares what callers received and the monitor saw with the expectations.
func evaluate(t *Trace, f *fleet, counts *tally, m *monitor) []outcome {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	missed := float64(counts.requests-counts.complete) / float64(max(1, counts.requests))
	ranTwice, notRunButRan := f.countRuns(counts.notRun)
	rows := []outcome{
		{"requests", fmt.Sprintf("%d and %d repeats", counts.requests, counts.repeats), "", true},
		{"own whole responses in time", fmt.Sprint(counts.complete), "", true},
		{"refused, not run", fmt.Sprint(counts.refused), "", true},
		{"unknown", fmt.Sprint(counts.unknown), "", true},
		{"late or no response", fmt.Sprint(counts.late + counts.failed), "", true},
		{"without a whole response in time", fmt.Sprintf("%.2f%%", percent*missed), fmt.Sprintf("at most %.2f%%", percent*t.Expectations.MaxMissedShare), missed <= t.Expectations.MaxMissedShare},
		{"responses that are foreign or cut", fmt.Sprint(counts.mismatched), "0", counts.mismatched == 0},
		{"actions run twice", fmt.Sprint(ranTwice), "0", ranTwice == 0},
		{"told not run, but ran", fmt.Sprint(notRunButRan), "0", notRunButRan == 0},
		{"time p50, p99", quantiles(counts.durations), "", true},
	}
	return append(rows, m.outcomes(t)...)
}

// countRuns returns how many actions ran more than once, and how many ran although every
// response to the caller said "not run".
func (f *fleet) countRuns(notRun []string) (ranTwice, notRunButRan int) {
	total := map[string]int{}
	for _, servers := range f.workers {
		for _, s := range servers {
			for key, n := range s.RunsByKey() {
				total[key] += n
			}
		}
	}
	ranTwice = lo.CountBy(lo.Values(total), func(n int) bool { return n > 1 })
	notRunButRan = lo.CountBy(notRun, func(key string) bool { return total[key] > 0 })
	return ranTwice, notRunButRan
}

// quantiles formats the median and the 99th percentile; it sorts times.
func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	quantile := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v, %v", quantile(0.5), quantile(0.99))
}

// writeReport writes the table of outcomes. It returns ErrUnmetExpectation if one missed its
// expectation.
func writeReport(out io.Writer, t *Trace, rows []outcome) error {
	_, _ = fmt.Fprintf(out, "trace: %s, %v\n", t.Name, t.Span.Std())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	failed := false
	for _, row := range rows {
		verdict := ""
		if row.expected != "" {
			verdict = lo.Ternary(row.ok, "ok", "FAILED")
		}
		failed = failed || !row.ok
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.name, row.got, row.expected, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed {
		return ErrUnmetExpectation
	}
	return nil
}
