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

// ModelVersionsKey is the register of when model versions were published: a field MODEL/VERSION has the age in milliseconds of the version
// at the core that published it. A router that starts during a rollout learns from it how long old versions may still be used
// (docs/design.md §6.5).
const ModelVersionsKey = "named"

// ModelVersionField returns the name of the field for a model version.
func ModelVersionField(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// MaxModelVersions is how many versions of a model are remembered; the oldest are forgotten first.
const MaxModelVersions = 32

// ModelVersions records when model versions were published. If different ages are received for one version, the greatest counts. The
// zero value is ready to use.
type ModelVersions struct {
	mu     sync.Mutex
	models map[string]*publishedVersions
}

// publishedVersions are the recorded versions of one model.
type publishedVersions struct {
	since map[uint64]time.Time
	// newestForgotten is the newest version that was forgotten: versions below it must no longer be used.
	newestForgotten uint64
}

// add records a version, and forgets the oldest one beyond MaxModelVersions.
func (p *publishedVersions) add(version uint64, since time.Time) {
	p.since[version] = since
	if len(p.since) > MaxModelVersions {
		oldest := slices.Min(slices.Collect(maps.Keys(p.since)))
		delete(p.since, oldest)
		p.newestForgotten = oldest
	}
}

// Apply applies a watch update, and returns the fields whose recorded time changed, with their ages.
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

// of returns the recorded versions of a model; n.mu is held.
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

// versionAgeSlack is how much greater a received age must be to change a recorded time: the delay of updates varies.
const versionAgeSlack = 100 * time.Millisecond

// Superseded returns since when there is a newer version of a model than this one; ok is false if that is unknown or forgotten.
func (n *ModelVersions) Superseded(model string, version uint64) (since time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	published := n.of(model)
	if version < published.newestForgotten {
		return time.Time{}, false
	}
	next := uint64(0)
	for newer := range published.since {
		if newer > version && (next == 0 || newer < next) {
			next = newer
		}
	}
	return published.since[next], next > 0
}

// startDeadline returns by when work on a model version must have started; old is false if the version is not outdated. A version above the
// newest one known here is newer, so it is not old. An old version may be used for a limited time, counted from when it was superseded, or
// from the last disturbance of the cores (one fell silent or returned) if that was later. If it is unknown when it was
// superseded, it must not be used.
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

// mayStart reports whether work on a model version may be sent to a replica. On an old version it may as long as a response is likely to
// be complete before the start deadline.
func (r *Router) mayStart(v *View, p *pool, model string, version uint64, now time.Time) bool {
	end, old := r.startDeadline(v, model, version)
	return !old || now.Add(p.answers.expected(r.options.OldWeightsLimit/2)).Before(end)
}

// remainingTime returns the deadline that a replica is given for a request, as a duration: until the request's own deadline, and no longer
// than the replica's model version may be used. The replica drops requests that it has not started by then. This guarantees that no work
// starts too late; the expected response time in mayStart does not.
func (r *Router) remainingTime(v *View, x *Exchange) time.Duration {
	left := time.Until(x.Deadline)
	if end, old := r.requestStartDeadline(v, x); old {
		left = min(left, time.Until(end))
	}
	return left
}

// isPastOldVersion reports whether the deadline of a request would end, if it is written now, after the time of the old model version at
// its replica. That happens if it waited for a connection after the deadline was computed, or if the version has become old since.
func (r *Router) isPastOldVersion(v *View, x *Exchange) bool {
	end, old := r.requestStartDeadline(v, x)
	return old && time.Now().Add(x.remaining).After(end.Add(sendSlack))
}

// sendSlack is how long a request may take from the computation of its remaining time to the write.
const sendSlack = 200 * time.Millisecond

// requestStartDeadline returns the startDeadline for the replica that a request was assigned to.
func (r *Router) requestStartDeadline(v *View, x *Exchange) (end time.Time, old bool) {
	rep := v.replicas[x.replica.Name]
	if x.weights == "" || rep == nil || r.options.Protocol.ReportPath() != "" {
		return time.Time{}, false
	}
	return r.startDeadline(v, x.Prompt.Model, rep.version(x.Prompt.Model))
}
