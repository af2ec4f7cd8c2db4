package router

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/register"
)

// NamedKey has, for each version of a model that operators have named, how long ago a core took it: MODEL/VERSION → ms when it was put. Who
// starts while replicas load learns by it how long old versions may still be used (§6.5).
const NamedKey = "named"

// NamedField is the field of a model's version.
func NamedField(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// Named remembers since when versions are named; of several words the oldest counts.
type Named struct {
	mu    sync.Mutex
	since map[string]map[uint64]time.Time
}

// Learn takes a link's entry, and gives the fields that moved with what is known of them now.
func (n *Named) Learn(fields register.Fields, agesMs map[string]int64) register.Fields {
	n.mu.Lock()
	defer n.mu.Unlock()
	moved := register.Fields{}
	for field, raw := range fields {
		at := strings.LastIndexByte(field, '/')
		var ms int64
		if at < 0 || register.IsGone(raw) || json.Unmarshal(raw, &ms) != nil {
			continue
		}
		version, err := strconv.ParseUint(field[at+1:], 10, 64)
		if err != nil {
			continue
		}
		ms += agesMs[field]
		since := time.Now().Add(-time.Duration(ms) * time.Millisecond)
		versions := n.since[field[:at]]
		if versions == nil {
			versions = map[uint64]time.Time{}
			if n.since == nil {
				n.since = map[string]map[uint64]time.Time{}
			}
			n.since[field[:at]] = versions
		}
		if known, isKnown := versions[version]; !isKnown || since.Add(namedSlack).Before(known) {
			versions[version] = since
			moved[field] = json.RawMessage(strconv.FormatInt(ms, 10))
		}
	}
	return moved
}

// namedSlack is how much older a word must be to count as news: the way of a word differs a little each time.
const namedSlack = 100 * time.Millisecond

// Superseded says since when there is a newer version of a model than this one.
func (n *Named) Superseded(model string, version uint64) (since time.Time, isKnown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := uint64(0)
	for named := range n.since[model] {
		if named > version && (next == 0 || named < next) {
			next = named
		}
	}
	return n.since[model][next], next > 0
}

// mayStart says whether work may start on a version of a model. A newer one than we have heard of is newer all the same; an older one may
// be used for a term from when it was superseded, which counts anew from when the cores were last disturbed.
func (r *Router) mayStart(v *View, model string, version uint64, now time.Time) bool {
	if version >= v.models[model].Version {
		return true
	}
	since, isKnown := r.named.Superseded(model, version)
	if disturbed := r.disturbed.Load(); isKnown && disturbed != nil && since.Before(*disturbed) {
		since = *disturbed
	}
	return isKnown && now.Before(since.Add(r.options.OldWeights))
}
