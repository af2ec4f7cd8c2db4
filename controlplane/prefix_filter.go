package controlplane

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"asterridge/register"
)

// maxSharedBlocks is how many blocks are remembered as shared; beyond it all are forgotten and learned anew.
const maxSharedBlocks = 200000

// startupPublication is for how long from its first source on a core publishes all that is cached: it knows no shared block yet, and proxies
// that were restarted with it know no replica.
const startupPublication = 20 * time.Second

// sharedBlocksKey has, among cores, the blocks that proxies have named as such that prompts share.
const sharedBlocksKey = "shared"

// prefixFilter decides which cached blocks agents are told of. Most of what replicas and stores cache belongs to one request and is of no use
// to others: only blocks that a proxy has named as shared are published, besides what is cached when reading begins, since nobody may name
// that again. The zero value is ready to use.
type prefixFilter struct {
	mu sync.Mutex
	// sharedBlocks are the blocks that proxies have named; true: to this core, which has told the others.
	sharedBlocks map[string]bool
	// startedAt is when the first source was read.
	startedAt time.Time
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
	if f.startedAt.IsZero() {
		f.startedAt = time.Now()
	}
	all := full || time.Since(f.startedAt) < startupPublication
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
		f.publishBlock(s, block, all, fields)
	}
	return fields
}

// publishBlock adds a block to the fields if it is to be published, or its removal if it was published; f.mu is held.
func (f *prefixFilter) publishBlock(s *cacheSource, block string, all bool, fields register.Fields) {
	amount, cached := s.cached[block]
	_, shared := f.sharedBlocks[block]
	switch {
	case cached && (all || shared):
		s.published[block] = true
		fields[block] = json.RawMessage(strconv.Itoa(amount))
	case !cached && s.published[block]:
		delete(s.published, block)
		fields[block] = nil
	}
}

// addShared notes blocks as shared, as a proxy has named them to this core (own) or to another one. It gives the blocks that the other cores are
// to be told of, whether they are all that is known now, and by source what was held back of the blocks.
func (f *prefixFilter) addShared(blocks []string, own bool) (announced register.Fields, full bool, released map[string]register.Fields) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full = len(f.sharedBlocks) > maxSharedBlocks; full || f.sharedBlocks == nil {
		f.sharedBlocks = map[string]bool{}
	}
	announced, released = register.Fields{}, map[string]register.Fields{}
	for _, block := range blocks {
		announcedBefore, known := f.sharedBlocks[block]
		f.sharedBlocks[block] = announcedBefore || own
		if own && !announcedBefore {
			announced[block] = json.RawMessage("1")
		}
		if !known {
			f.releaseBlock(block, released)
		}
	}
	return announced, full, released
}

// releaseBlock adds a block that has become shared to the fields of every source that has it cached unpublished; f.mu is held.
func (f *prefixFilter) releaseBlock(block string, released map[string]register.Fields) {
	for name, s := range f.sources {
		if s.cached[block] == 0 || s.published[block] {
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
