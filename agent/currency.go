package agent

import (
	"context"
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

// undecidedVersion is an in-doubt version and the time from which UndecidedLimit is counted.
type undecidedVersion struct {
	revision register.Revision
	since    time.Time
}

// applyUpdates sends the proxy the versions that are known to be committed and evaluates until when this agent is current.
func (a *Agent) applyUpdates(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evaluateCurrency()
	a.detectDisturbance()
	a.forwardProxies()
	if a.options.Protocol.ReportPath() != "" {
		a.pollReplicas(ctx)
	}
}

// remaining returns for how much longer this agent is current; zero or negative if it is not.
func (a *Agent) remaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evaluateCurrency()
	return time.Until(a.currentUntil)
}

// evaluateCurrency applies every register and computes until when this agent is current. The caller holds a.mu.
func (a *Agent) evaluateCurrency() {
	now := time.Now()
	if len(a.members) == 0 {
		a.notCurrentReason = a.describeSearch()
		if a.searchAsked > 0 { // else the first search is still under way
			a.logCurrency(now, false, a.notCurrentReason)
		}
		return
	}
	wasCurrent := now.Before(a.currentUntil)
	until, reason := a.quorumFreshUntil(), ""
	if !now.Before(until) {
		reason = a.describeMissingQuorum(now)
	}
	for key := range a.publishedKeys() {
		end, undecided := a.applyKey(key, now, wasCurrent)
		if !undecided || !end.Before(until) {
			continue
		}
		until = end
		if !now.Before(until) {
			reason = a.describeUndecided(key, a.undecided[key].revision)
		}
	}
	a.logCurrency(now, now.Before(until), reason) // also reached when a time limit has expired without a response
	a.currentUntil, a.notCurrentReason = until, reason
	if now.Before(until) {
		a.closeEverCurrent.Do(func() { close(a.everCurrent) })
	}
}

// publishedKeys returns the keys of the registers that any core has reported.
func (a *Agent) publishedKeys() map[string]bool {
	keys := map[string]bool{}
	for _, core := range a.cores {
		for _, key := range core.Keys() {
			if protocol.IsPublished(key) {
				keys[key] = true
			}
		}
	}
	return keys
}

// activeLists returns the member lists that need a majority: the active one, and the previous one while keys are transferred from it.
func (a *Agent) activeLists() [][]config.Member {
	if len(a.previousMembers) > 0 {
		return [][]config.Member{a.members, a.previousMembers}
	}
	return [][]config.Member{a.members}
}

// quorumFreshUntil returns until when the responses of a majority of every active list are fresh enough.
func (a *Agent) quorumFreshUntil() (until time.Time) {
	for i, list := range a.activeLists() {
		if end := a.listFreshUntil(list); i == 0 || end.Before(until) {
			until = end
		}
	}
	return until
}

// listFreshUntil returns until when the responses of a majority of one list are fresh enough. With the members ordered by the send time of
// their last answered request, newest first, this is FreshLimit after the send time of the member that completes the majority.
func (a *Agent) listFreshUntil(list []config.Member) time.Time {
	var sent []time.Time
	for _, m := range list {
		if at := a.freshAsOf(m); !at.IsZero() {
			sent = append(sent, at)
		}
	}
	majority := membership.Majority(len(list))
	if len(sent) < majority {
		return time.Time{}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After(sent[j]) })
	return sent[majority-1].Add(a.options.FreshLimit)
}

// freshAsOf returns the send time of the last request that a member has answered; zero if it has answered none.
func (a *Agent) freshAsOf(m config.Member) time.Time {
	if core := a.cores[m.Address]; core != nil {
		return core.FreshAsOf(m.Incarnation)
	}
	return time.Time{}
}

// hasQuorum reports whether, in every active list, a majority of the members has answered and matches.
func (a *Agent) hasQuorum(matches func(core *watch.Client) bool) bool {
	for _, list := range a.activeLists() {
		count := 0
		for _, m := range list {
			if !a.freshAsOf(m).IsZero() && matches(a.cores[m.Address]) {
				count++
			}
		}
		if count < membership.Majority(len(list)) {
			return false
		}
	}
	return true
}

// mayBeCommitted reports whether a majority of some active list may have the revision or a later one. A member without a fresh response
// is assumed to have it.
func (a *Agent) mayBeCommitted(key string, revision register.Revision, now time.Time) bool {
	for _, list := range a.activeLists() {
		without := 0
		for _, m := range list {
			core := a.cores[m.Address]
			if core == nil || now.Sub(core.FreshAsOf(m.Incarnation)) >= a.options.FreshLimit {
				continue
			}
			if has, _ := core.Revisions(key); has.Less(revision) {
				without++
			}
		}
		if len(list)-without >= membership.Majority(len(list)) {
			return true
		}
	}
	return false
}

// applyKey sends the proxy the newest committed version of a register. If a later version is in doubt, undecided is true and end is the
// time when this agent ceases to be current because of it. An agent that was not current when it first saw that version gets no
// UndecidedLimit for it: otherwise a restart could bring an older version back into use.
func (a *Agent) applyKey(key string, now time.Time, wasCurrent bool) (end time.Time, undecided bool) {
	newest := a.applyCommitted(key)
	applied := a.applied[key]
	if open := a.undecided[key]; !applied.Less(open.revision) {
		delete(a.undecided, key)
	}
	if !applied.Less(newest) || !a.mayBeCommitted(key, newest, now) {
		return time.Time{}, false
	}
	open, known := a.undecided[key]
	if !known {
		open = undecidedVersion{revision: newest, since: now}
		if !wasCurrent {
			open.since = now.Add(-a.options.UndecidedLimit)
		}
		a.undecided[key] = open
	}
	return open.since.Add(a.options.UndecidedLimit), true
}

// applyCommitted sends the proxy the newest committed version of a register if the proxy has an older one, and returns the newest revision
// that any core has, committed or not.
func (a *Agent) applyCommitted(key string) (newest register.Revision) {
	committed := a.applied[key]
	newest = committed
	var source *watch.Client
	for _, core := range a.cores {
		revision, coreCommitted := core.Revisions(key)
		if newest.Less(revision) {
			newest = revision
		}
		if committed.Less(revision) && (register.IsCommitted(revision, coreCommitted) || a.quorumHas(key, revision)) {
			committed, source = revision, core
		}
	}
	if source == nil {
		return newest
	}
	state := source.Read(key)
	if state.Revision != committed {
		return newest // the core has a newer revision by now; the next response triggers another evaluation
	}
	a.applied[key] = committed
	a.proxyUpdates.Publish(key, committed, committed, state.Fields, true)
	a.host.Log.Info().Str("key", key).Uint64("epoch", committed.Epoch).Uint64("version", committed.Version).Msg("register applied")
	if key == config.MembersKey {
		a.applyMembership(&membership.Record{Revision: committed, Fields: state.Fields})
	}
	return newest
}

// quorumHas reports whether a majority of every active list has exactly this revision.
func (a *Agent) quorumHas(key string, revision register.Revision) bool {
	return a.hasQuorum(func(core *watch.Client) bool {
		has, _ := core.Revisions(key)
		return has == revision
	})
}

// detectDisturbance notifies the proxy when a member becomes unresponsive or responsive again while a majority is responsive: the replicas
// may have received no commands in the meantime (docs/design.md §6.5). If this agent had no majority until just now, it was itself frozen,
// partitioned or not running, and members that become responsive one by one say nothing about the fleet. The caller holds a.mu.
func (a *Agent) detectDisturbance() {
	now, settleTime := time.Now(), membership.LivenessTimeout+a.options.WatchWait
	fresh, changed := 0, false
	for _, m := range a.members {
		core := a.cores[m.Address]
		unresponsive := core == nil || now.Sub(core.FreshAt()) > settleTime
		if !unresponsive {
			fresh++
		}
		before, known := a.unresponsive[m.Address]
		changed = changed || known && before != unresponsive
		a.unresponsive[m.Address] = unresponsive
	}
	if fresh < membership.Majority(len(a.members)) {
		a.quorumSince = time.Time{}
		return
	}
	if a.quorumSince.IsZero() {
		a.quorumSince = now
	}
	if changed && now.Sub(a.quorumSince) > settleTime {
		a.proxyUpdates.PublishHint(router.DisturbedKey, register.Fields{router.DisturbedKey: json.RawMessage("1")}, false)
	}
}
