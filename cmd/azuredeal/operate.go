package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/replay"
	"github.com/azuredeal/azuredeal/strict"
)

type operator struct {
	To    []string `help:"Operators' addresses of entry VMs, ip:port, tried in order." default:"127.0.0.1:9001"`
	Token string   `help:"Bearer token." env:"AZUREDEAL_TOKEN"`
}

func (o *operator) client() *admin.Client {
	baseURLs := make([]string, 0, len(o.To))
	for _, addr := range o.To {
		baseURLs = append(baseURLs, "http://"+addr)
	}
	return admin.NewClient(o.Token, baseURLs...)
}

type publishCommand struct {
	operator
	File string `arg:"" help:"Release note, JSON." type:"existingfile"`
}

// Run publishes the note and prints the generation of the release that contains it.
func (c *publishCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	generation, err := c.client().Publish(ctx, data)
	var refused *admin.Problem
	if errors.As(err, &refused) {
		fmt.Fprintf(os.Stderr, "refused (%s): %s\n", refused.Kind, refused.Detail)
		for _, p := range refused.Problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return errInvalid
	}
	if err != nil {
		return err
	}
	fmt.Printf("generation %d\n", generation)
	return nil
}

type dumpCommand struct {
	operator
}

// Run prints the state dump of the first VM that responds.
func (c *dumpCommand) Run(ctx context.Context) error {
	data, err := c.client().Dump(ctx)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	_, err = out.WriteTo(os.Stdout)
	return err
}

type freeCommand struct {
	operator
	Request string `arg:"" help:"Digest of the request, as in the dump and in log lines."`
}

// Run clears the request on all VMs through the first one that responds.
func (c *freeCommand) Run(ctx context.Context) error {
	known, err := c.client().Free(ctx, c.Request)
	var refused *admin.Problem
	switch {
	case errors.As(err, &refused):
		fmt.Fprintf(os.Stderr, "refused (%s): %s\n", refused.Kind, refused.Detail)
		return errInvalid
	case err != nil:
		return err
	case known:
		fmt.Println("freed")
	default:
		fmt.Println("nothing was known against it")
	}
	return nil
}

type checkCommand struct {
	Settings checkSettings `cmd:"" help:"Check the settings of an entry VM."`
	Note     checkNote     `cmd:"" help:"Check the form of a release note and, against an empty release, its content."`
}

type checkSettings struct {
	File string `arg:"" type:"existingfile"`
}

// Run prints every problem of the settings.
func (c *checkSettings) Run() error {
	_, err := conf.Load(c.File)
	return printProblems(err)
}

type checkNote struct {
	File string `arg:"" type:"existingfile"`
}

// Run prints every problem of the note. A note with base generation 0 is also
// applied to an empty release. Of any other only the form is checked, because its base
// release is not available offline.
func (c *checkNote) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	n, err := note.Parse(data)
	if err != nil || n.BaseGeneration != 0 {
		return printProblems(err)
	}
	_, problems := note.Apply(note.NewRelease(0, nil, nil, nil), n)
	return printProblems(problems.Err())
}

// printProblems prints "ok", or each problem of err and returns errInvalid. Any other
// error is returned as it is.
func printProblems(err error) error {
	if err == nil {
		fmt.Println("ok")
		return nil
	}
	var problems strict.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return errInvalid
}

type replayCommand struct {
	Trace   []string `help:"Trace files; all committed traces when none is given." type:"existingfile"`
	Short   bool     `help:"First seed and short span only."`
	Held    bool     `help:"Also run the seeds that were kept out of tuning."`
	Workers int      `help:"Runs at a time." default:"4"`
	Out     string   `help:"Directory for the table and the plots."`
}

// Run replays the traces and prints the table of results. It returns an error when a
// result misses an expectation of its trace.
func (c *replayCommand) Run(ctx context.Context) error {
	traces, err := c.traces()
	if err != nil {
		return err
	}
	start := time.Now()
	sum, err := replay.Run(ctx, replay.Options{Traces: traces, Short: c.Short, Held: c.Held, Workers: c.Workers, Out: c.Out})
	if err != nil {
		return err
	}
	if err := sum.WriteTable(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("replayed in %v\n", time.Since(start).Round(time.Millisecond))
	for _, unmet := range sum.UnmetExpectations() {
		fmt.Printf("missed: %v\n", unmet)
	}
	if n := len(sum.UnmetExpectations()); n > 0 {
		return errors.Newf("%d stated outcomes were missed", n)
	}
	return nil
}

func (c *replayCommand) traces() ([]*replay.Trace, error) {
	if len(c.Trace) == 0 {
		return replay.EmbeddedTraces()
	}
	var out []*replay.Trace
	for _, name := range c.Trace {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		t, err := replay.LoadTrace(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, t)
	}
	return out, nil
}
