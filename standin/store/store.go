// Package store simulates a weight store that the stand-in engines of one process
// share. It has the speed limits that the design assumes for weight stores.
package store

import (
	"context"
	"sync"
	"time"
)

// Limits of the store.
const (
	// loadsPerSecond limits the starts of checkpoint loads. With more than
	// fullSpeedModels concurrent loads, each one becomes proportionally slower.
	loadsPerSecond  = 3
	fullSpeedModels = 4
	// fullSpeedAdapters is the number of concurrent adapter loads that run at full
	// speed, and adapterLoadTime is the duration of one of them.
	fullSpeedAdapters = 32
	adapterLoadTime   = 6 * time.Millisecond
)

// Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	modelLoadTime time.Duration

	mu       sync.Mutex
	slowdown float64
	// nextStart is the earliest time at which the next checkpoint load may start.
	nextStart time.Time
	// modelLoads and adapterLoads are the numbers of loads in progress.
	modelLoads     int
	adapterLoads   int
	peakModelLoads int
}

// New returns a store whose checkpoint loads take modelLoadTime at full speed.
func New(modelLoadTime time.Duration) *Store {
	return &Store{modelLoadTime: modelLoadTime, slowdown: 1}
}

// SetSlowdown multiplies the duration of the loads that start after the call by factor.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// PeakModelLoads returns the largest number of checkpoint loads that ran at the same time.
func (s *Store) PeakModelLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakModelLoads
}

// LoadModel loads a checkpoint. At most loadsPerSecond loads start in a second; further
// loads wait. LoadModel returns the error of ctx if ctx ends first.
func (s *Store) LoadModel(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Second / loadsPerSecond)
	s.mu.Unlock()
	if err := wait(ctx, start.Sub(now)); err != nil {
		return err
	}
	s.mu.Lock()
	s.modelLoads++
	s.peakModelLoads = max(s.peakModelLoads, s.modelLoads)
	duration := scaleDuration(s.modelLoadTime, s.slowdown, s.modelLoads, fullSpeedModels)
	s.mu.Unlock()
	err := wait(ctx, duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modelLoads--
	return err
}

// LoadAdapter loads an adapter. It returns the error of ctx if ctx ends first.
func (s *Store) LoadAdapter(ctx context.Context) error {
	s.mu.Lock()
	s.adapterLoads++
	duration := scaleDuration(adapterLoadTime, s.slowdown, s.adapterLoads, fullSpeedAdapters)
	s.mu.Unlock()
	err := wait(ctx, duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adapterLoads--
	return err
}

// scaleDuration returns the duration of a load that takes d at full speed. It is
// multiplied by slowdown and, if more than fullSpeed loads run, by running/fullSpeed.
func scaleDuration(d time.Duration, slowdown float64, running, fullSpeed int) time.Duration {
	return time.Duration(float64(d) * slowdown * max(1, float64(running)/float64(fullSpeed)))
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
