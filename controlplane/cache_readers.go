package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

const (
	// cacheWatchWait is how long a replica holds open a request for cache updates.
	cacheWatchWait = time.Second
	// cacheUpdateDelay batches the updates that arrive within it.
	cacheUpdateDelay = 250 * time.Millisecond
	// maxReadFailures is how many consecutive failures make a source count as unreachable.
	maxReadFailures = 2
)

// runCacheReaders reads the cache updates of the replicas and stores assigned to this core (docs/design.md §6.4), until the context
// ends. They are hints without a revision, and are read again from the start whenever they may be incomplete.
func (c *Core) runCacheReaders(ctx context.Context) {
	readers := map[string]context.CancelFunc{}
	// previouslyAssigned is the assignment at the previous step. A core that is being partitioned loses contact with the others one
	// after another, and is assigned more sources for a moment; requiring two steps ignores these.
	var previouslyAssigned map[string]string
	rpc.Every(ctx, protocol.CacheReaderInterval, func() {
		if c.membership().self != nil && !c.hasQuorum() {
			return // agents may still reach this core: it keeps its readers, but starts no new ones
		}
		assigned := c.assignedCacheSources()
		for key, stop := range readers {
			if assigned[key] == "" {
				stop()
				delete(readers, key)
			}
		}
		for key, address := range assigned {
			if readers[key] == nil && previouslyAssigned[key] != "" {
				readerCtx, stop := context.WithCancel(ctx)
				readers[key] = stop
				go c.readCacheSource(readerCtx, key, address)
			}
		}
		previouslyAssigned = assigned
	})
}

// assignedCacheSources returns the sources that this core is to read: address by the key of their updates.
func (c *Core) assignedCacheSources() map[string]string {
	assigned := map[string]string{}
	for name, address := range c.cacheSources() {
		if key := router.CachedPrefix + name; c.isAssigned(key) {
			assigned[key] = address
		}
	}
	return assigned
}

// cacheSources returns the replicas and stores whose cache updates may be read: address by their name in the index.
func (c *Core) cacheSources() map[string]string {
	sources := map[string]string{}
	plan, err := config.FromFields(withoutTexts(c.acceptor.Read(config.Key).Fields))
	if err != nil {
		return sources
	}
	for name, pool := range plan.Pools {
		if pool.Kind == config.StorePool && pool.Address != "" && pool.MaxReaders > 0 {
			sources[router.StoreName(name)] = pool.Address
		}
	}
	replicas, err := config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields)
	if err != nil {
		return sources
	}
	for name, replica := range replicas {
		if plan.Pools[replica.Pool].MaxReaders > 0 && replica.State != config.ReplicaDraining {
			sources[name] = replica.Address
		}
	}
	return sources
}

// readCacheSource reads one source until the context ends.
func (c *Core) readCacheSource(ctx context.Context, key, address string) {
	var offset CacheOffset
	up, failures := false, 0
	defer c.prefixes.drop(key)
	for ctx.Err() == nil {
		update, err := c.nextCacheUpdate(ctx, address, offset)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures++; failures == maxReadFailures && up {
				c.host.Log.Warn().Str("source", key).Err(err).Msg("cache source gone")
				c.publishCached(key, c.prefixes.drop(key), true)
				up, offset = false, CacheOffset{}
			}
			_ = rpc.Sleep(ctx, cacheUpdateDelay) // the loop condition checks the context
			continue
		}
		if !up {
			c.host.Log.Info().Str("source", key).Msg("cache source read")
		}
		full := update.Snapshot || !up
		offset, failures, up = update.Offset, 0, true
		fields := c.prefixes.update(key, update.Blocks, full)
		if full {
			fields[router.CacheUp] = json.RawMessage("1")
		}
		if len(fields) > 0 {
			c.publishCached(key, fields, full)
		}
		_ = rpc.Sleep(ctx, cacheUpdateDelay) // the loop condition checks the context
	}
}

func (c *Core) nextCacheUpdate(ctx context.Context, address string, offset CacheOffset) (CacheUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*cacheWatchWait)
	defer cancel()
	return c.options.Backend.CachedBlocks(ctx, address, offset, cacheWatchWait)
}

// publishCached publishes to agents what a source has cached.
func (c *Core) publishCached(key string, fields register.Fields, full bool) {
	c.agentUpdates.PublishDeferred(key, fields, full)
}

// addShared records blocks that a proxy has named as shared, tells the other cores, and publishes those of these blocks that had been
// withheld.
func (c *Core) addShared(blocks []string) {
	announced, full, released := c.prefixes.addShared(blocks, true)
	if len(announced) > 0 {
		c.peerUpdates.PublishDeferred(sharedBlocksKey, announced, full)
	}
	c.publishReleased(released)
}

// publishReleased publishes blocks that have become shared, for each source that has them cached.
func (c *Core) publishReleased(released map[string]register.Fields) {
	for source, fields := range released {
		c.agentUpdates.PublishDeferred(source, fields, false)
	}
}

// applySharedBlocks records shared blocks reported by another core.
func (c *Core) applySharedBlocks(response watch.Response) {
	for _, update := range response.Updates {
		if update.Key == sharedBlocksKey {
			_, _, released := c.prefixes.addShared(slices.Collect(maps.Keys(update.Fields)), false)
			c.publishReleased(released)
		}
	}
}
