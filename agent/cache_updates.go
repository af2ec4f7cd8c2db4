package agent

import (
	"maps"
	"strings"

	"asterridge/router"
	"asterridge/watch"
)

// forwardCached sends the proxy the cache updates that a core has read from the replicas assigned to it (docs/design.md §6.4).
func (a *Agent) forwardCached(core *watch.Client, response watch.Response) {
	for _, update := range response.Updates {
		if !strings.HasPrefix(update.Key, router.CachedPrefix) {
			continue
		}
		live := a.liveCores(update.Key, core)
		assigned := len(live) > 0 && live[0].Address == core.Options.Address
		a.mu.Lock()
		if _, known := a.cacheReaders[update.Key]; assigned || !known {
			a.cacheReaders[update.Key] = ""
			if assigned {
				a.cacheReaders[update.Key] = core.Options.Address
			}
		}
		a.mu.Unlock()
		if assigned && len(update.Fields) > 0 {
			a.proxyUpdates.PublishDeferred(update.Key, update.Fields, response.Snapshot)
		}
	}
}

// switchCacheReaders sends the proxy the full cached state of each replica that was reassigned to another core, taken from that core: the
// updates that the core sent before the reassignment were not forwarded.
func (a *Agent) switchCacheReaders() {
	a.mu.Lock()
	before := maps.Clone(a.cacheReaders)
	a.mu.Unlock()
	for key, address := range before {
		live := a.liveCores(key)
		if len(live) == 0 || live[0].Address == address {
			continue
		}
		a.mu.Lock()
		a.cacheReaders[key] = live[0].Address
		core := a.cores[live[0].Address]
		a.mu.Unlock()
		if state := core.Read(key); len(state.Fields) > 0 {
			a.proxyUpdates.PublishDeferred(key, state.Fields, true)
		}
	}
}
