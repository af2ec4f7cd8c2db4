package controlplane

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"asterridge/register"
)

// maxSharedBlocks limits how many blocks are remembered as shared; beyond it the set is cleared and learned again.
const maxSharedBlocks = 200000

// startupPublishPeriod is for how long after reading its first source a core publishes all cached blocks. At first it knows of no
// shared blocks, and proxies restarted together with it do not know which replica has which block.
const startupPublishPeriod = 20 * time.Second

// sharedBlocksKey is the watch key under which cores tell each other the blocks that proxies have named as shared by several prompts.
const sharedBlocksKey = "shared"

// prefixFilter decides which cached blocks are published to agents. Most of what replicas and stores cache belongs to one request and
// is useless to others, so only blocks that a proxy has named as shared are published. What is cached when reading starts is published
// too, since those blocks may not be named again. The zero value is ready to use.
type prefixFilter struct {
	mu sync.Mutex
	// sharedBlocks are the blocks that proxies have named; true if named to this core, which has told the others.
	sharedBlocks map[string]bool
	// startedAt is when the first source was read.
	startedAt time.Time
	// sources are the caches that were read, by the key of their updates.
	sources map[string]*cacheSource
}

// cacheSource is the cache of one replica or store.
type cacheSource struct {
	cached    map[string]int
	published map[string]bool
}

// update records a source's blocks (by key, how much is cached now) and returns the fields to publish.
func (f *prefixFilter) update(source string, blocks map[string]int, full bool) register.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startedAt.IsZero() {
		f.startedAt = time.Now()
	}
	all := full || time.Since(f.startedAt) < startupPublishPeriod
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

// publishBlock adds a block to the fields if it is to be published, or its removal if it was published before; f.mu must be held.
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

// addShared records blocks as shared; own is true if a proxy named them to this core rather than to another one. It returns the blocks
// to announce to the other cores, whether these replace all earlier ones, and by source the blocks that can now be published.
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

// releaseBlock adds a block that has become shared to the fields of every source that has it cached but not published; f.mu must be
// held.
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

// drop removes a source, and returns the fields to publish in its place: none.
func (f *prefixFilter) drop(source string) register.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sources, source)
	return register.Fields{}
}
