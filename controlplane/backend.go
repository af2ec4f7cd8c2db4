package controlplane

import (
	"context"
	"time"

	"asterridge/config"
	"asterridge/rpc"
)

// Backend is how the control plane speaks with a platform that lists the replicas, and with replicas that take orders. It translates, and
// decides nothing.
type Backend interface {
	// List gives all replicas there are.
	List(ctx context.Context) ([]config.Replica, error)
	// Versions asks a replica which versions of its models it has, and whether it is carrying out an order.
	Versions(ctx context.Context, r config.Replica) (models map[string]uint64, busy bool, err error)
	// Load orders a replica to take a version when what runs on it has ended.
	Load(ctx context.Context, r config.Replica, o Order) error
	// CachedBlocks gives what has changed in the cache of a replica or store since an offset, and waits for a change if there is none. The
	// zero offset asks for all that is cached.
	CachedBlocks(ctx context.Context, address string, from CacheOffset, wait time.Duration) (CacheUpdate, error)
}

// CacheOffset is an offset in the cache updates of one incarnation of a replica or store.
type CacheOffset struct{ Epoch, Next uint64 }

// CacheUpdate is what has changed in a cache.
type CacheUpdate struct {
	// Offset is where the next update begins.
	Offset CacheOffset
	// Snapshot: Blocks is all that is cached.
	Snapshot bool
	// Blocks is, by the block's key, how much of it is cached now; zero: nothing.
	Blocks map[string]int
}

// Order is an order to a replica. Of two orders under different fencing tokens the one with the lower token is void.
type Order struct {
	config.LoadOrder
	Holder string
	Fence  uint64
}

// runBackend performs the singleton roles that need a platform, as far as this core is chosen for them.
func (c *Core) runBackend(ctx context.Context) {
	loader := newModelLoader(c)
	lister := &replicaLister{core: c}
	go rpc.Every(ctx, listInterval, func() { lister.step(ctx) })
	go c.runCacheReaders(ctx)
	go rpc.Every(ctx, loadInterval, func() { loader.step(ctx) })
}
