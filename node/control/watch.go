package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/consensus"
)

// waitLogInterval is the time between two log lines of a host that waits to become a member, or of
// a leader whose group bears fewer losses than asked for.
const waitLogInterval = 10 * time.Second

// logTolerance logs that this leader's group bears fewer losses than TargetVoters voters do, once
// that has lasted for longer than a repair should take, and the end of it.
func (g *Group) logTolerance(n consensus.Status) {
	target := (g.opts.TargetVoters - 1) / 2
	if n.Role != consensus.Leader || n.Tolerated >= target {
		if g.toleranceLoggedAt > 0 && n.Role == consensus.Leader {
			g.toleranceLogger(n, target).Info("the consensus group bears the loss of as many voters as asked for again")
		}
		g.lowSince, g.toleranceLoggedAt = 0, 0
		return
	}
	if g.lowSince == 0 {
		g.lowSince = g.now()
	}
	low, logged := g.now()-g.lowSince, g.now()-g.toleranceLoggedAt
	if low > 2*g.opts.RepairAfter && (g.toleranceLoggedAt == 0 || logged >= waitLogInterval) {
		g.toleranceLoggedAt = g.now()
		g.toleranceLogger(n, target).WithField("for", low.String()).Warn("the consensus group bears the loss of fewer voters than asked for")
	}
}

func (g *Group) toleranceLogger(n consensus.Status, target int) *logrus.Entry {
	return g.logger.WithFields(logrus.Fields{
		"tolerated": n.Tolerated, "target": target, "voters": len(n.Membership.Voters), "offers": len(n.Offers),
	})
}

// logWait logs that this host waits to become a member, when that begins and from time to time.
func (g *Group) logWait(n consensus.Status) {
	if g.isMember(n.Membership) {
		if g.waitingSince > 0 {
			g.logger.WithField("after", (g.now() - g.waitingSince).String()).Info("became a member of the consensus group")
		}
		g.waitingSince, g.waitLoggedAt = 0, 0
		return
	}
	level := logrus.WarnLevel
	if g.waitingSince == 0 {
		// Each host waits for a moment when it first starts.
		g.waitingSince, level = g.now(), logrus.InfoLevel
	}
	if g.waitLoggedAt > 0 && g.now()-g.waitLoggedAt < waitLogInterval {
		return
	}
	g.waitLoggedAt = g.now()
	var contacts []string
	for _, m := range g.directory.Targets(n.Membership) {
		contacts = append(contacts, m.Host)
	}
	g.logger.WithFields(logrus.Fields{"for": (g.now() - g.waitingSince).String(), "offered_to": contacts}).Log(level, "waits to become a member of the consensus group")
}
