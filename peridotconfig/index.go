package peridotconfig

import (
	"encoding/json"
	"maps"
	"slices"
)

// index holds the positions of keys and accounts in their lists.
type index struct {
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

// clone returns a copy of x, or a new index of c when there is none yet.
func (x *index) clone(c *Config) *index {
	if x == nil {
		return newIndex(c)
	}
	return &index{keys: maps.Clone(x.keys), accounts: maps.Clone(x.accounts)}
}

// UnmarshalJSON reads a whole configuration.
func (c *Config) UnmarshalJSON(data []byte) error {
	type plain Config
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	c.index = newIndex(c)
	return nil
}

// keyAt returns the position of a key, or -1.
func (c *Config) keyAt(id string) int {
	if c.index == nil {
		return slices.IndexFunc(c.Keys, func(k Key) bool { return k.ID == id })
	}
	if i, ok := c.index.keys[id]; ok {
		return i
	}
	return -1
}

// accountAt returns the position of an account, or -1.
func (c *Config) accountAt(name string) int {
	if c.index == nil {
		return slices.IndexFunc(c.Accounts, func(a Account) bool { return a.Name == name })
	}
	if i, ok := c.index.accounts[name]; ok {
		return i
	}
	return -1
}
