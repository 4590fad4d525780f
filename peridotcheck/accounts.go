package peridotcheck

import (
	"fmt"
	"strings"

	"peridotstack/peridotsite"
)

// checkAccounts reports keys that identify no account or another one, and limits that never
// apply or contradict each other. Texts never contain a key.
func (c *checker) checkAccounts() {
	ownerOfKey := make(map[string]int)
	firstOfName := make(map[string]int)
	isLimited := false
	for i := range c.config.Accounts {
		a, path := &c.config.Accounts[i], fmt.Sprintf("tenants[%d]", i)
		usable := c.checkKeys(path, a, i, ownerOfKey)
		if a.Name == "" {
			c.warn(path, "an account without a name is unknown, so that its keys are refused and its limit applies to nobody")
			continue
		}
		if first, taken := firstOfName[a.Name]; taken {
			c.warn(path+".name", "tenants[%d] has the name %q, too, and its limit counts for both", first, a.Name)
			continue
		}
		firstOfName[a.Name] = i
		isLimited = isLimited || a.Limit.Rate > 0
		if a.Limit.Rate > 0 && usable == 0 && !c.hasKeyElsewhere(i) {
			c.warn(path+".rate-per-s", "the limit applies to nobody, because no key identifies account %q", a.Name)
		}
		c.checkAccountLimit(path, a.Limit)
	}
	if isLimited && !c.needsKeys() {
		c.warn("tenants", "the limits of accounts apply to nobody, because all routes are public")
	}
}

// checkKeys reports keys that don't identify the account with the given index, and returns how
// many do.
func (c *checker) checkKeys(path string, a *peridotsite.Account, index int, ownerOfKey map[string]int) int {
	usable := 0
	for i, key := range a.Keys {
		field := fmt.Sprintf("%s.api-keys[%d]", path, i)
		owner, taken := ownerOfKey[key]
		switch {
		case key == "":
			c.warn(field, "an empty key is refused")
		case taken && owner == index:
			c.warn(field, "the account has this key twice")
		case taken && c.config.Accounts[owner].Name != a.Name:
			c.warn(field, "the key identifies tenants[%d], which has it, too", owner)
		default:
			usable++
		}
		if key != "" && a.Name != "" && !taken {
			ownerOfKey[key] = index
		}
	}
	return usable
}

// hasKeyElsewhere reports whether another entry with the name of the given one has keys.
func (c *checker) hasKeyElsewhere(index int) bool {
	for i, a := range c.config.Accounts {
		if i != index && a.Name == c.config.Accounts[index].Name && len(a.Keys) > 0 {
			return true
		}
	}
	return false
}

// needsKeys reports whether any route needs a key.
func (c *checker) needsKeys() bool {
	for i := range c.config.Routes {
		if c.config.NeedsKey(&c.config.Routes[i]) {
			return true
		}
	}
	return false
}

// checkAccountLimit reports contradictions within the limit of an account.
func (c *checker) checkAccountLimit(path string, l peridotsite.AccountLimit) {
	for _, p := range c.config.Problems {
		if strings.HasPrefix(p.Field, path+".") {
			return // The values that replace those not understood are no mistake of their own.
		}
	}
	if l.Rate <= 0 {
		if l.Burst > 0 {
			c.warn(path+".burst", "a burst without a rate limits nothing")
		}
		return
	}
	if l.RawTokens > 0 && !l.InTokens {
		c.warn(path+".raw-tokens", "raw-tokens has no effect, because the limit is counted in requests")
	}
	largest, what := 1.0, "a request"
	if l.InTokens {
		largest, what = l.RawTokens, "a request without token counts (raw-tokens)"
		if c.largestRequest > largest {
			largest, what = c.largestRequest, "the largest request"
		}
	}
	switch {
	case l.Burst == 0:
		c.warn(path+".burst", "a rate without a burst leaves only the tolerance (quota-excess, quota-slack) for requests that come together")
	case l.Burst < largest:
		c.warn(path+".burst", "the burst of %s is below the cost of %s, %s", numberText(l.Burst), what, numberText(largest))
	}
}
