package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// AccountReporter reports the client accounts of a route table.
type AccountReporter interface{ Accounts() AccountsAnswer }

// AccountsAnswer lists the client accounts in force on one host. It holds no keys.
type AccountsAnswer struct {
	// Host is the host that answers, and Version that of its route table.
	Host    string `json:"host"`
	Version uint64 `json:"version"`
	// Required is set if requests need the key of an account.
	Required bool `json:"required"`
	// Current is false while the host is cut off for too long to rely on the keys.
	Current  bool            `json:"current"`
	Accounts []AccountStatus `json:"accounts"`
}

// AccountStatus describes one client account.
type AccountStatus struct {
	Name string `json:"name"`
	// Keys is the number of keys.
	Keys int `json:"keys"`
	// Priority replaces that of routes, if it is set.
	Priority *int `json:"priority,omitempty"`
	// Quota is nil if the account has none.
	Quota *QuotaStatus `json:"quota,omitempty"`
}

// QuotaStatus describes the quota of an account. Amounts are tokens or requests.
type QuotaStatus struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Tokens    bool    `json:"tokens"`
	// Credit is what this host can admit at once.
	Credit float64 `json:"credit"`
	// Level is what the leader can still grant. It is only known to the leader.
	Level *float64 `json:"level,omitempty"`
}

func (a *API) accounts(c echo.Context) error {
	return c.JSON(http.StatusOK, a.deps.Accounts.Accounts())
}
