package host

import (
	"context"

	"github.com/oklog/run"
)

// parts is the run group of a process. All parts end once one has ended.
type parts struct {
	run.Group
	// running ends with the first part.
	running context.Context
	stop    context.CancelFunc
}

func newParts() *parts {
	running, stop := context.WithCancel(context.Background())
	return &parts{running: running, stop: stop}
}

// add adds a part that runs until the context it gets ends.
func (p *parts) add(f func(context.Context) error) {
	p.Add(func() error { return f(p.running) }, func(error) { p.stop() })
}
