package decision

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
)

type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a stalled output that stops the deciding code, and against
// lines that vanish without being counted.
func TestAStalledOutputBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		release := make(chan struct{})
		logger.SetOutput(stalled{release})
		l := New(logrus.NewEntry(logger))
		go func() { _ = l.Run(t.Context()) }()
		const lines = 3 * ringLines
		for i := range lines {
			l.Request(fmt.Sprint(i), EventRefused, Fields{})
		}
		if got := l.Dropped(); got < lines-ringLines-2 || got > lines-ringLines {
			t.Errorf("%d lines dropped, want about %d", got, lines-ringLines)
		}
		close(release)
	})
}

// Guards against hosts that sample different requests.
func TestAllHostsSampleTheSameRequests(t *testing.T) {
	kept := 0
	for i := range 1600 {
		if sampled(fmt.Sprint("request-", i)) {
			kept++
		}
	}
	if kept < 50 || kept > 200 {
		t.Errorf("%d of 1600 requests kept, want about 100", kept)
	}
}
