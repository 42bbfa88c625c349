package admission

import (
	"math"
	"time"
)

// teamWindow is the time constant over which a team's share is measured. A
// shorter window lets bursts pass; a longer one punishes a team for a burst
// that is over.
const teamWindow = 10 * time.Second

// shareTolerance lets a team exceed its share slightly, since the counts of a
// small window vary.
const shareTolerance = 1.1

type team struct {
	weight    float64
	lastOffer time.Duration
	// recent counts admitted requests, decayed over teamWindow until updated.
	recent  float64
	updated time.Duration
	// work is the service time received, divided by the weight.
	work float64
}

func (t *team) decay(now time.Duration) {
	t.recent *= math.Exp(-float64(now-t.updated) / float64(teamWindow))
	t.updated = now
}

type teams map[string]*team

func (ts teams) offered(now time.Duration, r Request) {
	t, ok := ts[r.Team]
	if !ok || now-t.lastOffer > teamWindow {
		// A team that returns starts level with the others, so that it cannot
		// use time in which it asked for nothing.
		t = &team{work: ts.leastWork(now), updated: now}
		ts[r.Team] = t
	}
	t.weight = float64(max(r.Weight, 1))
	t.lastOffer = now
}

func (ts teams) leastWork(now time.Duration) float64 {
	least := math.Inf(1)
	for name, t := range ts {
		if now-t.lastOffer > teamWindow {
			delete(ts, name)
			continue
		}
		least = min(least, t.work)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (ts teams) admitted(now time.Duration, r Request) {
	t := ts[r.Team]
	t.decay(now)
	t.recent++
}

// aboveShare reports whether the team was admitted more often than its weight
// allows among the teams that are asking.
func (ts teams) aboveShare(now time.Duration, r Request) bool {
	var recent, weight float64
	active := 0
	for _, t := range ts {
		if now-t.lastOffer > teamWindow {
			continue
		}
		t.decay(now)
		recent += t.recent
		weight += t.weight
		active++
	}
	t := ts[r.Team]
	return active > 1 && t.recent > shareTolerance*recent*t.weight/weight+1
}

func (ts teams) served(r Request, cost time.Duration) {
	if t, ok := ts[r.Team]; ok {
		t.work += cost.Seconds() / t.weight
	}
}

func (ts teams) work(name string) float64 {
	if t, ok := ts[name]; ok {
		return t.work
	}
	return 0
}
