package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/demo"
	"github.com/azuredeal/azuredeal/entry"
	"github.com/azuredeal/azuredeal/logs"
	"github.com/azuredeal/azuredeal/platform"
	"github.com/azuredeal/azuredeal/strict"
)

type serveCommand struct {
	File string `arg:"" optional:"" help:"Settings, JSON; by default the file that AZUREDEAL_BOOT names."`
}

// settingsVariable names the environment variable with the path of the settings.
const settingsVariable = "AZUREDEAL_BOOT"

// Run serves until a signal. The first one begins the graceful shutdown, the
// second one ends it.
func (c *serveCommand) Run(ctx context.Context) error {
	// Until the VM runs, a hangup must not end the process; changed settings are found
	// by comparison then.
	signal.Ignore(syscall.SIGHUP)
	path := cmp.Or(c.File, os.Getenv(settingsVariable))
	settings, err := conf.Load(path)
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
	log, flush := logs.New(os.Stdout, level)
	defer flush()
	hard, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	if settings.Platform.API == conf.APIObjects {
		return serveObjects(hard, path, settings, log, signals, cut)
	}
	vm, err := entry.New(hard, settings, entry.Options{Log: log})
	if err != nil {
		return err
	}
	go stopOn(hard, signals, vm.Drain, cut)
	go watchSettings(hard, path, log, vm.Reload)
	return vm.Run(hard)
}

// stopOn runs one step at each signal.
func stopOn(ctx context.Context, signals <-chan os.Signal, steps ...func()) {
	for _, step := range steps {
		select {
		case <-signals:
			step()
		case <-ctx.Done():
			return
		}
	}
}

// serveObjects runs an entry VM on a platform with a metadata store of objects.
func serveObjects(
	hard context.Context, path string, settings conf.Settings, log zerolog.Logger, signals <-chan os.Signal, cut func(),
) error {
	client := platform.NewClient(settings.Platform.URL)
	fleet := platform.NewRegistry(client, log)
	join, joined := context.WithCancel(hard)
	go stopOn(join, signals, joined)
	secret, incarnation, err := fleet.Join(join, settings)
	if err != nil {
		return err
	}
	joined()
	settings.Peer.Secret = secret
	var vm *entry.VM
	source := platform.NewReleaseSource(client, settings.Platform, func() int { return vm.Alive() }, log)
	vm, err = entry.New(hard, settings, entry.Options{
		Log:                  log,
		Dialect:              platform.Dialect(),
		ReleaseSource:        source.Run,
		LatestRevisions:      source.LatestRevisions,
		ObservePeerRevisions: source.ObservePeerRevisions,
		DiscoverVMs:          fleet.ListVMs,
		Incarnation:          incarnation,
	})
	if err != nil {
		return err
	}
	go stopOn(hard, signals, vm.Drain, cut)
	go watchSettings(hard, path, log, vm.Reload)
	group, ctx := errgroup.WithContext(hard)
	ctx, end := context.WithCancel(ctx)
	group.Go(func() error { return platform.NewDiscoveryServer(settings, vm, log).Run(ctx) })
	group.Go(func() error {
		defer end()
		return vm.Run(hard)
	})
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
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
