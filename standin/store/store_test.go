package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stand-in that is faster than the store of the design.
func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(2 * time.Second)
		start := time.Now()
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() { _ = s.Model(context.Background()) })
		}
		group.Wait()
		// The sixth load starts at 5/3 s and is the sixth at once: 2 s * 6/4.
		if took := time.Since(start).Round(10 * time.Millisecond); took != 4670*time.Millisecond {
			t.Errorf("6 loads took %s", took)
		}
		start = time.Now()
		for range 64 {
			group.Go(func() { _ = s.Adapter(context.Background()) })
		}
		group.Wait()
		if took := time.Since(start); took != 2*adapterTime {
			t.Errorf("64 adapter loads took %s", took)
		}
	})
}
