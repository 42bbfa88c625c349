package forward

import (
	"net/http"

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
	c.account = found.Name
	if found.Priority != nil {
		c.route.Priority = *found.Priority
	}
	return true
}
