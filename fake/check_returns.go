package fake

import (
	"slices"
	"time"
)

// returns judges rule 12: after all machines are back, every proxy gives a whole answer within 12 s.
func (c *check) returns() {
	proxies := map[string]bool{}
	for _, a := range c.Asked {
		proxies[a.Proxy] = true
	}
	for _, f := range c.Facts {
		if f.Kind != Returned {
			continue
		}
		for proxy := range proxies {
			c.seen(ruleServiceBack)
			if back, isBack := c.back(proxy, f.At); !isBack || back > returnLimit {
				c.found(ruleServiceBack, "%s gave no whole answer within 12 s", proxy)
			}
		}
	}
}

// back is how long after a moment a proxy's first whole answer came, of those asked after it.
func (c *check) back(proxy string, at time.Time) (least time.Duration, isBack bool) {
	for _, a := range c.Asked {
		if a.Proxy == proxy && a.Status == 200 && a.Ended && !a.At.Before(at) {
			if overdue := a.At.Add(time.Duration(a.AllMs) * time.Millisecond).Sub(at); !isBack || overdue < least {
				least, isBack = overdue, true
			}
		}
	}
	return least, isBack
}

// Returns gives, for each proxy, how long its first whole answer took after the last return of the machines.
func Returns(l Ledgers) (all []time.Duration) {
	c := &check{Ledgers: l}
	var last time.Time
	proxies := map[string]bool{}
	for _, f := range l.Facts {
		if f.Kind == Returned {
			last = f.At
		}
	}
	for _, a := range l.Asked {
		if overdue, back := c.back(a.Proxy, last); back && !proxies[a.Proxy] {
			proxies[a.Proxy] = true
			all = append(all, overdue)
		}
	}
	slices.Sort(all)
	return all
}
