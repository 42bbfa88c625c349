package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pollenwheel/pollenwheel/node/host"
	"github.com/pollenwheel/pollenwheel/node/settings"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// cancelOnSignal returns a context that the first SIGINT or SIGTERM cancels. A second
// signal ends the process at once.
func cancelOnSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// runHost runs a host until a signal arrives and the host has left the deployment.
func runHost(ctx context.Context, path string, hangups <-chan os.Signal) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stderr, s)
	if err != nil {
		return err
	}
	limitMemory(s.MemoryMiB)
	h, err := host.New(s, logger)
	if err != nil {
		return err
	}
	go logHangups(ctx, hangups, logger)
	return h.Run(ctx)
}
