// Package demo runs a small fleet in one process on loopback: a stand-in platform,
// one entry VM in each availability zone and workers for two services. It
// publishes a release note, replays a committed trace in which workers show gray
// failures, and compares what callers got with the stated outcomes.
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
	readyTime = 10 * time.Second
	pollTime  = 50 * time.Millisecond
	callTime  = 10 * time.Second
	percent   = 100
)

// Options configures a demo.
type Options struct {
	Out io.Writer      // Takes the table of outcomes.
	Log zerolog.Logger // Takes the log lines of the entry VMs.
}

// ErrUnmetExpectation means that a stated outcome was missed.
var ErrUnmetExpectation = errors.New("a stated outcome was missed")

// Run runs the demo with the committed trace. It returns ErrOutcome when a stated
// outcome was missed.
func Run(ctx context.Context, opts Options) error {
	t, err := loadTrace(committed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	outcomes, err := replayTrace(ctx, group, t, opts.Log)
	cancel()
	if ended := group.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	if err != nil {
		return err
	}
	return report(opts.Out, t, outcomes)
}

func replayTrace(ctx context.Context, group *errgroup.Group, t *Trace, log zerolog.Logger) ([]outcome, error) {
	f, err := start(ctx, group, t, log)
	if err != nil {
		return nil, err
	}
	if err := f.publish(ctx); err != nil {
		return nil, err
	}
	c := &caller{http: &http.Client{Timeout: callTime}, tally: &tally{}}
	if c.addrs, err = c.addresses(ctx, f.vms[0].EntryAddr(), t.Zones[0]); err != nil {
		return nil, err
	}
	if len(c.addrs) != len(f.vms) {
		return nil, errors.Newf("callers were told %d addresses of %d", len(c.addrs), len(f.vms))
	}
	w := newWatch(f)
	begin := time.Now()
	watchCtx, stop := context.WithCancel(ctx)
	group.Go(func() error { return w.run(watchCtx) })
	f.drive(ctx, c, w, begin)
	stop()
	return judge(t, f, c.tally, w), nil
}

// publish sends the note to one VM and waits until it is in effect on all.
func (f *fleet) publish(ctx context.Context) error {
	data, err := f.releaseNote()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	generation, err := admin.NewClient("", "http://"+f.vms[0].AdminAddr()).Publish(ctx, data)
	if err != nil {
		return err
	}
	joined := func(vm *entry.VM) bool {
		return vm.Generation() >= generation && vm.Alive() == len(f.vms)
	}
	for !lo.EveryBy(f.vms, joined) {
		select {
		case <-time.After(pollTime):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the release is not in effect on every VM")
		}
	}
	return nil
}

// drive sends the arrivals and applies the events at their times.
func (f *fleet) drive(ctx context.Context, c *caller, w *watch, begin time.Time) {
	deadlines := map[string]time.Duration{}
	for _, s := range f.trace.Services {
		deadlines[s.Name] = s.Deadline.Std()
	}
	for _, e := range f.trace.Events {
		timer := time.AfterFunc(time.Until(begin.Add(e.At.Std())), func() {
			f.workers[e.Service][e.Worker].SetBehavior(worker.Behavior{Mode: e.Mode})
			w.faulty(e)
		})
		defer timer.Stop()
	}
	var requests sync.WaitGroup
	for _, a := range f.trace.schedule() {
		select {
		case <-time.After(time.Until(begin.Add(a.at))):
		case <-ctx.Done():
			return
		}
		requests.Go(func() { c.run(ctx, a, deadlines[a.flow.Service]) })
	}
	requests.Wait()
}

// outcome is one row of the table.
type outcome struct {
	name   string
	got    string
	stated string
	ok     bool
}

func judge(t *Trace, f *fleet, y *tally, w *watch) []outcome {
	y.mu.Lock()
	defer y.mu.Unlock()
	missed := float64(y.requests-y.whole) / float64(max(1, y.requests))
	doubled, falseNotRun := f.runs(y.notRun)
	rows := []outcome{
		{"requests", fmt.Sprintf("%d and %d repeats", y.requests, y.repeats), "", true},
		{"own whole responses in time", fmt.Sprint(y.whole), "", true},
		{"refused, not run", fmt.Sprint(y.refused), "", true},
		{"unknown", fmt.Sprint(y.unknown), "", true},
		{"late or no response", fmt.Sprint(y.late + y.failed), "", true},
		{"without a whole response in time", fmt.Sprintf("%.2f%%", percent*missed), fmt.Sprintf("at most %.2f%%", percent*t.Expectations.MaxMissedShare), missed <= t.Expectations.MaxMissedShare},
		{"responses that are foreign or cut", fmt.Sprint(y.foreign), "0", y.foreign == 0},
		{"actions run twice", fmt.Sprint(doubled), "0", doubled == 0},
		{"told not run, but ran", fmt.Sprint(falseNotRun), "0", falseNotRun == 0},
		{"time p50, p99", quantiles(y.seconds), "", true},
	}
	return append(rows, w.outcomes(t)...)
}

// runs counts actions that ran twice and those that ran although every answer
// said "not run".
func (f *fleet) runs(notRun []string) (doubled, falseNotRun int) {
	total := map[string]int{}
	for _, servers := range f.workers {
		for _, s := range servers {
			for key, n := range s.RunsByKey() {
				total[key] += n
			}
		}
	}
	doubled = lo.CountBy(lo.Values(total), func(n int) bool { return n > 1 })
	falseNotRun = lo.CountBy(notRun, func(key string) bool { return total[key] > 0 })
	return doubled, falseNotRun
}

func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v, %v", at(0.5), at(0.99))
}

func report(out io.Writer, t *Trace, rows []outcome) error {
	_, _ = fmt.Fprintf(out, "trace: %s, %v\n", t.Name, t.Span.Std())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	failed := false
	for _, row := range rows {
		verdict := ""
		if row.stated != "" {
			verdict = lo.Ternary(row.ok, "ok", "FAILED")
		}
		failed = failed || !row.ok
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.name, row.got, row.stated, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed {
		return ErrUnmetExpectation
	}
	return nil
}
