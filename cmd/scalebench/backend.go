package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/rpc"
)

// hollowBackend lists replicas that do not exist, and generates cache updates of them.
type hollowBackend struct {
	setup setup
	mu    sync.Mutex
	news  map[string]*cacheUpdates
}

// cacheUpdates is the generated cache of one replica: a moving window of numbered blocks.
type cacheUpdates struct {
	first, next int
	at          time.Time
}

func newHollowBackend(s setup) *hollowBackend {
	return &hollowBackend{setup: s, news: map[string]*cacheUpdates{}}
}

func replicaName(i int) string { return fmt.Sprintf("replica-%04d", i+1) }

func modelName(i int) string { return fmt.Sprintf("model-%d", i+1) }

func hollowReplica(i, models int, address string) config.Replica {
	return config.Replica{Name: replicaName(i), Address: address, Pool: modelName(i % models), Zone: fmt.Sprintf("zone-%d", i%zones+1), State: "present", Limit: 8,
		Models: map[string]uint64{modelName(i % models): 1}}
}

// List returns the replicas, at addresses that nobody connects to.
func (b *hollowBackend) List(context.Context) (all []config.Replica, err error) {
	for i := range b.setup.Replicas {
		all = append(all, hollowReplica(i, b.setup.Models, fmt.Sprintf("127.3.%d.%d:9", 1+i/200, 1+i%200)))
	}
	return all, nil
}

// Versions reports the first version for each replica.
func (b *hollowBackend) Versions(_ context.Context, r config.Replica) (map[string]uint64, bool, error) {
	return r.Models, false, nil
}

// Load does nothing.
func (b *hollowBackend) Load(context.Context, config.Replica, controlplane.Order) error { return nil }

// CachedBlocks returns the whole cache at first, and then as many events as the rate demands: half of them blocks gained, half lost.
func (b *hollowBackend) CachedBlocks(ctx context.Context, address string, from controlplane.CacheOffset, wait time.Duration) (controlplane.CacheUpdate, error) {
	key := func(n int) string { return fmt.Sprintf("common@1/%s/%016x", address[6:], uint64(n)*0x9e3779b97f4a7c15) }
	b.mu.Lock()
	k, first := b.news[address], from == controlplane.CacheOffset{}
	if k == nil {
		k = &cacheUpdates{next: b.setup.Blocks / b.setup.Replicas, at: time.Now()}
		b.news[address] = k
	}
	b.mu.Unlock()
	news := controlplane.CacheUpdate{Blocks: map[string]int{}, Snapshot: first}
	if !first {
		if b.setup.Events == 0 {
			return controlplane.CacheUpdate{Offset: from}, rpc.Sleep(ctx, wait)
		}
		_ = rpc.Sleep(ctx, wait/4) // news come long before a held call ends
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if first {
		for n := k.first; n < k.next; n++ {
			news.Blocks[key(n)] = 512
		}
		k.at = time.Now()
	}
	pairs := int(time.Since(k.at).Seconds() * b.setup.Events / float64(b.setup.Replicas) / 2)
	if pairs > 0 {
		k.at = time.Now()
	}
	for range pairs {
		news.Blocks[key(k.next)] = 512
		news.Blocks[key(k.first)] = 0
		k.next++
		k.first++
	}
	news.Offset = controlplane.CacheOffset{Epoch: 1, Next: uint64(k.next) + 1}
	return news, nil
}
