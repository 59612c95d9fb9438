package matcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAccountsByKey(t *testing.T) {
	c := qt.New(t)
	large := Account{Name: "large", Keys: []KeyHash{HashKey("k1"), HashKey("k2")}, Priority: NoPriority}
	locked := Account{Name: "locked", Priority: NoPriority}
	table, err := New(1, nil, nil, Limits{}, large, locked)
	c.Assert(err, qt.IsNil)
	c.Check(table.HasAccounts(), qt.IsTrue)
	for _, k := range []string{"k1", "k2"} {
		a, ok := table.AccountOf(HashKey(k))
		c.Assert(ok, qt.IsTrue)
		c.Check(a.Name, qt.Equals, "large")
	}
	for _, k := range []string{"", "k", "K1", "k1 ", "large"} {
		_, ok := table.AccountOf(HashKey(k))
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", k))
	}
	_, ok := table.AccountOf(KeyHash{})
	c.Check(ok, qt.IsFalse)
	none, err := New(1, nil, nil, Limits{})
	c.Assert(err, qt.IsNil)
	c.Check(none.HasAccounts(), qt.IsFalse)
}

func TestNewReportsEveryInvalidAccount(t *testing.T) {
	c := qt.New(t)
	_, err := New(1, nil, nil, Limits{},
		Account{Name: "a", Keys: []KeyHash{HashKey("k1")}},
		Account{Name: "a", Keys: []KeyHash{HashKey("k2"), HashKey("k1")}},
		Account{Quota: Quota{Burst: -1}},
	)
	c.Assert(err, qt.IsNotNil)
	c.Check(err.Error(), qt.Equals, "accounts[1].name: missing or used twice; accounts[1].keys[1]: the same key as accounts[0].keys[0]; "+
		"accounts[2].name: missing or used twice; accounts[2].quota: must not be negative")
}

func TestQuotaCost(t *testing.T) {
	c := qt.New(t)
	c.Check(Quota{DefaultTokens: 9}.Cost(700), qt.Equals, 1.0)
	c.Check(Quota{Unit: Tokens, DefaultTokens: 9}.Cost(700), qt.Equals, 700.0)
	c.Check(Quota{Unit: Tokens, DefaultTokens: 9}.Cost(0), qt.Equals, 9.0)
}
