package matcher

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
)

// NoPriority means that an account has no priority of its own.
const NoPriority = -1

// KeyHash is the SHA-256 hash of a client account's key; keys themselves are kept nowhere.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Unit is what a quota counts.
type Unit int

// The units.
const (
	// Requests counts requests.
	Requests Unit = iota
	// Tokens counts the tokens of the prompt and the most that the answer may have.
	Tokens
)

// Quota limits what all entries together admit of one account.
type Quota struct {
	// Rate is the rate per second, Burst how much more may come at once; a rate of 0 means no limit.
	Rate  float64
	Burst float64
	Unit  Unit
	// DefaultTokens is what a request without a number of tokens counts if Unit is Tokens.
	DefaultTokens int
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request counts; tokens is its number of tokens, 0 if it names none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(q.DefaultTokens)
}

// Account is a client account.
type Account struct {
	Name string
	Keys []KeyHash
	// Priority takes the place of the route's priority unless it is NoPriority.
	Priority int
	Quota    Quota
}

// addAccounts adds the accounts and returns the problems with their places.
func (t *Table) addAccounts(list []Account) []string {
	var problems []string
	names := make(map[string]bool)
	places := make(map[KeyHash]string)
	for i := range list {
		a := &list[i]
		if a.Name == "" || names[a.Name] {
			problems = append(problems, fmt.Sprintf("accounts[%d].name: missing or used twice", i))
		}
		names[a.Name] = true
		if a.Quota.Rate < 0 || a.Quota.Burst < 0 || a.Quota.DefaultTokens < 0 {
			problems = append(problems, fmt.Sprintf("accounts[%d].quota: must not be negative", i))
		}
		for j, k := range a.Keys {
			place := fmt.Sprintf("accounts[%d].keys[%d]", i, j)
			if first, ok := places[k]; ok {
				problems = append(problems, place+": the same key as "+first)
				continue
			}
			places[k] = place
			t.accountsByKey[k] = a
		}
		t.accounts = append(t.accounts, a)
	}
	return problems
}

// HasAccounts reports whether the configuration has accounts, so that requests need a key unless their route is public.
func (t *Table) HasAccounts() bool { return len(t.accounts) > 0 }

// Accounts returns all accounts.
func (t *Table) Accounts() []*Account { return t.accounts }

// AccountOf returns the account that holds a key and whether there is one.
func (t *Table) AccountOf(k KeyHash) (*Account, bool) {
	a, ok := t.accountsByKey[k]
	if !ok {
		return nil, false
	}
	// The lookup in the map compares hashes; the comparison in constant time doesn't depend on how it does so.
	for _, own := range a.Keys {
		if subtle.ConstantTimeCompare(own[:], k[:]) == 1 {
			return a, true
		}
	}
	return nil, false
}
