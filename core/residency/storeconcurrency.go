package residency

import (
	"math"
	"time"
)

const (
	// initialStoreLoads is the number of loads from the weight store that may run at
	// once before any load has shown how many the store serves at full speed.
	initialStoreLoads = 4
	// maxStoreLoads bounds the loads that run at once, however fast the store is.
	maxStoreLoads = 64
	// slowLoadFactor is the ratio of a load's duration to its usual duration above
	// which the store has served more loads at once than it can at full speed.
	slowLoadFactor = 1.2
	// regrowthLoads is the number of loads that must fill a known limit and end in
	// their usual time before the limit is raised by one. A single slow server can have
	// made it too low.
	regrowthLoads = 16
)

// storeConcurrency learns how many loads the weight store serves at full speed. The
// store does not announce the number, and beyond it every load takes longer in
// proportion: further loads gain nothing and occupy their servers. The limit doubles
// while loads that fill it end in their usual time, and a slow load shows the number
// itself.
type storeConcurrency struct {
	// limit is the number of loads that may run at once.
	limit int
	// limitKnown is set once a slow load has shown the limit.
	limitKnown bool
	// onTime counts the loads that filled the known limit and ended in their usual time.
	onTime int
}

func newStoreConcurrency() storeConcurrency { return storeConcurrency{limit: initialStoreLoads} }

// recordLoad records that a load which began as one of parallel loads took actual
// time, where a single load usually takes usual time.
func (c *storeConcurrency) recordLoad(parallel int, actual, usual time.Duration) {
	if parallel < 1 || usual <= 0 {
		return
	}
	slowdown := float64(actual) / float64(usual)
	switch {
	case slowdown > slowLoadFactor && parallel == 1:
		// A slow load without others says nothing about their number.
	case slowdown > slowLoadFactor:
		c.limit = min(maxStoreLoads, max(1, int(math.Round(float64(parallel)/slowdown))))
		c.limitKnown, c.onTime = true, 0
	case parallel >= c.limit && !c.limitKnown:
		c.limit = min(maxStoreLoads, 2*parallel)
	case parallel >= c.limit:
		if c.onTime++; c.onTime >= regrowthLoads {
			c.limit, c.onTime = min(maxStoreLoads, c.limit+1), 0
		}
	}
}

// loadTime returns the expected duration of a load that begins as one of parallel
// loads, where a single load takes usual time.
func (c *storeConcurrency) loadTime(usual time.Duration, parallel int) time.Duration {
	if !c.limitKnown || parallel <= c.limit {
		return usual
	}
	return time.Duration(float64(usual) * float64(parallel) / float64(c.limit))
}

// learnFromLoads records the loads from the weight store that have ended on a server
// since the previous step.
func (p *Planner) learnFromLoads(s *server) {
	for _, e := range s.loadEnds {
		if e.StoreLoads == 0 {
			continue
		}
		if m, ok := p.catalogs[s.Service].Model(e.Model); ok {
			p.storeConcurrency.recordLoad(e.StoreLoads, e.ActualDuration, m.StoreLoad)
		}
	}
}
