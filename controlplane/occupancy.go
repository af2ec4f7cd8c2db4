package controlplane

import (
	"context"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/router"
)

const occupancyInterval = time.Second

// publishOccupancy asks replicas for their load and tells all agents, where a replica has fewer slots than there are proxies: what a proxy
// sees by itself is then not enough to go by (docs/design.md §5.3). Each replica is asked by the core that its cache updates are assigned to.
func (c *Core) publishOccupancy(ctx context.Context) {
	if !c.hasQuorum() {
		return
	}
	c.mu.Lock()
	proxies := len(c.proxies)
	c.mu.Unlock()
	replicas, err := config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields)
	if err != nil {
		return
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	taken, live := register.Fields{}, c.live()
	for name, replica := range replicas {
		if replica.Limit >= proxies || replica.State == config.ReplicaDraining || rendezvous.Pick(router.CachedPrefix+name, live) != c.host.Name {
			continue
		}
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, occupancyInterval)
			defer cancel()
			if occupancy, err := c.options.Backend.Occupancy(ctx, replica); err == nil {
				mu.Lock()
				defer mu.Unlock()
				taken[name] = occupancy.Taken()
			}
		})
	}
	pending.Wait()
	if len(taken) > 0 {
		c.agentUpdates.PublishDeferred(router.OccupancyKey, taken, false)
	}
}
