package agent

import (
	"fmt"
	"strings"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/membership"
	"asterridge/register"
)

// reasonLogInterval is the minimum time between two log lines about why this agent is not current.
const reasonLogInterval = time.Second

// describeSearch says why this agent knows no members. The caller holds a.mu.
func (a *Agent) describeSearch() string {
	return fmt.Sprintf("no core found yet: %d of %d addresses answered, none named the members", a.searchAnswers, a.searchAsked)
}

// describeMissingQuorum names the members without a fresh answer in each active list that lacks a majority. The caller holds a.mu.
func (a *Agent) describeMissingQuorum(now time.Time) string {
	var lists []string
	for i, list := range a.activeLists() {
		missing := a.staleMembers(list, now)
		fresh, needed := len(list)-len(missing), membership.Majority(len(list))
		if fresh >= needed {
			continue
		}
		name := "list"
		if i > 0 {
			name = "previous list"
		}
		lists = append(lists, fmt.Sprintf("%s of version %d: %d of %d answer, %d needed, no answer from %s",
			name, a.membersRecord.Version(), fresh, len(list), needed, strings.Join(missing, " ")))
	}
	return "fewer than a majority of cores answer (" + strings.Join(lists, "; ") + ")"
}

// staleMembers returns the names of the members of a list whose last answer is too old to count. The caller holds a.mu.
func (a *Agent) staleMembers(list []config.Member, now time.Time) (names []string) {
	for _, m := range list {
		if now.Sub(a.freshAsOf(m)) >= a.options.FreshLimit {
			names = append(names, m.Name)
		}
	}
	return names
}

// describeUndecided says which version of a register is in doubt, and which members have it. The caller holds a.mu.
func (a *Agent) describeUndecided(key string, revision register.Revision) string {
	var having []string
	for _, m := range a.members {
		if core := a.cores[m.Address]; core != nil {
			if has, _ := core.Revisions(key); has == revision {
				having = append(having, m.Name)
			}
		}
	}
	return fmt.Sprintf("a change of %s is undecided (version %d of epoch %d at %d of %d: %s)",
		key, revision.Version, revision.Epoch, len(having), len(a.members), strings.Join(having, " "))
}

// logCurrency logs a change of whether this agent is current. While it is not, it also logs each other reason, at most one in
// reasonLogInterval. The caller holds a.mu.
func (a *Agent) logCurrency(now time.Time, current bool, reason string) {
	changed := current != a.loggedCurrent
	otherReason := !current && reason != a.loggedReason && now.Sub(a.reasonLoggedAt) >= reasonLogInterval
	if !changed && !otherReason {
		return
	}
	a.loggedCurrent, a.loggedReason, a.reasonLoggedAt = current, reason, now
	a.host.Log.Info().Bool("current", current).Str("reason", reason).Msg("currency changed")
}

// diagnosisGauges tell the reasons for which this agent is not current apart. The caller holds a.mu.
func (a *Agent) diagnosisGauges(now time.Time) []daemon.Gauge {
	all := []daemon.Gauge{
		{Name: "agent_members", Value: float64(len(a.members))},
		{Name: "agent_members_version", Value: float64(a.membersRecord.Version())},
		{Name: "agent_members_fresh", Value: float64(len(a.members) - len(a.staleMembers(a.members, now)))},
		{Name: "agent_previous_members", Value: float64(len(a.previousMembers))},
		{Name: "agent_search_asked", Value: float64(a.searchAsked)},
		{Name: "agent_search_answers", Value: float64(a.searchAnswers)},
		{Name: "agent_keys_undecided", Value: float64(len(a.undecided))},
	}
	for key, version := range a.undecided {
		all = append(all, daemon.Gauge{Name: "agent_undecided_ms", Value: float64(now.Sub(version.since).Milliseconds()), Label: [2]string{"key", key}})
	}
	return all
}
