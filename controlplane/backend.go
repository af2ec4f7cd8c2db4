package controlplane

import (
	"context"
	"time"

	"asterridge/config"
	"asterridge/rpc"
)

// Backend is the interface to a platform that lists the replicas, and to replicas that take orders. It only translates and makes no
// decisions.
type Backend interface {
	// List returns all existing replicas.
	List(ctx context.Context) ([]config.Replica, error)
	// Versions queries which versions of its models a replica has, and whether it is carrying out an order.
	Versions(ctx context.Context, r config.Replica) (models map[string]uint64, busy bool, err error)
	// Load orders a replica to load a version once its running requests have finished.
	Load(ctx context.Context, r config.Replica, o Order) error
	// CachedBlocks returns what has changed in the cache of a replica or store since an offset, and waits for a change if there is
	// none. The zero offset requests everything that is cached.
	CachedBlocks(ctx context.Context, address string, from CacheOffset, wait time.Duration) (CacheUpdate, error)
}

// CacheOffset is a position in the cache updates of one incarnation of a replica or store.
type CacheOffset struct{ Epoch, Next uint64 }

// CacheUpdate is a change of a cache.
type CacheUpdate struct {
	// Offset is where the next update starts.
	Offset CacheOffset
	// Snapshot is true if Blocks is everything that is cached.
	Snapshot bool
	// Blocks is how much of each block is cached now, by the block's key; zero: nothing.
	Blocks map[string]int
}

// Order is an order to a replica. A replica ignores an order whose fencing token is lower than one it has seen.
type Order struct {
	config.LoadOrder
	Holder string
	Fence  uint64
}

// runBackend performs the singleton roles that need a platform, whenever this core is chosen for them.
func (c *Core) runBackend(ctx context.Context) {
	loader := newModelLoader(c)
	lister := &replicaLister{core: c}
	go rpc.Every(ctx, listInterval, func() { lister.step(ctx) })
	go c.runCacheReaders(ctx)
	go rpc.Every(ctx, loadInterval, func() { loader.step(ctx) })
}
