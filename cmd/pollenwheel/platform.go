package main

import (
	"context"
	"errors"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/node/host"
	"github.com/pollenwheel/pollenwheel/platform"
)

const (
	// reloadInterval is the time between two checks of the settings file, which may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// memoryShare is the fraction of the process's memory limit that Go may use before
	// garbage collections become more frequent.
	memoryShare = 0.6
	// gcPercent is the growth of the Go heap in per cent between two garbage
	// collections. Live data is a few MiB, and on a fifth of a core each collection
	// delays requests by tens of milliseconds.
	gcPercent = 400
)

var errNoSettings = errors.New("the environment variable " + platform.SettingsPathVariable + " is not set")

// runPlatform runs a host on the users' platform until a signal arrives and the
// host has left the deployment.
func runPlatform(ctx context.Context, hangups <-chan os.Signal) error {
	path := os.Getenv(platform.SettingsPathVariable)
	if path == "" {
		return errNoSettings
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	limitMemory(s.Limits.MemoryMb)
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	entry := logger.WithFields(logrus.Fields{"host": s.Node, "data_centre": s.Zone})
	h, err := host.NewRoutedHost(s.HostOptions(entry))
	if err != nil {
		return err
	}
	go reloadSettings(ctx, path, s, h, entry, hangups)
	return h.Run(ctx)
}

// limitMemory makes garbage collections more frequent when the process uses much of its memory
// limit in MiB. Zero means that there is none.
func limitMemory(mib int64) {
	if mib > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mib<<20)))
	}
}

// reloadSettings applies changes of the settings file. Only the seeds can change
// while the process runs.
func reloadSettings(ctx context.Context, path string, s platform.Settings, h *host.RoutedHost, logger *logrus.Entry, hangups <-chan os.Signal) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			logger.WithError(err).Warn("cannot load the settings file; the current settings stay in force")
			continue
		}
		if !sameSeeds(s.SeedPeerAddresses(), next.SeedPeerAddresses()) {
			h.SetSeeds(next.ProductSettings().Voters)
			s = next
		}
	}
}

func sameSeeds(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
