package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/conf"
)

// reloadInterval is how often the settings file is compared with its last content. The file
// may change without a signal. The interval may be long, as the settings that can be
// reloaded are needed only when a VM looks for peers.
const reloadInterval = 5 * time.Second

// settingsFile is a settings file with the content that was last read.
type settingsFile struct {
	path string
	data []byte
}

// readSettings reads a settings file. Its errors are those of os.ReadFile and conf.Parse.
func readSettings(path string) (settingsFile, conf.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settingsFile{}, conf.Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := conf.Parse(data)
	return settingsFile{path, data}, settings, err
}

// watch calls reload with settings that differ from those last read, until ctx ends. SIGHUP
// makes it read the file at once. Settings that are invalid are logged and not applied.
func (f settingsFile) watch(ctx context.Context, log zerolog.Logger, reload func(conf.Settings)) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		// The file may have changed since it was last read, so it is read before the first wait.
		f.compare(log, reload)
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
		}
	}
}

// compare reads the file and calls reload if its content has changed to other valid settings.
func (f *settingsFile) compare(log zerolog.Logger, reload func(conf.Settings)) {
	next, settings, err := readSettings(f.path)
	switch {
	case next.data == nil:
		log.Warn().Err(err).Str("file", f.path).Msg("cannot read settings file; keeping previous settings")
		return
	case bytes.Equal(next.data, f.data):
		return
	}
	f.data = next.data
	if err != nil {
		log.Error().Err(err).Str("file", f.path).Msg("settings have problems; keeping previous settings")
		return
	}
	reload(settings)
}
