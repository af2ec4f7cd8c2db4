package daemon

import (
	"encoding/json"
	"sort"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// doubt is a version seen that may be accepted, and since when it counts.
type doubt struct {
	revision register.Revision
	since    time.Time
}

// noteSilence tells the proxy when a member falls silent or returns, so long as a majority answers. An agent that did not hear a majority just
// now was itself frozen, cut off or not there: that members return to its hearing one by one says nothing of them. a.mu is held.
func (a *Agent) noteSilence() {
	now, settling := time.Now(), LivenessTimeout+a.options.LinkWait
	fresh, changed := 0, false
	for _, m := range a.members {
		f := a.links[m.Address]
		silent := f == nil || now.Sub(f.FreshAt()) > settling
		if !silent {
			fresh++
		}
		was, ok := a.silent[m.Address]
		changed = changed || ok && was != silent
		a.silent[m.Address] = silent
	}
	if fresh <= len(a.members)/2 {
		a.hearingSince = time.Time{}
		return
	}
	if a.hearingSince.IsZero() {
		a.hearingSince = now
	}
	if changed && now.Sub(a.hearingSince) > settling {
		a.source.Publish(router.DisturbedKey, register.Revision{}, register.Revision{}, register.Fields{router.DisturbedKey: json.RawMessage("1")}, false)
	}
}

// lists are the lists of members that count: the present one, and the one before while keys are carried over from it (§2.8).
func (a *Agent) lists() [][]config.Member {
	if len(a.prior) > 0 {
		return [][]config.Member{a.members, a.prior}
	}
	return [][]config.Member{a.members}
}

// workOut is digest's core; a.mu is held.
func (a *Agent) workOut() {
	now := time.Now()
	if len(a.members) == 0 {
		return
	}
	wasCurrent := now.Before(a.until)
	keys := map[string]bool{}
	for _, f := range a.links {
		for _, key := range f.Keys() {
			keys[key] = keys[key] || IsPublished(key)
		}
	}
	var until time.Time
	for i, list := range a.lists() {
		if end := a.freshUntil(list); i == 0 || end.Before(until) {
			until = end
		}
	}
	why := ""
	if !now.Before(until) {
		why = "fewer than a majority of cores answer"
	}
	for key, wanted := range keys {
		if !wanted {
			continue
		}
		if at, open := a.decide(key, now, wasCurrent); open && at.Before(until) {
			until = at
			if !now.Before(until) {
				why = "a change of " + key + " is undecided"
			}
		}
	}
	if current := now.Before(until); current != a.saidCurrent { // a limit that has run out is told too
		a.saidCurrent = current
		a.host.Log.Info().Str("event", "currency").Bool("is_current", current).Str("why", why).Msg("")
	}
	a.until, a.why = until, why
}

// freshUntil is the end of the time that a majority of a list has granted by answering.
func (a *Agent) freshUntil(list []config.Member) time.Time {
	var sent []time.Time
	for _, m := range list {
		if f := a.links[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() {
			sent = append(sent, f.FreshAsOf(m.Incarnation))
		}
	}
	majority := Majority(len(list))
	if len(sent) < majority {
		return time.Time{}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After(sent[j]) })
	return sent[majority-1].Add(a.options.Fresh)
}

// stands says whether a majority of each list fits.
func (a *Agent) stands(fits func(f *watch.Client) bool) bool {
	for _, list := range a.lists() {
		count := 0
		for _, m := range list {
			if f := a.links[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() && fits(f) {
				count++
			}
		}
		if count < Majority(len(list)) {
			return false
		}
	}
	return true
}

// mayStand says whether, for all that is known, a majority of some list may hold the revision or a later one.
func (a *Agent) mayStand(key string, revision register.Revision, now time.Time) bool {
	for _, list := range a.lists() {
		lacking := 0
		for _, m := range list {
			f := a.links[m.Address]
			if f == nil || now.Sub(f.FreshAsOf(m.Incarnation)) >= a.options.Fresh {
				continue
			}
			if has, _ := f.Revisions(key); has.Less(revision) {
				lacking++
			}
		}
		if len(list)-lacking >= Majority(len(list)) {
			return true
		}
	}
	return false
}

// decide applies the highest accepted version of a key. If a higher one may be accepted too, it gives the end of the grace.
func (a *Agent) decide(key string, now time.Time, wasCurrent bool) (end time.Time, isOpen bool) {
	best, top := a.applied[key], a.applied[key]
	var from *watch.Client
	for _, f := range a.links {
		revision, settled := f.Revisions(key)
		if top.Less(revision) {
			top = revision
		}
		if best.Less(revision) && (register.IsCommitted(revision, settled) || a.stands(func(other *watch.Client) bool {
			has, _ := other.Revisions(key)
			return has == revision
		})) {
			best, from = revision, f
		}
	}
	if from != nil {
		if held := from.Read(key); held.Revision == best {
			a.applied[key] = best
			a.source.Publish(key, best, best, held.Fields, true)
			a.host.Log.Info().Str("event", "applied").Str("key", key).Uint64("epoch", best.Epoch).Uint64("version", best.Version).Msg("")
			if key == config.MembersKey {
				a.members, a.prior, _ = ReadMembers(held.Fields)
				a.keepCores()
			}
		}
	}
	applied := a.applied[key]
	if open := a.undecided[key]; !applied.Less(open.revision) {
		delete(a.undecided, key)
	}
	if !applied.Less(top) || !a.mayStand(key, top, now) {
		return time.Time{}, false
	}
	open, ok := a.undecided[key]
	if !ok {
		open = doubt{revision: top, since: now}
		if !wasCurrent {
			open.since = now.Add(-a.options.Undecided)
		}
		a.undecided[key] = open
	}
	return open.since.Add(a.options.Undecided), true
}

// remaining is how much longer this agent is current.
func (a *Agent) remaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workOut()
	return time.Until(a.until)
}
