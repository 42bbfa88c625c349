package host

import (
	"context"

	"github.com/oklog/run"
)

// runGroup runs the components of a process. When one component ends, all others
// are ended.
type runGroup struct {
	run.Group
	// running ends when the first component ends.
	running context.Context
	stop    context.CancelFunc
}

func newRunGroup() *runGroup {
	running, stop := context.WithCancel(context.Background())
	return &runGroup{running: running, stop: stop}
}

// add adds a component that runs until its context ends.
func (g *runGroup) add(f func(context.Context) error) {
	g.Add(func() error { return f(g.running) }, func(error) { g.stop() })
}
