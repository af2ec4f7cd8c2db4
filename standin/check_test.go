package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A zero means something only if each planted breach is counted, by its own rule and no other.
func TestCheckerCountsEachPlantedBreach(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	asked := func(tag string, a Asked) Asked {
		a.Tag, a.Tenant, a.Kind = tag, "a", "light"
		if a.At.IsZero() {
			a.At = at(30)
		}
		return a
	}
	ran := func(tag string, r Run) Run {
		r.Tag, r.Tenant, r.HasRun = tag, "a", true
		if r.At.IsZero() {
			r.At = at(30)
		}
		return r
	}
	good := Asked{Status: 200, IsEnded: true, Sum: "s"}
	var many Ledgers
	for i := range 100 {
		tag := fmt.Sprint(i)
		many.Asked = append(many.Asked, asked(tag, good))
		many.Runs = append(many.Runs, ran(tag, Run{Sum: "s", IsWhole: true}), Run{Tag: tag, Why: "overloaded"})
	}
	planted := []struct {
		rule int
		l    Ledgers
	}{
		{0, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true})}}},
		{1, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true}), ran("x", Run{Sum: "s", IsWhole: true})}}},
		{2, Ledgers{Asked: []Asked{asked("x", Asked{Status: 503, Code: 215, Ran: "no"})}, Runs: []Run{ran("x", Run{})}}},
		{3, Ledgers{Asked: []Asked{asked("x", Asked{Status: 200, IsEnded: true, Sum: "other"})}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true})}}},
		{4, Ledgers{Asked: []Asked{asked("x", Asked{Status: 200, IsEnded: true, Sum: "part"})}, Runs: []Run{ran("x", Run{Sum: "s"})}}},
		{5, Ledgers{Asked: []Asked{asked("x", Asked{Status: 200, IsEnded: true, Sum: "s", Access: "k"})}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true})},
			Facts: []Fact{{Kind: "revoked", Name: "k", At: at(24)}}}},
		{6, Ledgers{Asked: []Asked{asked("x", Asked{Status: 200, IsEnded: true, Sum: "s", Blueprint: 1})}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true})},
			Facts: []Fact{{Kind: "blueprint", Value: "2", At: at(27)}}}},
		{7, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true, Replica: "r-1"})},
			Facts: []Fact{{Kind: "leaving", Name: "r-1", At: at(26)}}}},
		{8, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true, Foreign: 2})},
			Facts: []Fact{{Kind: "walled", Name: "a", At: at(0)}}}},
		{9, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true, Outdated: 1})}}},
		{9, Ledgers{Asked: []Asked{asked("x", good)}, Runs: []Run{ran("x", Run{Sum: "s", IsWhole: true, Replica: "r-1", Weights: "w1"})},
			Facts: []Fact{{Kind: "weights", Name: "r", Value: "w2", At: at(9)}}}},
		{10, many},
	}
	for _, p := range planted {
		for _, finding := range Check(p.l) {
			if (finding.Count > 0) != (finding.Rule == p.rule) {
				t.Errorf("planted a breach of rule %d: rule %d counts %d (%s)", p.rule, finding.Rule, finding.Count, finding.First)
			}
		}
	}
	is.New(t).Equal(len(planted), 12)
}
