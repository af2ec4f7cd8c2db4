package fake

import (
	"slices"
	"strings"
	"time"

	"asterridge/config"
)

// run checks what one run was given: rules 5 and 7 to 9.
func (c *check) run(r Run) {
	a := c.asked[r.Tag]
	for _, f := range c.Facts {
		overdue := r.At.Sub(f.At)
		if f.Kind == Draining && overdue > drainingLimit {
			c.seen(ruleDrainingReplica) // it might have run there
		}
		if f.Kind == Revoked && !f.Tried && overdue > 0 && f.Name == config.HashKey(a.Access) {
			if overdue > revokeLimit {
				c.found(ruleRevokedKey, "%s ran %v after", r.Tag, overdue)
			}
		}
	}
	state, reported := c.latest(Draining, r.Replica, r.At)
	if again, back := c.latest(Present, r.Replica, r.At.Add(doubtful)); reported && !state.Tried && (!back || again.At.Before(state.At)) {
		if r.At.Sub(state.At) > drainingLimit {
			c.found(ruleDrainingReplica, "%s ran on %s %v after", r.Tag, r.Replica, r.At.Sub(state.At))
		}
	}
	c.walls(r)
	c.route(r)
	pool, _, _ := strings.Cut(r.Replica, "-")
	if allowed, ok := c.weightsAt(pool, r.At); ok {
		if c.seen(ruleOldWeights); !slices.Contains(allowed, r.Weights) {
			c.found(ruleOldWeights, "%s on %s %s at %s, when only %v might start", r.Tag, r.Replica, r.Weights, r.At.Format("15:04:05.000"), allowed)
		}
	}
	if r.Outdated > 0 {
		c.found(ruleOldWeights, "%s read %d blocks of other weights", r.Tag, r.Outdated)
	}
}

// weightsAt lists the weights on which a run may start: those in force at any moment of the last 20 s.
func (c *check) weightsAt(pool string, at time.Time) (allowed []string, ok bool) {
	for _, f := range c.Facts {
		switch {
		case f.Kind != Weights || f.Name != pool || f.At.After(at.Add(doubtful)):
		case !f.Tried && at.Sub(f.At) > weightsLimit:
			allowed, ok = []string{f.Value}, true
		default:
			allowed = append(allowed, f.Value)
		}
	}
	return allowed, ok
}

// walled says whether a tenant's wall stood from a moment on for some time; in the time that news takes it is taken not to.
func (c *check) walled(tenant string, at time.Time) bool {
	before, ok := c.latest(Isolation, tenant, at.Add(-propagation))
	after, _ := c.latest(Isolation, tenant, at.Add(doubtful))
	return ok && !before.Tried && before.Value == "up" && after.At.Equal(before.At)
}

// walls checks rule 8 in both directions: a walled tenant reads only cached blocks that were made for it since it was last created, and
// nobody else reads those that were made for a tenant which is walled now or was when they were made.
func (c *check) walls(r Run) {
	for tenant, made := range r.Met {
		isolated := c.walled(r.Tenant, r.At)
		makerIsolated := c.walled(tenant, made) || c.walled(tenant, r.At)
		if isolated || makerIsolated {
			c.seen(ruleForeignCache)
		}
		switch {
		case tenant != r.Tenant && isolated:
			c.found(ruleForeignCache, "%s of walled %s read what was made for %s", r.Tag, r.Tenant, tenant)
		case tenant != r.Tenant && makerIsolated:
			c.found(ruleForeignCache, "%s of %s read what was made for walled %s", r.Tag, r.Tenant, tenant)
		case tenant == r.Tenant && isolated:
			for _, f := range c.Facts {
				if f.Kind == Isolation && f.Name == tenant && f.Value == "removed" && made.Before(f.At) && f.At.Before(r.At) {
					c.found(ruleForeignCache, "%s of %s read what was made before the name was given anew", r.Tag, r.Tenant)
				}
			}
		}
	}
}
