package account

import (
	"reflect"

	"github.com/pollenwheel/pollenwheel/core/delta"
)

// Patch is the difference between two lists. Its size grows with the number of accounts and
// keys that change, not with the lists.
type Patch struct {
	Accounts delta.List[Account] `json:"accounts,omitempty"`
	Keys     delta.List[Key]     `json:"keys,omitempty"`
}

// MakePatch returns the patch that changes old into next. Either may be nil; a patch to nil is nil.
func MakePatch(old, next *List) *Patch {
	if next == nil {
		return nil
	}
	if old == nil {
		old = &List{}
	}
	return &Patch{
		Accounts: delta.Make(old.Accounts, next.Accounts, accountName, equalAccounts),
		Keys:     delta.Make(old.Keys, next.Keys, keyDigest, equalKeys),
	}
}

func accountName(a Account) string { return a.Name }

func equalAccounts(a, b Account) bool { return reflect.DeepEqual(a, b) }

func keyDigest(k Key) Digest { return k.Digest }

func equalKeys(a, b Key) bool { return a == b }

// Apply returns the list that p, which may be nil, makes of old, which may be nil. An error is of
// type *delta.RangeError: the patch was made for another list.
func (p *Patch) Apply(old *List) (*List, error) {
	if p == nil {
		return nil, nil
	}
	if old == nil {
		old = &List{}
	}
	accounts, err := p.Accounts.Apply(old.Accounts)
	if err != nil {
		return nil, err
	}
	keys, err := p.Keys.Apply(old.Keys)
	if err != nil {
		return nil, err
	}
	return &List{Accounts: accounts, Keys: keys}, nil
}
