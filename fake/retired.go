package fake

import (
	"strings"
	"time"
)

// separateDrops separates the dropped bases in a ledger from its requests.
func separateDrops(lines []Run) (runs, drops []Run) {
	for _, r := range lines {
		if r.Dropped != "" {
			drops = append(drops, r)
		} else {
			runs = append(runs, r)
		}
	}
	return runs, drops
}

// poolOf returns the pool of a replica by its name.
func poolOf(replica string) string {
	pool, _, _ := strings.Cut(replica, "-")
	return pool
}

// retirements checks rule 13: before any replica drops a base, every adapter on it has given a caller a whole answer from the new base, in
// every pool in which it ever ran.
func (c *check) retirements() {
	type place struct{ adapter, pool string }
	serving := map[place]bool{}
	for _, r := range c.Runs {
		if r.Adapter != "" && r.HasRun {
			serving[place{r.Adapter, poolOf(r.Replica)}] = true
		}
	}
	for _, drop := range c.drops {
		retire, retired := c.latest(Retire, drop.Dropped, drop.At.Add(doubtful))
		for at := range serving {
			if !c.everOn(at.adapter, drop) {
				continue
			}
			if c.seen(ruleEarlyDrop); !retired || !c.hasAnswered(at.adapter, retire.Value, at.pool, drop.At) {
				c.found(ruleEarlyDrop, "%s dropped %s at %s, and %s had not answered in %s from %q", drop.Replica, drop.Dropped, drop.At.Format("15:04:05.000"), at.adapter, at.pool, retire.Value)
			}
		}
	}
}

// everOn says whether an adapter had ever been on the dropped base, and did not leave it by an undone retirement.
func (c *check) everOn(adapter string, drop Run) (concerned bool) {
	last, wasOn := c.latest(Base, adapter, drop.At)
	for _, f := range c.Facts {
		concerned = concerned || f.Kind == Base && f.Name == adapter && f.Value == drop.Dropped && f.At.Before(drop.At)
		if f.Kind == Retire && f.Value == drop.Dropped && wasOn && last.Value != drop.Dropped {
			if undone, ok := c.latest(Undone, f.Name, drop.At.Add(doubtful)); ok && !undone.At.Before(f.At) {
				return false
			}
		}
	}
	return concerned
}

// hasAnswered reports whether an adapter had given a whole answer from a base in a pool before a moment.
func (c *check) hasAnswered(adapter, base, pool string, before time.Time) bool {
	for _, r := range c.Runs {
		if a, asked := c.asked[r.Tag]; asked && a.Status != 200 {
			continue // the caller did not get it
		}
		if r.Adapter == adapter && r.Base == base && r.Complete && r.At.Before(before) && poolOf(r.Replica) == pool {
			return true
		}
	}
	return false
}

// route checks rule 14: a run is on a base that was in force at some moment of the last 3 s.
func (c *check) route(r Run) {
	if r.Adapter == "" {
		return
	}
	var allowed []string
	for _, f := range c.Facts {
		switch {
		case f.Kind != Base || f.Name != r.Adapter || f.At.After(r.At.Add(doubtful)):
		case !f.Tried && r.At.Sub(f.At) > routeLimit:
			allowed = []string{f.Value}
		default:
			allowed = append(allowed, f.Value)
		}
	}
	if allowed == nil {
		return // by a configuration that the fact log did not see
	}
	c.seen(ruleOldBase)
	for _, base := range allowed {
		if base == r.Base {
			return
		}
	}
	c.found(ruleOldBase, "%s ran on %s of %s at %s, when only %v might start", r.Tag, r.Base, r.Adapter, r.At.Format("15:04:05.000"), allowed)
}
