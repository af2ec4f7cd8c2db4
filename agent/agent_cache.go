package agent

import (
	"maps"
	"strings"

	"asterridge/router"
	"asterridge/watch"
)

// forwardCached passes on what a core has read of the sources that are assigned to it.
func (a *Agent) forwardCached(f *watch.Client, answer watch.Response) {
	for _, e := range answer.Updates {
		if !strings.HasPrefix(e.Key, router.KeptPrefix) {
			continue
		}
		cores := a.liveCores(e.Key, f)
		picked := len(cores) > 0 && cores[0].Address == f.Options.Address
		a.mu.Lock()
		if _, ok := a.cacheReaders[e.Key]; picked || !ok {
			a.cacheReaders[e.Key] = ""
			if picked {
				a.cacheReaders[e.Key] = f.Options.Address
			}
		}
		a.mu.Unlock()
		if picked && len(e.Fields) > 0 {
			a.proxyUpdates.PublishDeferred(e.Key, e.Fields, answer.Snapshot)
		}
	}
}

// switchCacheReaders takes all that a source keeps from another core, when the reading of it was handed over: what that core told before then
// was not passed on.
func (a *Agent) switchCacheReaders() {
	a.mu.Lock()
	before := maps.Clone(a.cacheReaders)
	a.mu.Unlock()
	for key, address := range before {
		cores := a.liveCores(key)
		if len(cores) == 0 || cores[0].Address == address {
			continue
		}
		a.mu.Lock()
		a.cacheReaders[key] = cores[0].Address
		f := a.cores[cores[0].Address]
		a.mu.Unlock()
		if held := f.Read(key); len(held.Fields) > 0 {
			a.proxyUpdates.PublishDeferred(key, held.Fields, true)
		}
	}
}
