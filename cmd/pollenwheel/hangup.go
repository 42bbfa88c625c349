package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// receiveHangups returns the channel on which SIGHUP arrives from now on. A process that does
// not receive the signal is ended by it, so this is called before anything else.
func receiveHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// logHangups logs each hangup of a process that reads its settings only when it starts.
func logHangups(ctx context.Context, hangups <-chan os.Signal, logger *logrus.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			logger.Info("hangup received; the settings are read when the process starts")
		}
	}
}
