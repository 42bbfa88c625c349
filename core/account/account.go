// Package account defines the client accounts of a deployment and resolves their API keys. The
// text of a key is needed only to compute its digest: lists, indexes and errors hold digests. It
// performs no I/O.
package account

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/core/quota"
)

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Priority replaces that of the route for the account's requests, if it is set. 0 is the
	// most urgent.
	Priority *int `json:"priority,omitempty"`
	// Quota limits the account's requests over all hosts. It is nil if there is no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is the limit of an account: a rate, and a burst above it.
type Quota struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// Tokens is set if amounts are tokens. Otherwise each request counts as one.
	Tokens bool `json:"tokens,omitempty"`
	// PlainTokens is the amount of a request that names no tokens.
	PlainTokens float64 `json:"plain_tokens,omitempty"`
}

// Amount returns what a request with the given number of tokens counts; tokens is negative if it
// names none.
func (q Quota) Amount(tokens float64) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens < 0:
		return q.PlainTokens
	}
	return tokens
}

// minBurst is the time whose rate a burst holds at least: without any, a bucket could grant nothing.
const minBurst = 0.25

// Tolerance is by how much operators allow a quota to be exceeded within a window of time.
type Tolerance struct {
	Window time.Duration
	// Ratio is the part of the quota of a window, and Amount what comes on top of that if amounts are
	// tokens.
	Ratio, Amount float64
}

// toleranceShare is the part of the tolerance that bursts may use. The rest is for what hosts do
// without each other.
const toleranceShare = 0.5

// burst returns the burst of a quota with its part of the tolerance.
func (t Tolerance) burst(q Quota) float64 {
	extra := t.Ratio * (q.PerSecond*t.Window.Seconds() + q.Burst)
	if q.Tokens {
		extra += t.Amount
	}
	return max(q.Burst+toleranceShare*extra, minBurst*q.PerSecond)
}

// Limits returns the limits of the accounts that have a quota, by account.
func (l *List) Limits(t Tolerance) map[string]quota.Limit {
	out := map[string]quota.Limit{}
	if l == nil {
		return out
	}
	for _, a := range l.Accounts {
		if q := a.Quota; q != nil {
			out[a.Name] = quota.Limit{PerSecond: q.PerSecond, Burst: t.burst(*q)}
		}
	}
	return out
}

// Digest is the SHA-256 of the text of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the digest in base64.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText is the inverse of MarshalText. An error is of type *DigestError.
func (d *Digest) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(data) != len(d) {
		return &DigestError{Length: len(data)}
	}
	copy(d[:], data)
	return nil
}

// DigestError reports an encoded digest that is not valid.
type DigestError struct {
	// Length is the number of bytes that could be decoded.
	Length int
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("account: a digest must be %d bytes in base64, %d bytes could be decoded", sha256.Size, e.Length)
}

// Key is one key of an account.
type Key struct {
	Digest Digest `json:"digest"`
	// Account is the name of the account.
	Account string `json:"account"`
}

// List holds the accounts of a deployment and their keys.
type List struct {
	Accounts []Account `json:"accounts,omitempty"`
	Keys     []Key     `json:"keys,omitempty"`
}

// SharedKeyError reports a key that two accounts have.
type SharedKeyError struct{ First, Second string }

func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("account: the accounts %s and %s have a key in common", strconv.Quote(e.First), strconv.Quote(e.Second))
}

// NameError reports an account name that is empty or used twice.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return "account: the name " + strconv.Quote(e.Name) + " must be non-empty and belong to one account"
}

// EmptyKeyError reports an account with an empty key, which each request without a key would have.
type EmptyKeyError struct{ Account string }

func (e *EmptyKeyError) Error() string {
	return "account: a key of the account " + strconv.Quote(e.Account) + " is empty"
}

// UnknownAccountError reports a key of an account that is not in the list.
type UnknownAccountError struct{ Account string }

func (e *UnknownAccountError) Error() string {
	return "account: a key belongs to " + strconv.Quote(e.Account) + ", which is no account"
}

// Validate returns nil, or an error of one of the types above.
func (l *List) Validate() error {
	names := make(map[string]bool, len(l.Accounts))
	for _, a := range l.Accounts {
		if a.Name == "" || names[a.Name] {
			return &NameError{a.Name}
		}
		names[a.Name] = true
	}
	empty := DigestOf("")
	owners := make(map[Digest]string, len(l.Keys))
	for _, k := range l.Keys {
		owner, taken := owners[k.Digest]
		switch {
		case !names[k.Account]:
			return &UnknownAccountError{k.Account}
		case k.Digest == empty:
			return &EmptyKeyError{k.Account}
		case taken && owner != k.Account:
			return &SharedKeyError{owner, k.Account}
		}
		owners[k.Digest] = k.Account
	}
	return nil
}

// KeyCounts returns the number of keys of each account.
func (l *List) KeyCounts() map[string]int {
	out := make(map[string]int, len(l.Accounts))
	for _, k := range l.Keys {
		out[k.Account]++
	}
	return out
}

// Index resolves keys. It is safe for concurrent use.
type Index struct{ byDigest map[Digest]*Account }

// NewIndex returns an index of a valid list.
func NewIndex(l *List) *Index {
	byName := make(map[string]*Account, len(l.Accounts))
	for i := range l.Accounts {
		byName[l.Accounts[i].Name] = &l.Accounts[i]
	}
	x := &Index{byDigest: make(map[Digest]*Account, len(l.Keys))}
	for _, k := range l.Keys {
		x.byDigest[k.Digest] = byName[k.Account]
	}
	return x
}

// Resolve returns the account that has a key, and false if none has.
func (x *Index) Resolve(key string) (Account, bool) {
	if a := x.byDigest[DigestOf(key)]; a != nil {
		return *a, true
	}
	return Account{}, false
}
