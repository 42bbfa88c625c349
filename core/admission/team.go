package admission

import (
	"math"
	"time"
)

// teamWindow is the time constant over which a team's share is measured. With a
// shorter window, bursts above the share are accepted; with a longer one, a team is
// still limited after its burst has ended.
const teamWindow = 10 * time.Second

// shareTolerance is the factor by which a team may exceed its share, because the
// counts within a short window vary.
const shareTolerance = 1.1

type team struct {
	weight    float64
	lastOffer time.Duration // when the team last offered a request
	// recent is the number of accepted requests, with exponential decay over
	// teamWindow, as of the time updated.
	recent  float64
	updated time.Duration
	// weightedWork is the service time received in seconds, divided by the weight.
	weightedWork float64
}

func (t *team) decay(now time.Duration) {
	t.recent *= math.Exp(-float64(now-t.updated) / float64(teamWindow))
	t.updated = now
}

type teams map[string]*team

func (ts teams) recordOffer(now time.Duration, r Request) {
	t, ok := ts[r.Team]
	if !ok || now-t.lastOffer > teamWindow {
		// A new or returning team starts with the least weighted work of the
		// active teams, so that it gains no advantage from the time in which it
		// sent no requests.
		t = &team{weightedWork: ts.leastWeightedWork(now), updated: now}
		ts[r.Team] = t
	}
	t.weight = float64(max(r.Weight, 1))
	t.lastOffer = now
}

// leastWeightedWork returns the least weighted work of the active teams, or zero if
// there are none. It deletes the teams that are no longer active.
func (ts teams) leastWeightedWork(now time.Duration) float64 {
	least := math.Inf(1)
	for name, t := range ts {
		if now-t.lastOffer > teamWindow {
			delete(ts, name)
			continue
		}
		least = min(least, t.weightedWork)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (ts teams) recordAccepted(now time.Duration, r Request) {
	t := ts[r.Team]
	t.decay(now)
	t.recent++
}

// aboveShare reports whether the recently accepted requests of the team exceed its
// share by weight among the teams with recent requests.
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

// recordService adds the expected service time of a granted request to the work of
// its team.
func (ts teams) recordService(r Request, serviceTime time.Duration) {
	if t, ok := ts[r.Team]; ok {
		t.weightedWork += serviceTime.Seconds() / t.weight
	}
}

func (ts teams) weightedWork(name string) float64 {
	if t, ok := ts[name]; ok {
		return t.weightedWork
	}
	return 0
}
