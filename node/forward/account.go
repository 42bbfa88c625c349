package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/account"
)

// identifyAccount finds the account of the request by its key, if the route table has accounts.
// It returns false if it has refused the request. Requests on public routes need no key; a known
// key still tells their account.
func (c *call) identifyAccount(accounts *account.Index) bool {
	if accounts == nil {
		return true
	}
	c.accounts = true
	found, known := accounts.Resolve(c.request.APIKey)
	current := c.forwarder.opts.AccountsCurrent
	switch {
	case c.route.Public && !known:
		return true
	case !c.route.Public && current != nil && !current():
		// The key may have been added or withdrawn meanwhile.
		return c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, "host is cut off and may not rely on the keys that it knows")
	case !known:
		return c.refuse(http.StatusUnauthorized, 0, "no account has the key of the request")
	}
	c.account, c.quota = found.Name, found.Quota
	if found.Priority != nil {
		c.route.Priority = *found.Priority
	}
	return true
}

// minQuotaRetry is the shortest time after which a caller over its quota is asked to return. A random
// time up to as long is added, so that not all of them return at once.
const minQuotaRetry = 300 * time.Millisecond

// takeQuota takes the amount of the request from the quota of its account. It returns false if it has
// refused the request.
func (c *call) takeQuota() bool {
	f := c.forwarder
	if c.quota == nil || f.opts.Quotas == nil {
		return true
	}
	decided := f.opts.Quotas.Take(c.ctx, c.account, c.quota.Amount(c.request.Tokens))
	switch {
	case decided.Admitted:
		return true
	case decided.Unknown:
		return c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, "the leader did not answer whether the account has quota left")
	}
	retryIn := min(c.deadline-c.arrivedAt, max(decided.RetryIn, minQuotaRetry)+rand.N(minQuotaRetry))
	return c.refuse(http.StatusTooManyRequests, retryIn, "the account has used up its quota")
}

// refundQuota gives the amount of a request back that has not run.
func (c *call) refundQuota() {
	if (c.refused || !c.tried) && c.quota != nil && c.forwarder.opts.Quotas != nil {
		c.forwarder.opts.Quotas.Refund(c.account, c.quota.Amount(c.request.Tokens))
	}
}
