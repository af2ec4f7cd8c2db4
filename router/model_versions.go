package router

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/register"
)

// ModelVersionsKey has, for each published version of a model, how long ago a core took it: MODEL/VERSION → milliseconds when it was
// published. A router that starts while replicas load learns by it how long old versions may still be used (docs/design.md §6.5).
const ModelVersionsKey = "named"

// ModelVersionField is the field of a model's version.
func ModelVersionField(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// MaxModelVersions is how many versions of a model are remembered, the newest.
const MaxModelVersions = 32

// ModelVersions remembers since when versions are published; of several ages the oldest counts. The zero value is ready to use.
type ModelVersions struct {
	mu     sync.Mutex
	models map[string]*publishedVersions
}

// publishedVersions are those of one model.
type publishedVersions struct {
	since map[uint64]time.Time
	// newestForgotten is the newest version that is remembered no more: the time of those below it is over.
	newestForgotten uint64
}

// add remembers a version, and forgets the oldest one beyond MaxModelVersions.
func (p *publishedVersions) add(version uint64, since time.Time) {
	p.since[version] = since
	if len(p.since) > MaxModelVersions {
		oldest := slices.Min(slices.Collect(maps.Keys(p.since)))
		delete(p.since, oldest)
		p.newestForgotten = oldest
	}
}

// Apply takes a watch update, and gives the fields whose time moved, with what is known of them now.
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
		published := n.of(field[:at])
		known, ok := published.since[version]
		if version > published.newestForgotten && (!ok || since.Add(versionAgeSlack).Before(known)) {
			published.add(version, since)
			moved[field] = json.RawMessage(strconv.FormatInt(ms, 10))
		}
	}
	return moved
}

// of gives a model's versions; n.mu is held.
func (n *ModelVersions) of(model string) *publishedVersions {
	if n.models == nil {
		n.models = map[string]*publishedVersions{}
	}
	published := n.models[model]
	if published == nil {
		published = &publishedVersions{since: map[uint64]time.Time{}}
		n.models[model] = published
	}
	return published
}

// versionAgeSlack is how much older an age must be to move a time: updates take a little longer or shorter each time.
const versionAgeSlack = 100 * time.Millisecond

// Superseded gives since when there is a newer version of a model than this one; not ok if that is not known, or not any more.
func (n *ModelVersions) Superseded(model string, version uint64) (since time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	published := n.of(model)
	if version < published.newestForgotten {
		return time.Time{}, false
	}
	next := uint64(0)
	for named := range published.since {
		if named > version && (next == 0 || named < next) {
			next = named
		}
	}
	return published.since[next], next > 0
}

// startDeadline gives when work on a version of a model must have begun at the latest; old is false for the newest version. A version above the
// one that we know of is newer all the same. An old one may be used for a time from when it was superseded, or from when the cores were
// last disturbed if that was later. If nobody knows since when, its time is over.
func (r *Router) startDeadline(v *View, model string, version uint64) (end time.Time, old bool) {
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

// mayStart reports whether work may be sent to a replica on a version of a model. On an old version it may as long as an answer is likely
// to be complete before no work may begin.
func (r *Router) mayStart(v *View, p *pool, model string, version uint64, now time.Time) bool {
	end, old := r.startDeadline(v, model, version)
	return !old || now.Add(p.answers.expected(r.options.OldWeightsLimit/2)).Before(end)
}

// remainingTime is the time that a replica is told it has for a request: up to the request's deadline, and no longer than its version may
// be used. The replica drops what it has not begun by then. That, and not what is expected of it, keeps work from beginning too late.
func (r *Router) remainingTime(v *View, x *Exchange) time.Duration {
	left := time.Until(x.Deadline)
	if end, old := r.requestStartDeadline(v, x); old {
		left = min(left, time.Until(end))
	}
	return left
}

// isPastOldVersion reports whether a request that is written now would have time beyond the end of the old version that it goes to: it has
// waited for a connection since it was told its time, or the version has become an old one.
func (r *Router) isPastOldVersion(v *View, x *Exchange) bool {
	end, old := r.requestStartDeadline(v, x)
	return old && time.Now().Add(x.remaining).After(end.Add(sendSlack))
}

// sendSlack is how long a request may take from being told its time to its write.
const sendSlack = 200 * time.Millisecond

// requestStartDeadline is beginBy for the replica that a request was given.
func (r *Router) requestStartDeadline(v *View, x *Exchange) (end time.Time, old bool) {
	rep := v.replicas[x.replica.Name]
	if x.weights == "" || rep == nil || r.options.Protocol.ReportPath() != "" {
		return time.Time{}, false
	}
	return r.startDeadline(v, x.Prompt.Model, rep.version(x.Prompt.Model))
}
