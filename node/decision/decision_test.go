package decision

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
)

// stalledWriter blocks each write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a stalled output that blocks the code that logs, and against
// dropped lines that are not counted.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		release := make(chan struct{})
		logger.SetOutput(stalledWriter{release})
		l := New(logrus.NewEntry(logger))
		go func() { _ = l.Run(t.Context()) }()
		const lines = 3 * queueLines
		for i := range lines {
			l.RecordRequest(fmt.Sprint(i), EventRefused, Fields{})
		}
		if got := l.Dropped(); got < lines-queueLines-2 || got > lines-queueLines {
			t.Errorf("%d lines dropped, want about %d", got, lines-queueLines)
		}
		close(release)
	})
}

// TestCounts guards against events that are missing from the metrics because they are not logged.
func TestCounts(t *testing.T) {
	l := New(logrus.NewEntry(logrus.New()))
	for i := range 2 * queueLines {
		l.RecordRequest(fmt.Sprint(i), EventAnswered, Fields{})
		l.RecordStateChange(EventNotice, Fields{})
	}
	if got := l.Counts(); got[EventAnswered] != 2*queueLines || got[EventNotice] != 2*queueLines {
		t.Errorf("counts %v, want %d of each event", got, 2*queueLines)
	}
}

// Guards against hosts that sample different requests, and against a sample of the
// wrong size. The sample depends on the request ID only.
func TestAllHostsSampleTheSameRequests(t *testing.T) {
	sampledCount := 0
	for i := range 1600 {
		if sampled(fmt.Sprint("request-", i)) {
			sampledCount++
		}
	}
	if sampledCount < 50 || sampledCount > 200 {
		t.Errorf("%d of 1600 requests sampled, want about 100", sampledCount)
	}
}
