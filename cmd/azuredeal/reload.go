package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/conf"
)

// reloadInterval is how often the settings file is compared with its last content. The file
// may change without a signal. The interval may be long, as the settings that can be
// reloaded are needed only when a VM looks for peers.
const reloadInterval = 5 * time.Second

// watchSettings calls reload with changed settings until ctx ends. SIGHUP makes it read
// the file at once. Settings that are invalid are logged and not applied.
func watchSettings(ctx context.Context, path string, log zerolog.Logger, reload func(conf.Settings)) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastData, err := os.ReadFile(path)
	for {
		if err != nil {
			log.Warn().Err(err).Str("file", path).Msg("cannot read settings file; keeping previous settings")
		}
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
		}
		var data []byte
		if data, err = os.ReadFile(path); err != nil || bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		settings, problems := conf.Parse(data)
		if problems != nil {
			log.Error().Err(problems).Str("file", path).Msg("settings have problems; keeping previous settings")
			continue
		}
		reload(settings)
	}
}
