package agent

import (
	"encoding/json"
	"sort"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// undecidedVersion is a version seen that may be accepted, and since when it counts.
type undecidedVersion struct {
	revision register.Revision
	since    time.Time
}

// detectDisturbance tells the proxy when a member falls silent or returns, so long as a majority answers. An agent that did not hear a majority just
// now was itself frozen, cut off or not there: that members return to its hearing one by one says nothing of them. a.mu is held.
func (a *Agent) detectDisturbance() {
	now, settleTime := time.Now(), protocol.LivenessTimeout+a.options.WatchWait
	fresh, changed := 0, false
	for _, m := range a.members {
		f := a.cores[m.Address]
		unresponsive := f == nil || now.Sub(f.FreshAt()) > settleTime
		if !unresponsive {
			fresh++
		}
		was, ok := a.unresponsive[m.Address]
		changed = changed || ok && was != unresponsive
		a.unresponsive[m.Address] = unresponsive
	}
	if fresh <= len(a.members)/2 {
		a.quorumSince = time.Time{}
		return
	}
	if a.quorumSince.IsZero() {
		a.quorumSince = now
	}
	if changed && now.Sub(a.quorumSince) > settleTime {
		a.proxyUpdates.Publish(router.DisturbedKey, register.Revision{}, register.Revision{}, register.Fields{router.DisturbedKey: json.RawMessage("1")}, false)
	}
}

// activeMemberLists are the lists of members that count: the present one, and the one before while keys are carried over from it (§2.8).
func (a *Agent) activeMemberLists() [][]config.Member {
	if len(a.previousMembers) > 0 {
		return [][]config.Member{a.members, a.previousMembers}
	}
	return [][]config.Member{a.members}
}

// evaluateCurrency is digest's core; a.mu is held.
func (a *Agent) evaluateCurrency() {
	now := time.Now()
	if len(a.members) == 0 {
		return
	}
	wasCurrent := now.Before(a.currentUntil)
	keys := map[string]bool{}
	for _, f := range a.cores {
		for _, key := range f.Keys() {
			keys[key] = keys[key] || protocol.IsPublished(key)
		}
	}
	var until time.Time
	for i, list := range a.activeMemberLists() {
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
		if at, open := a.applyKey(key, now, wasCurrent); open && at.Before(until) {
			until = at
			if !now.Before(until) {
				why = "a change of " + key + " is undecided"
			}
		}
	}
	if current := now.Before(until); current != a.loggedCurrent { // a limit that has run out is told too
		a.loggedCurrent = current
		a.host.Log.Info().Str("event", "currency").Bool("is_current", current).Str("why", why).Msg("")
	}
	a.currentUntil, a.notCurrentReason = until, why
}

// freshUntil is the end of the time that a majority of a list has granted by answering.
func (a *Agent) freshUntil(list []config.Member) time.Time {
	var sent []time.Time
	for _, m := range list {
		if f := a.cores[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() {
			sent = append(sent, f.FreshAsOf(m.Incarnation))
		}
	}
	majority := membership.Majority(len(list))
	if len(sent) < majority {
		return time.Time{}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After(sent[j]) })
	return sent[majority-1].Add(a.options.FreshLimit)
}

// hasQuorum says whether a majority of each list fits.
func (a *Agent) hasQuorum(fits func(f *watch.Client) bool) bool {
	for _, list := range a.activeMemberLists() {
		count := 0
		for _, m := range list {
			if f := a.cores[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() && fits(f) {
				count++
			}
		}
		if count < membership.Majority(len(list)) {
			return false
		}
	}
	return true
}

// mayBeCommitted says whether, for all that is known, a majority of some list may hold the revision or a later one.
func (a *Agent) mayBeCommitted(key string, revision register.Revision, now time.Time) bool {
	for _, list := range a.activeMemberLists() {
		lacking := 0
		for _, m := range list {
			f := a.cores[m.Address]
			if f == nil || now.Sub(f.FreshAsOf(m.Incarnation)) >= a.options.FreshLimit {
				continue
			}
			if has, _ := f.Revisions(key); has.Less(revision) {
				lacking++
			}
		}
		if len(list)-lacking >= membership.Majority(len(list)) {
			return true
		}
	}
	return false
}

// applyKey applies the highest accepted version of a key. If a higher one may be accepted too, it gives the end of the grace.
func (a *Agent) applyKey(key string, now time.Time, wasCurrent bool) (end time.Time, isOpen bool) {
	committed, newest := a.applied[key], a.applied[key]
	var from *watch.Client
	for _, f := range a.cores {
		revision, settled := f.Revisions(key)
		if newest.Less(revision) {
			newest = revision
		}
		if committed.Less(revision) && (register.IsCommitted(revision, settled) || a.hasQuorum(func(other *watch.Client) bool {
			has, _ := other.Revisions(key)
			return has == revision
		})) {
			committed, from = revision, f
		}
	}
	if from != nil {
		if held := from.Read(key); held.Revision == committed {
			a.applied[key] = committed
			a.proxyUpdates.Publish(key, committed, committed, held.Fields, true)
			a.host.Log.Info().Str("event", "applied").Str("key", key).Uint64("epoch", committed.Epoch).Uint64("version", committed.Version).Msg("")
			if key == config.MembersKey {
				a.members, a.previousMembers, _ = protocol.ReadMembers(held.Fields)
				a.recordCores()
			}
		}
	}
	applied := a.applied[key]
	if open := a.undecided[key]; !applied.Less(open.revision) {
		delete(a.undecided, key)
	}
	if !applied.Less(newest) || !a.mayBeCommitted(key, newest, now) {
		return time.Time{}, false
	}
	open, ok := a.undecided[key]
	if !ok {
		open = undecidedVersion{revision: newest, since: now}
		if !wasCurrent {
			open.since = now.Add(-a.options.UndecidedLimit)
		}
		a.undecided[key] = open
	}
	return open.since.Add(a.options.UndecidedLimit), true
}

// remaining is how much longer this agent is current.
func (a *Agent) remaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evaluateCurrency()
	return time.Until(a.currentUntil)
}
