package agent

import (
	"maps"
	"strings"

	"asterridge/router"
	"asterridge/watch"
)

// forwardCached gives the proxy what a core has read of the caches that are assigned to it (docs/design.md §6.4).
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

// switchCacheReaders gives the proxy all that a source has cached from another core, once the reading was handed over to that one: what it
// told before then was not passed on.
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
