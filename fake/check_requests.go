package fake

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"asterridge/config"
)

// request checks the answer to one request: rules 1 to 4.
func (c *check) request(a Exchange) {
	for _, f := range c.Facts {
		if f.Kind == Revoked && f.Name == config.HashKey(a.Access) && a.At.Sub(f.At) > 0 {
			c.seen(ruleRevokedKey)
		}
	}
	ran := 0
	var own []Run // runs of the very request that the answer names
	for _, r := range c.byTag[a.Tag] {
		if r.HasRun {
			ran++
			if r.ID == a.ID {
				own = append(own, r)
			}
		}
	}
	if !a.Idempotent {
		if c.seen(ruleExecutedTwice); ran > 1 {
			c.found(ruleExecutedTwice, "%s ran %d times", a.Tag, ran)
		}
	}
	if a.Ran == "no" {
		if c.seen(ruleNotExecutedWasExecuted); ran > 0 {
			c.found(ruleNotExecutedWasExecuted, "%s code %d", a.Tag, a.Code)
		}
	}
	if a.Status == 0 || a.Code > 0 {
		return // no answer, or a rejection of the fleet's own
	}
	c.seen(ruleForeignAnswer)
	if len(own) == 0 {
		if a.Length > 0 || a.Ended {
			c.found(ruleForeignAnswer, "%s got an answer of id %q, which did not run for it", a.Tag, a.ID)
		}
		return
	}
	if a.Status == 200 && a.Kind != "web" {
		c.stream(a, own)
		return
	}
	if a.Ended && !slices.ContainsFunc(own, func(r Run) bool { return r.Sum == a.Sum }) {
		c.found(ruleForeignAnswer, "%s status %d sum %s is none of its replica's", a.Tag, a.Status, a.Sum)
	}
}

// stream checks rule 4: the received bytes are a prefix of what one run wrote, and all of it if the stream ended as complete.
func (c *check) stream(a Exchange, own []Run) {
	c.seen(ruleBrokenStream)
	beginning := false
	for _, r := range own {
		var all []byte
		for _, piece := range Stream(r.ID, r.Salt, r.Pieces) {
			all = append(all, piece...)
		}
		if a.Length > len(all) || a.Length > 0 && Sum(all[:a.Length]) != a.Sum {
			continue
		}
		beginning = true
		if a.Length == len(all) || !a.Ended {
			return
		}
	}
	if beginning {
		c.found(ruleBrokenStream, "%s looks finished after %d bytes", a.Tag, a.Length)
	} else {
		c.found(ruleBrokenStream, "%s: its %d bytes are not the beginning of any one run", a.Tag, a.Length)
	}
}

// versions checks rule 6: a request is served under the version in force when it was sent or a later one, and no proxy goes back to an
// older version.
func (c *check) versions() {
	type sent struct {
		Exchange
		at time.Time
	}
	byProxy := map[string][]sent{}
	for _, a := range c.Asked {
		if a.Config == 0 {
			continue
		}
		s := sent{a, a.At.Add(time.Duration(a.WaitedMs) * time.Millisecond)}
		byProxy[a.Proxy] = append(byProxy[a.Proxy], s)
		c.seen(ruleOldConfiguration)
		for _, f := range c.Facts {
			if f.Kind == Took && f.Name == config.Key && !f.Tried && a.Config < f.Version && s.at.Sub(f.At) > configurationLimit {
				c.found(ruleOldConfiguration, "%s used %d, %d was accepted %v before it was sent", a.Tag, a.Config, f.Version, s.at.Sub(f.At))
			}
		}
	}
	for proxy, all := range byProxy {
		sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		// Sent between at and the first piece: a proxy that was frozen takes up later what had come before.
		var newest sent
		var by time.Time
		for _, s := range all {
			if s.Config < newest.Config && s.at.After(by) {
				c.found(ruleOldConfiguration, "%s: %s used %d, %v after %s had used %d", proxy, s.Tag, s.Config, s.at.Sub(by), newest.Tag, newest.Config)
			}
			if begun := s.At.Add(time.Duration(s.FirstMs+1) * time.Millisecond); s.Config > newest.Config || s.Config == newest.Config && begun.Before(by) {
				newest, by = s, begun
			}
		}
	}
}

// retries checks rule 10, the share of retries, over the whole run and in each window of a proxy, across its restarts.
func (c *check) retries() {
	type attempt struct {
		at      time.Time
		isFirst bool
	}
	byProxy := map[string][]attempt{}
	first, second := 0, 0
	for tag, runs := range c.byTag {
		sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
		first++
		second += len(runs) - 1
		a, asked := c.asked[tag]
		if !asked {
			continue // by hand: no caller's ledger says by which proxy
		}
		for i, r := range runs {
			byProxy[a.Proxy] = append(byProxy[a.Proxy], attempt{r.At, i == 0})
		}
	}
	c.findings[ruleRetries].Seen = second
	if over := second - first/5 - fleetRetryAllowance; over > 0 {
		c.findings[ruleRetries].Count, c.findings[ruleRetries].First = over, fmt.Sprintf("%d retries for %d requests", second, first)
	}
	for proxy, attempts := range byProxy {
		sort.Slice(attempts, func(i, j int) bool { return attempts[i].at.Before(attempts[j].at) })
		from, firsts, seconds := 0, 0, 0
		for _, s := range attempts {
			for attempts[from].at.Before(s.at.Add(-retryWindow)) {
				if attempts[from].isFirst {
					firsts--
				} else {
					seconds--
				}
				from++
			}
			if s.isFirst {
				firsts++
			} else if seconds++; seconds > firsts/5+proxyRetryAllowance {
				c.found(ruleRetries, "%s: %d retries for %d first attempts in %v", proxy, seconds, firsts, retryWindow)
			}
		}
	}
}
