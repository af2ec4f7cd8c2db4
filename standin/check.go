package standin

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Fact is something that the fleet was told and accepted, with the time of the yes.
type Fact struct {
	Kind  string    `json:"kind"` // "revoked", "blueprint", "leaving", "weights", "walled"
	Name  string    `json:"name"` // access key, replica, pool or tenant
	Value string    `json:"value,omitempty"`
	At    time.Time `json:"at"`
}

// Finding is one rule's count.
type Finding struct {
	Rule  int
	Name  string
	Count int
	First string // the first breach
}

// Ledgers are what a run left.
type Ledgers struct {
	Asked []Asked
	Runs  []Run
	Facts []Fact
}

var ruleNames = map[int]string{
	1: "not repeatable, ran twice", 2: "said not run, ran", 3: "not the replica's own whole answer", 4: "stream broken, looks finished",
	5: "revoked key worked after 5 s", 6: "older configuration after 2 s", 7: "leaving replica got work after 3 s", 8: "another tenant's cache behind a wall",
	9: "other weights' cache, or old weights after 20 s", 10: "second tries over a fifth",
}

// allowance is the small number of second tries that is always free.
const allowance = 30

// Check compares the ledgers and counts each rule's breaches.
func Check(l Ledgers) []Finding {
	findings := make([]Finding, 11)
	found := func(rule int, format string, args ...any) {
		f := &findings[rule]
		f.Count++
		if f.First == "" {
			f.First = fmt.Sprintf(format, args...)
		}
	}
	byTag := map[string][]Run{}
	for _, r := range l.Runs {
		byTag[r.Tag] = append(byTag[r.Tag], r)
	}
	walled := map[string]bool{}
	for _, f := range l.Facts {
		if f.Kind == "walled" {
			walled[f.Name] = true
		}
	}
	first, sent := 0, 0
	asked := map[string]Asked{}
	for _, a := range l.Asked {
		asked[a.Tag] = a
		runs := byTag[a.Tag]
		ran := 0
		sums := map[string]bool{}
		for _, r := range runs {
			if r.HasRun {
				ran++
				if r.IsWhole {
					sums[r.Sum] = true
				}
			}
		}
		if len(runs) > 0 {
			first++
			sent += len(runs)
		}
		if ran > 1 && !a.IsRepeatable {
			found(1, "%s ran %d times", a.Tag, ran)
		}
		if a.Ran == "no" && ran > 0 {
			found(2, "%s code %d", a.Tag, a.Code)
		}
		if a.Status == 200 && a.IsEnded {
			if !sums[a.Sum] {
				rule := 3
				if len(sums) == 0 && a.Kind != "web" {
					rule = 4
				}
				found(rule, "%s sum %s, replicas %v", a.Tag, a.Sum, sums)
			}
		}
		for _, f := range l.Facts {
			if f.Kind == "blueprint" && a.Blueprint > 0 && a.Blueprint < number(f.Value) && a.At.Sub(f.At) > 2*time.Second {
				found(6, "%s used %d, %s was accepted %v before", a.Tag, a.Blueprint, f.Value, a.At.Sub(f.At))
			}
		}
	}
	for _, r := range l.Runs {
		if !r.HasRun {
			continue
		}
		for _, f := range l.Facts {
			late := r.At.Sub(f.At)
			switch {
			case f.Kind == "revoked" && asked[r.Tag].Access == f.Name && late > 5*time.Second:
				found(5, "%s ran %v after", r.Tag, late)
			case f.Kind == "leaving" && r.Replica == f.Name && late > 3*time.Second:
				found(7, "%s ran on %s %v after", r.Tag, r.Replica, late)
			case f.Kind == "weights" && strings.HasPrefix(r.Replica, f.Name) && late > 20*time.Second && isOlder(l.Facts, f, r.Weights):
				found(9, "%s on %s %v after %s", r.Tag, r.Weights, late, f.Value)
			}
		}
		if walled[r.Tenant] && r.Foreign > 0 {
			found(8, "%s of %s read %d blocks of another", r.Tag, r.Tenant, r.Foreign)
		}
		if r.Outdated > 0 {
			found(9, "%s read %d blocks of other weights", r.Tag, r.Outdated)
		}
	}
	if over := sent - first - first/5 - allowance; over > 0 {
		findings[10].Count, findings[10].First = over, fmt.Sprintf("%d sent for %d requests", sent, first)
	}
	for rule := range findings {
		findings[rule].Rule, findings[rule].Name = rule, ruleNames[rule]
	}
	return findings[1:]
}

// isOlder says whether weights were accepted for the pool before the fact's.
func isOlder(facts []Fact, f Fact, weights string) bool {
	for _, other := range facts {
		if other.Kind == "weights" && other.Name == f.Name && other.Value == weights && !other.At.Before(f.At) {
			return false
		}
	}
	return weights != f.Value
}

func number(text string) uint64 {
	var n uint64
	_, _ = fmt.Sscan(text, &n)
	return n
}

// Summary counts what callers met.
func Summary(asked []Asked) string {
	counts := map[string]int{}
	var firsts []int64
	for _, a := range asked {
		switch {
		case a.Status == 200 && a.IsEnded:
			counts["whole"]++
			firsts = append(firsts, a.FirstMs)
		case a.Code > 0:
			counts[fmt.Sprintf("bounced %d", a.Code)]++
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
