package fake

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Finding is the number of breaches of one rule, with an example.
type Finding struct {
	Rule  int
	Name  string
	Count int
	First string // the first breach
	Seen  int    // number of cases to which the rule applied; if 0, a Count of 0 proves nothing
}

// Ledgers are the records that a run has left behind: what callers received, what replicas ran, and what operators and platform were told.
type Ledgers struct {
	Asked []Exchange
	Runs  []Run
	Facts []Fact
	Rest  []State // configuration of each core and proxy once the fleet is at rest
}

// The rules that must never be broken, by their numbers in reports.
const (
	ruleExecutedTwice = iota + 1
	ruleNotExecutedWasExecuted
	ruleForeignAnswer
	ruleBrokenStream
	ruleRevokedKey
	ruleOldConfiguration
	ruleDrainingReplica
	ruleForeignCache
	ruleOldWeights
	ruleRetries
	ruleLostConfiguration
	ruleServiceBack
	ruleEarlyDrop
	ruleOldBase
)

// ruleNames are the rules' titles in reports.
var ruleNames = map[int]string{
	ruleExecutedTwice:          "not repeatable, ran twice",
	ruleNotExecutedWasExecuted: "said not run, ran",
	ruleForeignAnswer:          "not the replica's own whole answer",
	ruleBrokenStream:           "stream broken, or looks finished",
	ruleRevokedKey:             "revoked key worked after 5 s",
	ruleOldConfiguration:       "older configuration after 2 s",
	ruleDrainingReplica:        "leaving replica got work after 3 s",
	ruleForeignCache:           "another tenant's cache and a wall",
	ruleOldWeights:             "other weights' cache, or old weights after 20 s",
	ruleRetries:                "retries over a fifth",
	ruleLostConfiguration:      "an accepted configuration is lost",
	ruleServiceBack:            "service not back after 12 s",
	ruleEarlyDrop:              "a base dropped before its adapters answered on the new one",
	ruleOldBase:                "answered from the old base after 3 s",
}

// Tolerances of the checks.
const (
	fleetRetryAllowance = 30 // retries of the whole fleet that are always allowed
	proxyRetryAllowance = 10 // the same for one proxy in a retryWindow
	retryWindow         = 10 * time.Second
	propagation         = 3 * time.Second  // a wall applies to requests that run this long after it was accepted
	revokeLimit         = 5 * time.Second  // rule 5: after it, a revoked key is refused
	configurationLimit  = 2 * time.Second  // rule 6: after it, the newest configuration is in use
	drainingLimit       = 3 * time.Second  // rule 7: after it, a leaving replica receives nothing
	weightsLimit        = 20 * time.Second // rule 9: after it, no request starts on old weights
	returnLimit         = 12 * time.Second // rule 12: by then, every proxy answers
	routeLimit          = 3 * time.Second  // rule 14: after it, no answer comes from the old base
	doubtful            = 5 * time.Second  // the fleet may apply a change this long before its operator learns of it
)

// check is one comparison of ledgers.
type check struct {
	Ledgers
	findings []Finding
	byTag    map[string][]Run
	asked    map[string]Exchange
	drops    []Run // base models dropped by replicas
}

// Check compares the ledgers and returns the number of breaches of each rule.
func Check(l Ledgers) []Finding {
	c := &check{Ledgers: l, findings: make([]Finding, len(ruleNames)+1), byTag: map[string][]Run{}, asked: map[string]Exchange{}}
	c.Runs, c.drops = separateDrops(LastOfEach(l.Runs))
	c.Facts = slices.Clone(l.Facts)
	sort.SliceStable(c.Facts, func(i, j int) bool { return c.Facts[i].At.Before(c.Facts[j].At) })
	for _, r := range c.Runs {
		c.byTag[r.Tag] = append(c.byTag[r.Tag], r)
	}
	for _, a := range c.Asked {
		c.asked[a.Tag] = a
		c.request(a)
	}
	for _, r := range c.Runs {
		if r.HasRun {
			c.run(r)
		}
	}
	c.versions()
	c.retries()
	c.configuration()
	c.returns()
	c.retirements()
	for rule := range c.findings {
		c.findings[rule].Rule, c.findings[rule].Name = rule, ruleNames[rule]
	}
	return c.findings[1:]
}

// LastOfEach keeps the last line of each run. A replica writes one line when a run starts and another when it ends.
func LastOfEach(lines []Run) (runs []Run) {
	at := map[string]int{}
	for _, r := range lines {
		place := r.Replica + " " + r.Salt
		if i, ok := at[place]; ok && r.Salt != "" {
			runs[i] = r
			continue
		}
		at[place] = len(runs)
		runs = append(runs, r)
	}
	return runs
}

// found records one breach of a rule.
func (c *check) found(rule int, format string, args ...any) {
	f := &c.findings[rule]
	f.Count++
	if f.First == "" {
		f.First = fmt.Sprintf(format, args...)
	}
}

// seen counts one case to which a rule applied.
func (c *check) seen(rule int) { c.findings[rule].Seen++ }

// latest returns the last fact of a kind and name that was accepted at or before a moment.
func (c *check) latest(kind, name string, at time.Time) (last Fact, ok bool) {
	for _, f := range c.Facts {
		if f.Kind == kind && f.Name == name && !f.At.After(at) {
			last, ok = f, true
		}
	}
	return last, ok
}

// Summary counts the results that callers received.
func Summary(asked []Exchange) string {
	counts := map[string]int{}
	var firsts []int64
	for _, a := range asked {
		switch {
		case a.Status == 200 && a.Ended:
			counts["whole"]++
			firsts = append(firsts, a.FirstMs)
		case a.Code > 0:
			counts[fmt.Sprintf("rejected %d", a.Code)]++
		case a.Status == 0:
			counts["no answer"]++
		default:
			counts["broken off"]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d", len(asked))
	for _, name := range names {
		fmt.Fprintf(&b, "; %s %d", name, counts[name])
	}
	if len(firsts) > 0 {
		sort.Slice(firsts, func(i, j int) bool { return firsts[i] < firsts[j] })
		fmt.Fprintf(&b, "; first piece p50 %d ms, p99 %d ms", firsts[len(firsts)/2], firsts[len(firsts)*99/100])
	}
	return b.String()
}
