package peridotconfig

import (
	"encoding/json"
	"maps"
	"slices"
)

// index holds the positions of a configuration's keys and accounts in their lists.
type index struct {
	// keys is indexed by key ID, and accounts by account name.
	keys     map[string]int
	accounts map[string]int
}

func newIndex(c *Config) *index {
	x := &index{keys: make(map[string]int, len(c.Keys)), accounts: make(map[string]int, len(c.Accounts))}
	for i, k := range c.Keys {
		x.keys[k.ID] = i
	}
	for i, a := range c.Accounts {
		x.accounts[a.Name] = i
	}
	return x
}

// clone returns a copy of x, or a new index of c if x is nil.
func (x *index) clone(c *Config) *index {
	if x == nil {
		return newIndex(c)
	}
	return &index{keys: maps.Clone(x.keys), accounts: maps.Clone(x.accounts)}
}

// UnmarshalJSON decodes a whole configuration and builds its index.
func (c *Config) UnmarshalJSON(data []byte) error {
	type plain Config
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	c.index = newIndex(c)
	return nil
}

// keyIndex returns the position of the key with the given ID in c.Keys, or -1.
func (c *Config) keyIndex(id string) int {
	if c.index == nil {
		return slices.IndexFunc(c.Keys, func(k Key) bool { return k.ID == id })
	}
	if i, ok := c.index.keys[id]; ok {
		return i
	}
	return -1
}

// accountIndex returns the position of the account with the given name in c.Accounts,
// or -1.
func (c *Config) accountIndex(name string) int {
	if c.index == nil {
		return slices.IndexFunc(c.Accounts, func(a Account) bool { return a.Name == name })
	}
	if i, ok := c.index.accounts[name]; ok {
		return i
	}
	return -1
}
