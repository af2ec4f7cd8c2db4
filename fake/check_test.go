package fake

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/register"
)

// plant is a set of ledgers with a breach of one rule, or of none.
type plant struct {
	rule int
	what string
	l    Ledgers
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// served gives a request that was answered whole by a run at a moment, and the run.
func served(tag string, seconds float64) (Exchange, Run) {
	r := Run{Tag: tag, Tenant: "a", ID: "id-" + tag, Salt: "salt-" + tag, Replica: "r-1", HasRun: true, Complete: true, Pieces: 3, At: at(seconds)}
	a := Exchange{Tag: tag, Tenant: "a", Kind: "light", ID: r.ID, At: at(seconds), AllMs: 10, Status: 200, Ended: true, Proxy: "p"}
	return receives(a, content(r)), r
}

func content(r Run) (all []byte) { return slices.Concat(Stream(r.ID, r.Salt, r.Pieces)...) }

func receives(a Exchange, body []byte) Exchange {
	a.Sum, a.Length = Sum(body), len(body)
	return a
}

func one(change func(a *Exchange, r *Run), facts ...Fact) Ledgers {
	a, r := served("x", 30)
	change(&a, &r)
	return Ledgers{Asked: []Exchange{a}, Runs: []Run{r}, Facts: facts}
}

func two(change func(a *Exchange, r, again *Run)) Ledgers {
	a, r := served("x", 30)
	again := r
	again.Salt = "again"
	change(&a, &r, &again)
	return Ledgers{Asked: []Exchange{a}, Runs: []Run{r, again}}
}

func weightsAt(seconds float64, version string) Fact {
	return Fact{Kind: Weights, Name: "r", Value: version, At: at(seconds)}
}

func wallAt(seconds float64, tenant, value string) Fact {
	return Fact{Kind: Isolation, Name: tenant, Value: value, At: at(seconds)}
}

func took(version uint64, key, field, value string, tried bool) Fact {
	f := Fact{Kind: Took, Name: key, Version: version, At: at(float64(version)), Tried: tried, Fields: register.Fields{field: json.RawMessage(value)}}
	if value == "" {
		f.Fields[field] = nil
	}
	return f
}

func holds(where string, version uint64, value string) State {
	return State{where, map[string]Kept{config.Key: {version, register.Fields{"tenant/a": json.RawMessage(value)}}}}
}

func baseAt(seconds float64, base string) Fact {
	return Fact{Kind: Base, Name: "closures", Value: base, At: at(seconds)}
}

func retireAt(seconds float64, from, to string) Fact {
	return Fact{Kind: Retire, Name: from, Value: to, At: at(seconds)}
}

func on(base string) func(*Exchange, *Run) {
	return func(_ *Exchange, r *Run) { r.Placement = config.Placement{Adapter: "closures", Base: base, Build: "x"} }
}

// droppedAt adds a drop of the base that the first run was on, or of the new one where a retirement is among the facts.
func droppedAt(when time.Time, l Ledgers) Ledgers {
	base := l.Runs[0].Base
	for _, f := range l.Facts {
		if f.Kind == Retire {
			base = f.Value
		}
	}
	l.Runs = append(l.Runs, Run{Replica: "r-1", Dropped: base, At: when})
	return l
}

// moved has two adapters answer on b1, then on the given bases, there in the given pool; then b1 is dropped.
func moved(switched, dropped float64, closures, huts string, pool ...string) (l Ledgers) {
	l.Facts = []Fact{retireAt(1, "b1", "b2")}
	for adapter, now := range map[string]string{"closures": closures, "huts": huts} {
		l.Facts = append(l.Facts, Fact{Kind: Base, Name: adapter, Value: "b1", At: at(0)})
		if now == "b2" {
			l.Facts = append(l.Facts, Fact{Kind: Base, Name: adapter, Value: "b2", At: at(switched)})
		}
		for n, base := range []string{"b1", now} {
			a, r := served(adapter+base+fmt.Sprint(n), 6+20*float64(n))
			r.Placement = config.Placement{Adapter: adapter, Base: base, Build: "x"}
			if len(pool) > 0 && n == 1 {
				r.Replica = pool[0] + "-1"
			}
			l.Asked, l.Runs = append(l.Asked, a), append(l.Runs, r)
		}
	}
	l.Runs = append(l.Runs, Run{Replica: "r-1", Dropped: "b1", At: at(dropped)})
	return l
}

func plants() []plant {
	nothing := func(*Exchange, *Run) {}
	onWeights := func(version string) func(*Exchange, *Run) { return func(_ *Exchange, r *Run) { r.Weights = version } }
	met := func(tenant string, seconds float64) func(*Exchange, *Run) {
		return func(_ *Exchange, r *Run) { r.Met = map[string]time.Time{tenant: at(seconds)} }
	}
	many := func(proxies, each, refused int) (l Ledgers) {
		for i := range proxies * each {
			a, r := served(fmt.Sprint(i), 30+float64(i)/100)
			a.Proxy = fmt.Sprint(i % proxies)
			l.Asked, l.Runs = append(l.Asked, a), append(l.Runs, r)
			if i/proxies < refused {
				l.Runs = append(l.Runs, Run{Tag: a.Tag, Why: "overloaded", At: r.At})
			}
		}
		return l
	}
	older, newer := func() (Exchange, Run) { return served("o", 31) }, func() (Exchange, Run) { return served("n", 30) }
	back := func(firstMs int64) Ledgers {
		a, r := older()
		b, q := newer()
		a.Config, b.Config, b.FirstMs = 4, 5, firstMs
		return Ledgers{Asked: []Exchange{a, b}, Runs: []Run{r, q}}
	}
	return []plant{
		{0, "an ordinary answer", one(nothing)},
		{0, "a stream that broke off, with its true beginning", one(func(a *Exchange, r *Run) { *a = receives(*a, content(*r)[:100]); a.Ended = false })},
		{0, "a replica's own error, whole", one(func(a *Exchange, r *Run) { a.Status, r.Sum = 500, "e"; a.Sum = "e" })},
		{1, "two runs", two(func(_ *Exchange, _, again *Run) {})},
		{1, "two runs, the first without an answer", two(func(_ *Exchange, _, again *Run) { again.ID = "earlier" })},
		{2, "rejected as not run, and ran", one(func(a *Exchange, _ *Run) { a.Status, a.Code, a.Ran = 503, 215, "no" })},
		{3, "an answer of another request", one(func(a *Exchange, _ *Run) { a.ID = "another" })},
		{3, "a page that is not the replica's", one(func(a *Exchange, r *Run) { a.Kind, r.Sum = "web", "other" })},
		{3, "an error that no replica answered", one(func(a *Exchange, r *Run) { a.Status, r.HasRun = 500, false })},
		{4, "finished early", one(func(a *Exchange, r *Run) { *a = receives(*a, content(*r)[:100]) })},
		{4, "finished with nothing", one(func(a *Exchange, r *Run) { *a = receives(*a, nil) })},
		{4, "a piece skipped, then broken off", one(func(a *Exchange, r *Run) {
			pieces := Stream(r.ID, r.Salt, r.Pieces)
			*a = receives(*a, slices.Concat(pieces[0], pieces[2]))
			a.Ended = false
		})},
		{4, "a piece twice, then broken off", one(func(a *Exchange, r *Run) {
			pieces := Stream(r.ID, r.Salt, r.Pieces)
			*a = receives(*a, slices.Concat(pieces[0], pieces[0]))
			a.Ended = false
		})},
		{4, "two runs spliced", two(func(a *Exchange, r, again *Run) {
			a.Idempotent = true
			*a = receives(*a, slices.Concat(Stream(r.ID, r.Salt, 3)[0], content(*again)[len(Stream(r.ID, r.Salt, 3)[0]):]))
		})},
		{5, "a revoked key", one(func(a *Exchange, _ *Run) { a.Access = "k" }, Fact{Kind: Revoked, Name: config.HashKey("k"), At: at(24)})},
		{0, "a key revoked a moment ago", one(func(a *Exchange, _ *Run) { a.Access = "k" }, Fact{Kind: Revoked, Name: config.HashKey("k"), At: at(26)})},
		{6, "an old version", one(func(a *Exchange, _ *Run) { a.Config = 1 }, took(2, config.Key, "hold", `{}`, false))},
		{6, "an old version, though received before, sent after", one(func(a *Exchange, _ *Run) { a.Config, a.At, a.WaitedMs = 28, at(28), 3500 }, took(29, config.Key, "hold", `{}`, false))},
		{6, "a version that goes back at a proxy", back(900)},
		{0, "two versions in requests that may have been sent in either order", back(1100)},
		{7, "a leaving replica", one(nothing, Fact{Kind: Draining, Name: "r-1", At: at(26)})},
		{0, "a replica that is back", one(nothing, Fact{Kind: Draining, Name: "r-1", At: at(20)}, Fact{Kind: Present, Name: "r-1", At: at(25)})},
		{8, "a walled tenant reads another's", one(met("b", 5), wallAt(0, "a", "up"))},
		{8, "another reads a walled tenant's", one(met("b", 5), wallAt(0, "b", "up"))},
		{8, "… though its wall is down now", one(met("b", 5), wallAt(0, "b", "up"), wallAt(20, "b", "down"))},
		{8, "another reads what was made before the wall was put up", one(met("b", 5), wallAt(20, "b", "up"))},
		{8, "the wall was put up before", one(met("b", 5), wallAt(20, "a", "up"))},
		{8, "the name was given anew", one(met("a", 5), wallAt(0, "a", "up"), wallAt(10, "a", "removed"), wallAt(20, "a", "up"))},
		{0, "the wall is down", one(met("b", 25), wallAt(0, "a", "up"), wallAt(20, "a", "down"))},
		{9, "other weights' cache", one(func(_ *Exchange, r *Run) { r.Outdated = 1 })},
		{9, "old weights", one(onWeights("w1"), weightsAt(0, "w1"), weightsAt(9, "w2"))},
		{9, "w1 → w2 → w1, where a later acceptance does not hide it", one(onWeights("w1"), weightsAt(0, "w1"), weightsAt(5, "w2"), weightsAt(60, "w1"))},
		{0, "w1 → w2 → w1 in time", one(onWeights("w1"), weightsAt(0, "w1"), weightsAt(9, "w2"), weightsAt(20, "w1"))},
		{0, "weights that were asked for without an answer", one(onWeights("w2"), weightsAt(0, "w1"), Fact{Kind: Weights, Name: "r", Value: "w2", At: at(8), Tried: true})},
		{10, "over the whole", many(8, 40, 12)},
		{10, "at one proxy", many(1, 20, 15)},
		{0, "within the allowance", many(2, 20, 10)},
		{11, "the last change is lost", Ledgers{Facts: []Fact{took(1, config.Key, "tenant/a", `{"weight":1}`, false), took(2, config.Key, "tenant/a", `{"weight":2}`, false)},
			Rest: []State{holds("core-1", 1, `{"weight":1}`)}}},
		{11, "a change before the last is lost", Ledgers{Facts: []Fact{took(1, config.Key, "tenant/a", `{"weight":3}`, false), took(2, config.Key, "tenant/a", `{"backlog":2}`, false)},
			Rest: []State{holds("core-1", 2, `{"weight":1,"backlog":2}`)}}},
		{11, "a removed tenant is there", Ledgers{Facts: []Fact{took(1, config.Key, "tenant/a", "", false)}, Rest: []State{holds("core-1", 2, `{"weight":1}`)}}},
		{11, "two daemons differ", Ledgers{Rest: []State{holds("core-1", 2, `{"weight":1}`), holds("proxy-1", 2, `{"weight":2}`)}}},
		{0, "an undecided change stands", Ledgers{Facts: []Fact{took(1, config.Key, "tenant/a", `{"weight":3}`, false), took(0, config.Key, "tenant/a", `{"weight":4}`, true)},
			Rest: []State{holds("core-1", 2, `{"weight":4}`)}}},
		{12, "no whole answer in time", one(nothing, Fact{Kind: Returned, At: at(10)})},
		{12, "none after the return", one(nothing, Fact{Kind: Returned, At: at(40)})},
		{13, "a base dropped before one of two adapters answered", moved(8, 40, "b1", "b2")},
		{13, "a base dropped that nobody retired", droppedAt(at(41), one(on("b1"), baseAt(0, "b1")))},
		{13, "… after answers in another pool alone", moved(8, 40, "b2", "b2", "other")},
		{0, "a base dropped after both have answered", moved(8, 40, "b2", "b2")},
		{0, "the new base dropped after an undo", droppedAt(at(41), one(on("b1"), baseAt(0, "b1"), retireAt(5, "b1", "b2"), baseAt(8, "b2"), baseAt(20, "b1"),
			Fact{Kind: Undone, Name: "b1", At: at(20)}))},
		{14, "the old base after its adapter was moved", one(on("b1"), baseAt(0, "b1"), baseAt(26, "b2"))},
		{14, "the new base after an adapter was moved there and back", one(on("b2"), baseAt(0, "b1"), baseAt(10, "b2"), baseAt(20, "b1"))},
		{0, "the old base a moment after", one(on("b1"), baseAt(0, "b1"), baseAt(28, "b2"))},
		{0, "the new base, a moment before the yes was heard", one(on("b2"), baseAt(0, "b1"), baseAt(31, "b2"))},
		{0, "back in time", one(nothing, Fact{Kind: Returned, At: at(19)})},
	}
}

// A zero means something only if each planted breach is counted, by its own rule and no other.
func TestCheckerCountsEachPlantedBreach(t *testing.T) {
	isPlanted := map[int]bool{}
	for _, p := range plants() {
		isPlanted[p.rule] = true
		for _, finding := range Check(p.l) {
			if (finding.Count > 0) != (finding.Rule == p.rule) {
				t.Errorf("planted for rule %d (%s): rule %d counts %d (%s)", p.rule, p.what, finding.Rule, finding.Count, finding.First)
			}
			if finding.Rule == p.rule && finding.Seen == 0 && p.rule != 9 {
				t.Errorf("rule %d (%s) counts a breach and has seen nothing", p.rule, p.what)
			}
		}
	}
	is.New(t).Equal(len(isPlanted), 15) // none, each of the twelve, and the two of retirements
}
