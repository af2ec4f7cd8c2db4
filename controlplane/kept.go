package controlplane

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

const (
	cacheWatchWait   = time.Second
	cacheUpdateDelay = 250 * time.Millisecond // news that come close together are told together
	maxReadFailures  = 2                      // failures in a row after which a source counts as gone
)

// runCacheReaders has one core read each source's news of kept prompts: the one that would own the source's key (§6.4). What it has read is
// passed on to all agents as news without a revision; it is a hint, and is read anew after any doubt.
func (c *Core) runCacheReaders(ctx context.Context) {
	reading := map[string]context.CancelFunc{}
	var assigned map[string]string // at the step before: a core that is being cut off misses the others one after another, and draws more for a moment
	daemon.Every(ctx, protocol.CacheReaderInterval, func() {
		if c.membership().self != nil && !c.hasQuorum() {
			return // agents may hear this core as before: it reads on what it has read, and nothing else
		}
		wanted := map[string]string{}
		for name, address := range c.cacheSources() {
			if key := router.KeptPrefix + name; c.isAssigned(key) {
				wanted[key] = address
			}
		}
		for key, stop := range reading {
			if wanted[key] == "" {
				stop()
				delete(reading, key)
			}
		}
		for key, address := range wanted {
			if reading[key] == nil && assigned[key] != "" {
				one, stop := context.WithCancel(ctx)
				reading[key] = stop
				go c.readCacheSource(one, key, address)
			}
		}
		assigned = wanted
	})
}

// cacheSources names who keeps prompts and lets their news be read: address by name in the index.
func (c *Core) cacheSources() map[string]string {
	sources := map[string]string{}
	plan, err := config.FromFields(withoutTexts(c.acceptor.Read(config.Key).Fields))
	if err != nil {
		return sources
	}
	for name, p := range plan.Pools {
		if p.Kind == "store" && p.Address != "" && p.MaxReaders > 0 {
			sources[router.StoreName(name)] = p.Address
		}
	}
	replicas, err := config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields)
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

// readCacheSource follows one source until the context ends.
func (c *Core) readCacheSource(ctx context.Context, key, address string) {
	var offset CacheOffset
	up, failures := false, 0
	defer c.prefixes.drop(key)
	for ctx.Err() == nil {
		short, stop := context.WithTimeout(ctx, 2*cacheWatchWait)
		update, err := c.options.Backend.CachedBlocks(short, address, offset, cacheWatchWait)
		stop()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures++; failures == maxReadFailures && up {
				c.host.Log.Warn().Str("event", "source_gone").Str("source", key).Err(err).Msg("")
				c.publishCached(key, c.prefixes.drop(key), true)
				up, offset = false, CacheOffset{}
			}
			_ = rpc.Sleep(ctx, cacheUpdateDelay) // the loop looks at the context
			continue
		}
		if !up {
			c.host.Log.Info().Str("event", "source_read").Str("source", key).Msg("")
		}
		full := update.Snapshot || !up
		offset, failures, up = update.Offset, 0, true
		fields := c.prefixes.update(key, update.Blocks, full)
		if full {
			fields[router.KeptUp] = json.RawMessage("1")
		}
		if len(fields) > 0 {
			c.publishCached(key, fields, full)
		}
		_ = rpc.Sleep(ctx, cacheUpdateDelay)
	}
}

// publishCached tells the agents, and of stores the other cores, what a source keeps now.
func (c *Core) publishCached(key string, fields register.Fields, full bool) {
	c.agentUpdates.PublishDeferred(key, fields, full)
	if isStore(key) {
		c.peerUpdates.PublishDeferred(key, fields, full)
		c.applySharedBlocks(key, fields, full)
	}
}

func isStore(key string) bool { return strings.HasPrefix(key, router.KeptPrefix+router.StoreName("")) }

// applySharedBlocks takes what a store keeps: it was left there since others may share it. What this core has held back of it is told now.
func (c *Core) applySharedBlocks(key string, fields register.Fields, full bool) {
	for source, more := range c.prefixes.shareBlocks(key, fields, full) {
		c.agentUpdates.PublishDeferred(source, more, false)
	}
}

// applyStoreUpdates learns of stores from the core that reads them.
func (c *Core) applyStoreUpdates(answer watch.Response) {
	for _, e := range answer.Updates {
		if isStore(e.Key) && len(e.Fields) > 0 {
			c.applySharedBlocks(e.Key, e.Fields, answer.Snapshot)
		}
	}
}

// prefixFilter is what this core has read of replicas. Most of what they keep is one request's own and of no use to others: while a store
// answers, only what was left there once is told; and what is there when the reading begins, of which nobody knows any more what it is.
type prefixFilter struct {
	mu           sync.Mutex
	liveStores   map[string]bool         // that answer
	sharedBlocks map[string]bool         // keys that a store has kept
	sources      map[string]*cacheSource // by key of the news
}

type cacheSource struct {
	cached    map[string]int
	published map[string]bool
}

const maxSharedBlocks = 200000 // keys of shared parts that are remembered; beyond it they are learned anew

// update notes a source's news and gives those that are to be told.
func (k *prefixFilter) update(source string, blocks map[string]int, full bool) register.Fields {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.sources[source]
	if s == nil || full {
		s = &cacheSource{map[string]int{}, map[string]bool{}}
		if k.sources == nil {
			k.sources = map[string]*cacheSource{}
		}
		k.sources[source] = s
	}
	fields := register.Fields{}
	for block, kept := range blocks {
		if kept > 0 {
			s.cached[block] = kept
		} else {
			delete(s.cached, block)
		}
		k.publishBlock(s, block, full || isStore(source), fields)
	}
	return fields
}

// publishBlock adds a block to the fields if it is to be told; k.mu is held.
func (k *prefixFilter) publishBlock(s *cacheSource, block string, all bool, fields register.Fields) {
	kept, isKept := s.cached[block]
	switch {
	case isKept && (all || len(k.liveStores) == 0 || k.sharedBlocks[block]):
		s.published[block] = true
		fields[block] = json.RawMessage(strconv.Itoa(kept))
	case !isKept && s.published[block]:
		delete(s.published, block)
		fields[block] = nil
	}
}

// shareBlocks notes what a store keeps, and gives by source what had been held back of it.
func (k *prefixFilter) shareBlocks(store string, fields register.Fields, full bool) map[string]register.Fields {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.liveStores == nil {
		k.liveStores, k.sharedBlocks = map[string]bool{}, map[string]bool{}
	}
	if full {
		delete(k.liveStores, store)
	}
	if len(k.sharedBlocks) > maxSharedBlocks {
		k.sharedBlocks = map[string]bool{}
	}
	all := map[string]register.Fields{}
	for block, raw := range fields {
		gone := register.IsDeleted(raw)
		switch {
		case block == router.KeptUp && gone:
			delete(k.liveStores, store)
		case block == router.KeptUp:
			k.liveStores[store] = true
		case !gone && !k.sharedBlocks[block]:
			k.sharedBlocks[block] = true
			for name, s := range k.sources {
				if !isStore(name) && s.cached[block] > 0 && !s.published[block] {
					if all[name] == nil {
						all[name] = register.Fields{}
					}
					k.publishBlock(s, block, false, all[name])
				}
			}
		}
	}
	return all
}

// drop forgets a source.
func (k *prefixFilter) drop(source string) register.Fields {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.sources, source)
	return register.Fields{}
}
