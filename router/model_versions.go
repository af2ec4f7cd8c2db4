package router

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/register"
)

// ModelVersionsKey has, for each version of a model that operators have named, how long ago a core took it: MODEL/VERSION → ms when it was put. Who
// starts while replicas load learns by it how long old versions may still be used (§6.5).
const ModelVersionsKey = "named"

// ModelVersionField is the field of a model's version.
func ModelVersionField(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// ModelVersions remembers since when versions are named; of several words the oldest counts.
type ModelVersions struct {
	mu    sync.Mutex
	since map[string]map[uint64]time.Time
}

// Apply takes a link's entry, and gives the fields that moved with what is known of them now.
func (n *ModelVersions) Apply(fields register.Fields, agesMs map[string]int64) register.Fields {
	n.mu.Lock()
	defer n.mu.Unlock()
	moved := register.Fields{}
	for field, raw := range fields {
		at := strings.LastIndexByte(field, '/')
		var ms int64
		if at < 0 || register.IsDeleted(raw) || json.Unmarshal(raw, &ms) != nil {
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
		if known, ok := versions[version]; !ok || since.Add(versionAgeSlack).Before(known) {
			versions[version] = since
			moved[field] = json.RawMessage(strconv.FormatInt(ms, 10))
		}
	}
	return moved
}

// versionAgeSlack is how much older a word must be to count as news: the way of a word differs a little each time.
const versionAgeSlack = 100 * time.Millisecond

// Superseded says since when there is a newer version of a model than this one.
func (n *ModelVersions) Superseded(model string, version uint64) (since time.Time, ok bool) {
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

// beginBy gives when work on a version of a model must have begun at the latest. A newer version than we have heard of is newer all the same:
// only an older one isOld. It may be used for a term from when it was superseded, which counts anew from when the cores were last disturbed;
// if nobody knows since when, its time is over.
func (r *Router) beginBy(v *View, model string, version uint64) (end time.Time, old bool) {
	if version >= v.models[model].Version {
		return time.Time{}, false
	}
	since, ok := r.modelVersions.Superseded(model, version)
	if !ok {
		return time.Time{}, true
	}
	if disturbed := r.disturbed.Load(); disturbed != nil && since.Before(*disturbed) {
		since = *disturbed
	}
	return since.Add(r.options.OldWeightsLimit), true
}

// mayStart says whether work may be sent to a replica on a version of a model: on an old one as long as an answer is likely to be whole
// before no work may begin.
func (r *Router) mayStart(v *View, p *pool, model string, version uint64, now time.Time) bool {
	end, old := r.beginBy(v, model, version)
	return !old || now.Add(p.answers.expected(r.options.OldWeightsLimit/2)).Before(end)
}

// remainingTime is what a replica is told that it has for a request. It drops what has not begun by then, and an old version ends there: that, and
// not what is expected of it, keeps work from beginning too late.
func (r *Router) remainingTime(v *View, x *Exchange) time.Duration {
	left := time.Until(x.Deadline)
	if end, old := r.endOf(v, x); old {
		left = min(left, time.Until(end))
	}
	return left
}

// isPastOldVersion says whether a request that is written now would have time beyond the end of the old version that it goes to: it sought a connection
// since it was told its time, or the version has become an old one.
func (r *Router) isPastOldVersion(v *View, x *Exchange) bool {
	end, old := r.endOf(v, x)
	return old && time.Now().Add(x.remaining).After(end.Add(sendSlack))
}

// sendSlack is how long a request may take from being told its time to its write.
const sendSlack = 200 * time.Millisecond

// endOf is beginBy for the replica that a request was given.
func (r *Router) endOf(v *View, x *Exchange) (end time.Time, old bool) {
	rep := v.replicas[x.replica.Name]
	if x.weights == "" || rep == nil || r.options.Protocol.ReportPath() != "" {
		return time.Time{}, false
	}
	return r.beginBy(v, x.Prompt.Model, rep.version(x.Prompt.Model))
}
