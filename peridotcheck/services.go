package peridotcheck

import "fmt"

// checkServices reports services that get no requests.
func (c *checker) checkServices() {
	used := c.usedServices()
	for i := range c.config.Services {
		s, path := &c.config.Services[i], fmt.Sprintf("services[%d]", i)
		switch {
		case s.Name == "":
			c.warn(path, "a service without a name gets no requests")
		case c.config.Service(s.Name) != s:
			c.warn(path+".name", "a later service has the name %q, too, and counts instead", s.Name)
		case !used[s.Name]:
			c.warn(path+".name", "no route uses service %q", s.Name)
		}
		if e := s.Engine; e != nil {
			c.warnIfNegative(path+".engine.slots", float64(e.Slots), "unknown")
			c.warnIfNegative(path+".engine.kv-cap", float64(e.CacheTokens), "unknown")
			c.warnIfNegative(path+".engine.kv-token-bytes", float64(e.TokenBytes), "unknown")
			c.warnIfNegative(path+".engine.nic-mbps", e.LinkBytesPerSecond*8/1e6, "unknown")
		}
	}
}

// usedServices returns the services that routes name. One with the weight 0 is used, too: it is
// often about to get a share.
func (c *checker) usedServices() map[string]bool {
	used := make(map[string]bool)
	for i := range c.config.Routes {
		for _, t := range c.config.Routes[i].Targets {
			used[t.Service] = true
		}
		path := fmt.Sprintf("routes[%d].backends", i)
		for j := range c.source.Len(path) {
			used[c.source.Text(fmt.Sprintf("%s[%d].service", path, j))] = true
		}
	}
	return used
}
