package route

import (
	"reflect"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/delta"
)

// Patch is the difference between two tables.
type Patch struct {
	// Version is the version of the new table.
	Version  uint64              `json:"version"`
	Routes   delta.List[Route]   `json:"routes"`
	Services delta.List[Service] `json:"services"`
	Limits   Limits              `json:"limits"`
	Accounts *account.Patch      `json:"accounts,omitempty"`
}

// place identifies a route in a table.
type place struct{ host, prefix string }

func placeOf(r Route) place { return place{r.Host, r.Prefix} }

func serviceName(s Service) string { return s.Name }

func equalRoutes(a, b Route) bool { return reflect.DeepEqual(a, b) }

func equalServices(a, b Service) bool { return reflect.DeepEqual(a, b) }

// MakePatch returns the patch that changes old into next.
func MakePatch(old, next Table) Patch {
	return Patch{
		Version:  next.Version,
		Routes:   delta.Make(old.Routes, next.Routes, placeOf, equalRoutes),
		Services: delta.Make(old.Services, next.Services, serviceName, equalServices),
		Limits:   next.Limits,
		Accounts: account.MakePatch(old.Accounts, next.Accounts),
	}
}

// Apply returns the new table. An error is of type *delta.RangeError: the patch was made
// for another table.
func (p Patch) Apply(old Table) (Table, error) {
	routes, err := p.Routes.Apply(old.Routes)
	if err != nil {
		return Table{}, err
	}
	services, err := p.Services.Apply(old.Services)
	if err != nil {
		return Table{}, err
	}
	accounts, err := p.Accounts.Apply(old.Accounts)
	if err != nil {
		return Table{}, err
	}
	return Table{Version: p.Version, Routes: routes, Services: services, Limits: p.Limits, Accounts: accounts}, nil
}
