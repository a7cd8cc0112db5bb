package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/demo"
	"github.com/azuredeal/azuredeal/entry"
	"github.com/azuredeal/azuredeal/strict"
)

type serveCommand struct {
	File string `arg:"" help:"Settings, JSON." type:"existingfile"`
}

// Run serves until a signal. The first one begins the graceful shutdown, the
// second one ends it.
func (c *serveCommand) Run(ctx context.Context) error {
	settings, err := conf.Load(c.File)
	var problems strict.Problems
	if errors.As(err, &problems) {
		return report(err)
	}
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	hard, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	vm, err := entry.New(hard, settings, entry.Options{Log: log})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		for _, step := range []func(){vm.Drain, cut} {
			select {
			case <-signals:
				step()
			case <-hard.Done():
				return
			}
		}
	}()
	return vm.Run(hard)
}

type demoCommand struct {
	Verbose bool `help:"Print the log lines of the entry VMs."`
}

// Run runs the demo and fails when a stated outcome was missed.
func (c *demoCommand) Run(ctx context.Context) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr})
	}
	return demo.Run(ctx, demo.Options{Out: os.Stdout, Log: log})
}
