package account

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/delta"
)

// listOf returns a list of accounts with the given keys.
func listOf(keys map[string][]string) *List {
	l := &List{}
	for _, name := range []string{"guild", "school", "museum", ""} {
		if _, ok := keys[name]; !ok {
			continue
		}
		l.Accounts = append(l.Accounts, Account{Name: name})
		for _, key := range keys[name] {
			l.Keys = append(l.Keys, Key{DigestOf(key), name})
		}
	}
	return l
}

// TestResolve guards against a request of one account that counts as one of another, and against
// a withdrawn, empty or unknown key that still has an account.
func TestResolve(t *testing.T) {
	x := NewIndex(listOf(map[string][]string{"guild": {"g1", "g2"}, "school": {"s1"}, "museum": nil}))
	for key, want := range map[string]string{"g1": "guild", "g2": "guild", "s1": "school", "G1": "", " g1": "", "g1 ": "", "": "", "guild": ""} {
		if a, ok := x.Resolve(key); a.Name != want || ok != (want != "") {
			t.Errorf("key %q: account %q (known %v), want %q", key, a.Name, ok, want)
		}
	}
}

// TestValidate guards against a list in which a key has two accounts, and against an error from
// which a key can be read.
func TestValidate(t *testing.T) {
	var shared *SharedKeyError
	var name *NameError
	var empty *EmptyKeyError
	var unknown *UnknownAccountError
	stray := listOf(map[string][]string{"guild": nil})
	stray.Keys = []Key{{DigestOf("secret-1"), "school"}}
	twice := listOf(map[string][]string{"guild": nil})
	twice.Accounts = append(twice.Accounts, Account{Name: "guild"})
	for _, c := range []struct {
		name string
		list *List
		want any
	}{
		{"one key of two accounts", listOf(map[string][]string{"guild": {"secret-1"}, "school": {"secret-2", "secret-1"}}), &shared},
		{"empty name", listOf(map[string][]string{"": {"secret-1"}}), &name},
		{"name twice", twice, &name},
		{"empty key", listOf(map[string][]string{"guild": {"secret-1", ""}}), &empty},
		{"key of no account", stray, &unknown},
		{"a key twice in one account", listOf(map[string][]string{"guild": {"secret-1", "secret-1"}}), nil},
		{"an account without keys", listOf(map[string][]string{"guild": nil}), nil},
		{"no accounts", &List{}, nil},
	} {
		err := c.list.Validate()
		if (err == nil) != (c.want == nil) || c.want != nil && !errors.As(err, c.want) {
			t.Errorf("%s: error %v, want one of type %T", c.name, err, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error %q tells a key", c.name, err)
		}
	}
}

// TestPatch guards against a host that holds other accounts than were published after a change,
// and against a change whose size grows with the number of keys.
func TestPatch(t *testing.T) {
	const maxChangeBytes = 1 << 10
	large := &List{}
	for i := range 100 {
		name := fmt.Sprint("account-", i)
		large.Accounts = append(large.Accounts, Account{Name: name})
		for k := range 100 {
			large.Keys = append(large.Keys, Key{DigestOf(fmt.Sprint(i, "/", k)), name})
		}
	}
	withdrawn := &List{Accounts: large.Accounts, Keys: append(append([]Key(nil), large.Keys[:5000]...), large.Keys[5001:]...)}
	priority := 2
	ranked := &List{Accounts: append([]Account{{Name: "account-0", Priority: &priority}}, large.Accounts[1:]...), Keys: large.Keys}
	for _, c := range []struct {
		name      string
		old, next *List
		small     bool
	}{
		{"a key is withdrawn", large, withdrawn, true},
		{"a key is added", withdrawn, large, true},
		{"an account gets a priority", large, ranked, true},
		{"accounts are introduced", nil, large, false},
		{"accounts are given up", large, nil, true},
		{"all accounts go", large, &List{}, true},
		{"nothing changes", nil, nil, true},
	} {
		data, err := json.Marshal(MakePatch(c.old, c.next))
		if err != nil {
			t.Fatal(err)
		}
		var p *Patch
		if err := json.Unmarshal(data, &p); err != nil {
			t.Fatal(err)
		}
		got, err := p.Apply(c.old)
		sameLength := got != nil && c.next != nil && len(got.Accounts) == len(c.next.Accounts) && len(got.Keys) == len(c.next.Keys)
		equal := reflect.DeepEqual(got, c.next) || sameLength && len(got.Accounts) == 0
		if err != nil || !equal {
			t.Errorf("%s: the patch yields another list (error %v)", c.name, err)
		}
		if c.small && len(data) > maxChangeBytes {
			t.Errorf("%s: %d bytes, want at most %d", c.name, len(data), maxChangeBytes)
		}
	}
	var outOfRange *delta.RangeError
	if _, err := MakePatch(large, withdrawn).Apply(&List{}); !errors.As(err, &outOfRange) {
		t.Errorf("a patch to another list: error %v, want a *delta.RangeError", err)
	}
}

// TestDigestText guards against digests that are read back as others.
func TestDigestText(t *testing.T) {
	for _, text := range []string{`""`, `"AAAA"`, `"no base64!"`, `"` + strings.Repeat("A", 44) + `"`} {
		var d Digest
		var bad *DigestError
		if err := json.Unmarshal([]byte(text), &d); !errors.As(err, &bad) {
			t.Errorf("%s: error %v, want a *DigestError", text, err)
		}
	}
}

// BenchmarkResolve measures a look-up among 10,000 keys.
func BenchmarkResolve(b *testing.B) {
	l := &List{Accounts: []Account{{Name: "a"}}}
	for i := range 10_000 {
		l.Keys = append(l.Keys, Key{DigestOf(fmt.Sprint(i)), "a"})
	}
	x := NewIndex(l)
	for b.Loop() {
		if _, ok := x.Resolve("4711"); !ok {
			b.Fatal("unknown key")
		}
	}
}
