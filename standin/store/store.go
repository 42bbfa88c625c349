// Package store is a weight store with the limits of the design, shared by the
// stand-in engines of one process.
package store

import (
	"context"
	"sync"
	"time"
)

// Limits of the store.
const (
	// loadsPerSecond and fullSpeed bound checkpoint loads. Beyond fullSpeed
	// concurrent loads each one becomes proportionally slower.
	loadsPerSecond = 3
	fullSpeed      = 4
	// adaptersAtOnce is how many adapter loads run at full speed.
	adaptersAtOnce = 32
	adapterTime    = 6 * time.Millisecond
)

// Store is safe for concurrent use.
type Store struct {
	loadTime time.Duration

	mu       sync.Mutex
	slow     float64
	next     time.Time
	models   int
	adapters int
	peak     int
}

// New returns a store whose checkpoint loads take loadTime at full speed.
func New(loadTime time.Duration) *Store { return &Store{loadTime: loadTime, slow: 1} }

// Slow multiplies the time of loads that start later.
func (s *Store) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Peak returns the largest number of checkpoint loads that ran at once.
func (s *Store) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Model loads a checkpoint. Loads start at most loadsPerSecond times a second.
func (s *Store) Model(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	start := now
	if s.next.After(now) {
		start = s.next
	}
	s.next = start.Add(time.Second / loadsPerSecond)
	s.mu.Unlock()
	if err := wait(ctx, start.Sub(now)); err != nil {
		return err
	}
	s.mu.Lock()
	s.models++
	s.peak = max(s.peak, s.models)
	took := scaled(s.loadTime, s.slow, s.models, fullSpeed)
	s.mu.Unlock()
	err := wait(ctx, took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models--
	return err
}

// Adapter loads an adapter.
func (s *Store) Adapter(ctx context.Context) error {
	s.mu.Lock()
	s.adapters++
	took := scaled(adapterTime, s.slow, s.adapters, adaptersAtOnce)
	s.mu.Unlock()
	err := wait(ctx, took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adapters--
	return err
}

func scaled(d time.Duration, slow float64, running, full int) time.Duration {
	return time.Duration(float64(d) * slow * max(1, float64(running)/float64(full)))
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
