package fake

import (
	"slices"
	"time"
)

// returns checks rule 12: after all machines are back, every proxy gives a whole answer within 12 s.
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
			if back, ok := c.untilServing(proxy, f.At); !ok || back > returnLimit {
				c.found(ruleServiceBack, "%s gave no whole answer within 12 s", proxy)
			}
		}
	}
}

// untilServing returns the time from a moment to a proxy's first whole answer to a request sent after it.
func (c *check) untilServing(proxy string, at time.Time) (least time.Duration, ok bool) {
	for _, a := range c.Asked {
		if a.Proxy == proxy && a.Status == 200 && a.Ended && !a.At.Before(at) {
			if overdue := a.At.Add(time.Duration(a.AllMs) * time.Millisecond).Sub(at); !ok || overdue < least {
				least, ok = overdue, true
			}
		}
	}
	return least, ok
}

// Returns gives, for each proxy, the time from the last return of the machines to its first whole answer.
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
		if overdue, back := c.untilServing(a.Proxy, last); back && !proxies[a.Proxy] {
			proxies[a.Proxy] = true
			all = append(all, overdue)
		}
	}
	slices.Sort(all)
	return all
}
