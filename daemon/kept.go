package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"asterridge/blueprint"
	"asterridge/link"
	"asterridge/register"
	"asterridge/router"
)

const (
	keptStep  = 500 * time.Millisecond
	keptWait  = time.Second
	keptPause = 250 * time.Millisecond // news that come close together are told together
	keptGone  = 2                      // failures in a row after which a source counts as gone
)

// readKept has one core read each source's news of kept prompts: the one that would own the source's key (§6.4). What it has read is
// passed on to all agents as news without a stamp; it is a hint, and is read anew after any doubt.
func (c *Core) readKept(ctx context.Context) {
	reading := map[string]context.CancelFunc{}
	every(ctx, keptStep, func() {
		wanted := map[string]string{}
		if c.council().self != nil {
			for name, address := range c.keptSources() {
				if key := router.KeptPrefix + name; register.Draw(key, c.live()) == c.place.Name {
					wanted[key] = address
				}
			}
		}
		for key, stop := range reading {
			if wanted[key] == "" {
				stop()
				delete(reading, key)
			}
		}
		for key, address := range wanted {
			if reading[key] == nil {
				one, stop := context.WithCancel(ctx)
				reading[key] = stop
				go c.readSource(one, key, address)
			}
		}
	})
}

// keptSources names who keeps prompts and lets their news be read: address by name in the index.
func (c *Core) keptSources() map[string]string {
	sources := map[string]string{}
	plan, err := blueprint.FromFields(withoutTexts(c.keeper.Read(blueprint.Key).Fields))
	if err != nil {
		return sources
	}
	for name, p := range plan.Pools {
		if p.Kind == "store" && p.Address != "" && p.MaxReaders > 0 {
			sources[router.StoreName(name)] = p.Address
		}
	}
	replicas, err := blueprint.Load[blueprint.Replica](c.keeper.Read(blueprint.ReplicasKey).Fields)
	if err != nil {
		return sources
	}
	for name, r := range replicas {
		if plan.Pools[r.Pool].MaxReaders > 0 && r.State != "leaving" {
			sources[name] = r.Address
		}
	}
	return sources
}

// readSource follows one source until the context ends.
func (c *Core) readSource(ctx context.Context, key, address string) {
	var place KeptPlace
	tell := func(fields register.Fields, isWhole bool) {
		c.data.Put(key, register.Stamp{}, register.Stamp{}, fields, isWhole)
	}
	isUp, failures := false, 0
	for ctx.Err() == nil {
		short, stop := context.WithTimeout(ctx, 2*keptWait)
		news, err := c.options.Backend.Kept(short, address, place, keptWait)
		stop()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures++; failures == keptGone && isUp {
				c.place.Log.Warn().Str("event", "source_gone").Str("source", key).Err(err).Msg("")
				tell(register.Fields{}, true)
				isUp, place = false, KeptPlace{}
			}
			_ = link.Pause(ctx, keptPause) // the loop looks at the context
			continue
		}
		place, failures = news.Place, 0
		fields := register.Fields{}
		for block, kept := range news.Kept {
			fields[block] = nil
			if kept > 0 {
				fields[block] = json.RawMessage(strconv.Itoa(kept))
			}
		}
		if !isUp {
			c.place.Log.Info().Str("event", "source_read").Str("source", key).Msg("")
		}
		if !isUp || news.IsImage {
			fields[router.KeptUp] = json.RawMessage("1")
		}
		if len(fields) > 0 {
			tell(fields, news.IsImage || !isUp)
		}
		isUp = true
		_ = link.Pause(ctx, keptPause)
	}
}

// takeKept passes on what a core has read of the sources that are drawn to it.
func (a *Agent) takeKept(f *link.Follower, answer link.Answer) {
	for _, e := range answer.Entries {
		if !strings.HasPrefix(e.Key, router.KeptPrefix) || len(e.Fields) == 0 {
			continue
		}
		if cores := a.liveCores(e.Key, f); len(cores) > 0 && cores[0].Address == f.Options.Address {
			a.source.Put(e.Key, register.Stamp{}, register.Stamp{}, e.Fields, answer.IsImage)
		}
	}
}
