package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/demo"
	"github.com/azuredeal/azuredeal/entry"
	"github.com/azuredeal/azuredeal/internal/fleet/feed"
	"github.com/azuredeal/azuredeal/logs"
	"github.com/azuredeal/azuredeal/platform"
	"github.com/azuredeal/azuredeal/strict"
	"github.com/azuredeal/azuredeal/wire"
)

type serveCommand struct {
	File string `arg:"" optional:"" help:"Settings, JSON; by default the file that AZUREDEAL_BOOT names."`
}

// settingsEnvVar is the environment variable that holds the path of the settings file.
const settingsEnvVar = "AZUREDEAL_BOOT"

// Run serves until SIGINT or SIGTERM. The first signal starts the graceful shutdown,
// the second one stops the VM at once.
func (c *serveCommand) Run(ctx context.Context) error {
	// Before the settings file is watched, SIGHUP must not end the process. Settings that
	// change in that time are found when the watch begins.
	signal.Ignore(syscall.SIGHUP)
	path := cmp.Or(c.File, os.Getenv(settingsEnvVar))
	file, settings, err := readSettings(path)
	var problems strict.Problems
	if errors.As(err, &problems) {
		return printProblems(err)
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
	hardCtx, hardStop := context.WithCancel(context.WithoutCancel(ctx))
	defer hardStop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	if settings.Platform.API == conf.APIObjects {
		return serveObjects(hardCtx, file, settings, log, signals, hardStop)
	}
	vm, err := entry.New(hardCtx, settings, entry.Options{Log: log})
	if err != nil {
		return err
	}
	go runOnSignals(hardCtx, signals, vm.Drain, hardStop)
	go file.watch(hardCtx, log, vm.Reload)
	return vm.Run(hardCtx)
}

// runOnSignals runs one of the steps, in order, at each signal, until ctx ends.
func runOnSignals(ctx context.Context, signals <-chan os.Signal, steps ...func()) {
	for _, step := range steps {
		select {
		case <-signals:
			step()
		case <-ctx.Done():
			return
		}
	}
}

// serveObjects runs an entry VM on a platform that offers a metadata store of objects. The VM
// registers there first; a signal cancels the registration.
func serveObjects(
	hardCtx context.Context, file settingsFile, settings conf.Settings, log zerolog.Logger, signals <-chan os.Signal, hardStop func(),
) error {
	client := platform.NewClient(settings.Platform.URL, log)
	var vm *entry.VM
	registry := platform.NewRegistry(client, platform.Fleet{
		Watches:   func() bool { return vm.WatchesPlatform() },
		Alive:     func() int { return vm.Alive() },
		SetSecret: func(secret string) error { return vm.SetPeerSecret(secret) },
	}, log)
	joinCtx, cancelJoin := context.WithCancel(hardCtx)
	go runOnSignals(joinCtx, signals, cancelJoin)
	secret, incarnation, err := registry.Join(joinCtx, settings)
	if err != nil {
		return err
	}
	cancelJoin()
	settings.Peer.Secret = secret
	suspects := platform.NewSuspectStore(client, log)
	counters := metrics.NewSet()
	releaseSource := platform.NewReleaseSource(client, settings.Platform, feed.Fleet{
		Size:         func() int { return vm.FleetSize() },
		Watchers:     func() int { return vm.Watchers() },
		Watches:      func() bool { return vm.WatchesPlatform() },
		Peers:        func() []feed.Peer { return vm.Peers() },
		AskOrder:     func() (place, count int, ok bool) { return vm.AskOrder() },
		HeartbeatNow: func() { vm.HeartbeatNow() },
		Pull: func(ctx context.Context, addr string, pull *wire.Pull) (*wire.Changes, error) {
			return vm.Pull(ctx, addr, pull)
		},
	}, counters, log)
	vm, err = entry.New(hardCtx, settings, entry.Options{
		Log:                  log,
		Dialect:              platform.Dialect(),
		ReleaseSource:        releaseSource.Run,
		LatestPositions:      releaseSource.LatestPositions,
		ObservePeerPositions: releaseSource.ObservePeerPositions,
		StoreSpan:            releaseSource.StoreSpan,
		ObserveStoreSpan:     releaseSource.ObserveStoreSpan,
		ServePull:            releaseSource.ServePull,
		DiscoverVMs:          registry.ListVMs,
		SaveSuspect:          suspects.Save,
		LoadSuspects:         suspects.Load,
		RemoveSuspect:        suspects.Remove,
		Incarnation:          incarnation,
		Metrics:              counters,
	})
	if err != nil {
		return err
	}
	go runOnSignals(hardCtx, signals, vm.Drain, hardStop)
	go file.watch(hardCtx, log, vm.Reload)
	group, ctx := errgroup.WithContext(hardCtx)
	ctx, cancel := context.WithCancel(ctx)
	group.Go(func() error { return platform.NewDiscoveryServer(settings, vm, log).Run(ctx) })
	group.Go(func() error {
		defer cancel()
		return vm.Run(hardCtx)
	})
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

type demoCommand struct {
	Verbose bool `help:"Print the log lines of the entry VMs."`
}

// Run runs the demo. It returns an error when a result misses an expectation.
func (c *demoCommand) Run(ctx context.Context) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr})
	}
	return demo.Run(ctx, demo.Options{Out: os.Stdout, Log: log})
}
