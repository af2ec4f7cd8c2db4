package controlplane

import (
	"encoding/json"
	"strconv"
	"sync"

	"asterridge/register"
	"asterridge/router"
)

// maxSharedBlocks is how many blocks are remembered as shared; beyond it all are forgotten and learned anew.
const maxSharedBlocks = 200000

// prefixFilter decides which cached blocks agents are told of. Most of what replicas cache belongs to one request and is of no use to
// others. While a store answers, only blocks that were once left at a store are published, besides what is cached when reading begins:
// nobody knows any more what that is. Without a store everything is published. The zero value is ready to use.
type prefixFilter struct {
	mu sync.Mutex
	// liveStores are the stores that answer.
	liveStores map[string]bool
	// sharedBlocks are the blocks that a store has cached.
	sharedBlocks map[string]bool
	// sources are what was read, by the key of the updates.
	sources map[string]*cacheSource
}

// cacheSource is the cache of one replica or store.
type cacheSource struct {
	cached    map[string]int
	published map[string]bool
}

// update notes a source's blocks (by key, how much is cached now) and gives the fields to publish.
func (f *prefixFilter) update(source string, blocks map[string]int, full bool) register.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[source]
	if s == nil || full {
		s = &cacheSource{cached: map[string]int{}, published: map[string]bool{}}
		if f.sources == nil {
			f.sources = map[string]*cacheSource{}
		}
		f.sources[source] = s
	}
	fields := register.Fields{}
	for block, amount := range blocks {
		if amount > 0 {
			s.cached[block] = amount
		} else {
			delete(s.cached, block)
		}
		f.publishBlock(s, block, full || isStore(source), fields)
	}
	return fields
}

// publishBlock adds a block to the fields if it is to be published, or its removal if it was published; f.mu is held.
func (f *prefixFilter) publishBlock(s *cacheSource, block string, all bool, fields register.Fields) {
	amount, cached := s.cached[block]
	switch {
	case cached && (all || len(f.liveStores) == 0 || f.sharedBlocks[block]):
		s.published[block] = true
		fields[block] = json.RawMessage(strconv.Itoa(amount))
	case !cached && s.published[block]:
		delete(s.published, block)
		fields[block] = nil
	}
}

// shareBlocks notes what a store has cached, and gives by source what was held back of it.
func (f *prefixFilter) shareBlocks(store string, fields register.Fields, full bool) map[string]register.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.liveStores == nil {
		f.liveStores, f.sharedBlocks = map[string]bool{}, map[string]bool{}
	}
	if full {
		delete(f.liveStores, store)
	}
	if len(f.sharedBlocks) > maxSharedBlocks {
		f.sharedBlocks = map[string]bool{}
	}
	released := map[string]register.Fields{}
	for block, raw := range fields {
		deleted := register.IsDeleted(raw)
		switch {
		case block == router.CacheUp && deleted:
			delete(f.liveStores, store)
		case block == router.CacheUp:
			f.liveStores[store] = true
		case !deleted && !f.sharedBlocks[block]:
			f.sharedBlocks[block] = true
			f.releaseBlock(block, released)
		}
	}
	return released
}

// releaseBlock adds a block that has become shared to the fields of every replica that has it cached unpublished; f.mu is held.
func (f *prefixFilter) releaseBlock(block string, released map[string]register.Fields) {
	for name, s := range f.sources {
		if isStore(name) || s.cached[block] == 0 || s.published[block] {
			continue
		}
		if released[name] == nil {
			released[name] = register.Fields{}
		}
		f.publishBlock(s, block, false, released[name])
	}
}

// drop forgets a source, and gives the fields to publish in its place: none.
func (f *prefixFilter) drop(source string) register.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sources, source)
	return register.Fields{}
}
