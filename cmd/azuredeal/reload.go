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

// reloadEvery is how often the settings file is compared. It may change without a
// signal; what can change in it is needed only when a VM looks for peers.
const reloadEvery = 5 * time.Second

// watchSettings hands changed settings to reload, until ctx ends. SIGHUP has the
// file read at once. Settings with problems change nothing.
func watchSettings(ctx context.Context, path string, log zerolog.Logger, reload func(conf.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	for {
		if err != nil {
			log.Warn().Err(err).Str("file", path).Msg("settings cannot be read; the last ones stay")
		}
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		var data []byte
		if data, err = os.ReadFile(path); err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		settings, problems := conf.Parse(data)
		if problems != nil {
			log.Error().Err(problems).Str("file", path).Msg("settings have problems; the last ones stay")
			continue
		}
		reload(settings)
	}
}
