package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestStoreLimits guards against a simulated store that is faster than the limits of
// the design.
func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(2 * time.Second)
		start := time.Now()
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() { _ = s.LoadModel(context.Background()) })
		}
		wg.Wait()
		// The sixth load starts at 5/3 s, while five others run, and takes 2 s * 6/4.
		if took := time.Since(start).Round(10 * time.Millisecond); took != 4670*time.Millisecond {
			t.Errorf("6 loads took %s, want 4.67 s", took)
		}
		start = time.Now()
		for range 64 {
			wg.Go(func() { _ = s.LoadAdapter(context.Background()) })
		}
		wg.Wait()
		if took := time.Since(start); took != 2*adapterLoadTime {
			t.Errorf("64 adapter loads took %s, want twice adapterLoadTime", took)
		}
	})
}
