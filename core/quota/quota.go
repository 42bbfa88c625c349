// Package quota keeps the quotas of client accounts over all hosts. The leader holds a token bucket
// for each account (Ledger) and grants credit from it. Each host admits requests from its credit
// (Client), so that the sum over all hosts stays within the quota whatever happens to messages. It
// performs no I/O and is given the time.
package quota

import (
	"maps"
	"time"
)

// Limit is the quota of an account. Amounts are requests or tokens, as the account counts.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Want is what a host asks for one account.
type Want struct {
	Account string
	// Waiting is the amount of the requests that wait for credit, and Next that of the smallest.
	Waiting, Next float64
	// Spare is what the host wants beyond that, to admit further requests at once.
	Spare float64
	// Returned is credit that the host has no use for.
	Returned float64
}

// Credit is the leader's answer for one account.
type Credit struct {
	Account string
	Granted float64
	// RetryIn is how long the host does not ask again, because there is no credit for its smallest
	// waiting request until then, or because many hosts ask.
	RetryIn time.Duration
}

const (
	// hostShare is the part of a burst that lies with the hosts, in equal parts, so that a host
	// admits the first requests of an account at once. The leader holds the rest.
	hostShare = 0.25
	// maxAsks bounds the messages per second about one account that is short of credit.
	maxAsks = 400
	// askMemory is how long a host that has asked counts.
	askMemory = 2 * time.Second
	// spareShare is the part of the leader's bucket below which it grants no spare credit.
	spareShare = 0.5
)

// deleteOthers deletes the accounts that have no limit any more.
func deleteOthers[V any](accounts map[string]V, limits map[string]Limit) {
	maps.DeleteFunc(accounts, func(account string, _ V) bool {
		_, limited := limits[account]
		return !limited
	})
}

// standing returns the credit that each of n hosts starts with.
func (l Limit) standing(n int) float64 { return hostShare * l.Burst / float64(max(1, n)) }
