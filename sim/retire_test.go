package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/daemon"
	"asterridge/fail"
	"asterridge/standin"
)

// adapterPlan has three adapters on ridge-1, two of which have a build for ridge-2 as well.
const adapterPlan = `{"tenants":[{"name":"a","backlog":500},{"name":"b","walled":true},{"name":"c"}],
 "pools":[{"name":"pool","weights":"w1"},{"name":"web","kind":"web"}],
 "adapters":[{"name":"closures","base":"ridge-1","builds":{"ridge-1":"c1","ridge-2":"c2"}},
  {"name":"huts","base":"ridge-1","builds":{"ridge-1":"h1","ridge-2":"h2"}},
  {"name":"notes","base":"ridge-1","builds":{"ridge-1":"n1"},"tenants":["a","b"]}],
 "paths":[{"name":"pages","address":"/web/","pool":"web"},
  {"name":"light","address":"/v1/chat/completions","model":"light","pool":"pool"},
  {"name":"closures","address":"/v1/chat/completions","model":"closures","pool":"pool","adapter":"closures"},
  {"name":"huts","address":"/v1/chat/completions","model":"huts","pool":"pool","adapter":"huts"},
  {"name":"notes","address":"/v1/chat/completions","model":"notes","pool":"pool","adapter":"notes"}]}`

const notesBuild = `{"adapters":[{"name":"notes","builds":{"ridge-2":"n2"}}]}`

var adapterKinds = []standin.Kind{{Name: "closures", Prefix: 512, Own: 128, Pieces: 5, Weight: 35}, {Name: "huts", Prefix: 4096, Own: 256, Pieces: 15, Weight: 30},
	{Name: "notes", Prefix: 512, Own: 128, Pieces: 25, Weight: 25}, {Name: "light", Prefix: 512, Own: 128, Pieces: 5, Weight: 10}}

var adapterCallers = []standin.Caller{{Tenant: "a", Access: "a-key", Weight: 2}, {Tenant: "b", Access: "b-key", Weight: 1}}

func adapterOptions(seed uint64) FleetOptions {
	o := options(seed)
	o.Blueprint = adapterPlan
	return o
}

// retired gives the rows about retirements from the first core that answers, by kind and name.
func (f *Fleet) retired() map[string]map[string]any {
	for _, core := range f.cores() {
		if a, err := f.Query(core, "retirement"); err == nil && len(a.Rows) > 0 {
			all := map[string]map[string]any{}
			for _, row := range a.Rows {
				all[fmt.Sprint(row["kind"], " ", row["name"])] = row
			}
			return all
		}
	}
	return nil
}

func (f *Fleet) phase(old string) string {
	phase, _ := f.retired()["retirement "+old]["phase"].(string)
	return phase
}

// watchRoutes notes in the diary where each adapter's route leads, whenever that was seen to change.
func (f *Fleet) watchRoutes() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		last := map[string]string{}
		for {
			for _, row := range f.retired() {
				name, base := fmt.Sprint(row["name"]), fmt.Sprint(row["base"])
				if row["kind"] == "route" && last[name] != base {
					if last[name] != "" {
						f.Diary.Add(standin.Fact{Kind: standin.Base, Name: name, Value: base})
					}
					last[name] = base
				}
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-ended }
}

// adaptersReady waits until every replica has all adapters.
func (f *Fleet) adaptersReady() {
	f.Until(30*time.Second, "every replica has all adapters", func() bool {
		n := 0
		for _, row := range f.retired() {
			if row["kind"] == "replica" && row["waits_for"] == "" {
				n++
			}
		}
		return n == f.Options.Replicas
	})
	time.Sleep(time.Second) // the proxies have heard of it
}

// order has a change taken by whichever core takes it.
func (f *Fleet) retirement(o daemon.RetirementOrder) (a daemon.Accepted, err error) {
	for _, core := range f.cores() {
		if a, err = f.Order(core, "retirement", o); err == nil || fail.Of(err).Code.Ran == fail.NotRun && fail.Of(err).Code.Number >= 300 && !fail.Is(err, fail.NoMajority) {
			return a, err
		}
	}
	return a, err
}

func retire(from, to string) daemon.RetirementOrder {
	return daemon.RetirementOrder{Do: "retire", Old: from, New: to}
}

var undo = daemon.RetirementOrder{Do: "undo"}

// inAdapterBubble runs a fleet with adapters under load while something happens.
func inAdapterBubble(t *testing.T, seed uint64, count int, play func(is *is.I, f *Fleet), judge func(is *is.I, f *Fleet, all []standin.Asked)) {
	t.Helper()
	inBubble(t, adapterOptions(seed), func(is *is.I, f *Fleet) {
		must(f.merge(notesBuild))
		f.adaptersReady()
		defer f.watchRoutes()()
		var all []standin.Asked
		var both sync.WaitGroup
		both.Go(func() {
			all = f.record(standin.Load, standin.LoadOptions{Callers: adapterCallers, Count: count, Rate: 25, Seed: seed, Prefix: fmt.Sprintf("s%d", seed), Kinds: adapterKinds})
		})
		time.Sleep(2 * time.Second)
		play(is, f)
		both.Wait()
		judge(is, f, all)
	})
}

// until waits for the retirement's phase, and says where it stands if it does not come.
func (f *Fleet) untilPhase(limit time.Duration, old, phase string) {
	defer func() {
		if failure := recover(); failure != nil {
			raw, _ := json.MarshalIndent(f.retired(), "", " ")
			panic(fmt.Sprintf("%v: %s", failure, raw))
		}
	}()
	f.Until(limit, old+" is "+phase, func() bool { return f.phase(old) == phase })
}

// movedWhole checks that each adapter was answered on both bases, and that nothing broke.
func movedWhole(is *is.I, f *Fleet) {
	is.Helper()
	bases := map[string][]string{}
	for _, r := range f.Ledgers.Runs {
		if r.HasRun && r.Adapter != "" && !slices.Contains(bases[r.Adapter], r.Base) {
			bases[r.Adapter] = append(bases[r.Adapter], r.Base)
		}
	}
	for _, adapter := range []string{"closures", "huts", "notes"} {
		slices.Sort(bases[adapter])
		is.Equal(bases[adapter], []string{"ridge-1", "ridge-2"})
	}
	for name, row := range f.retired() {
		if row["kind"] == "replica" && row["bases"] != "ridge-2" {
			is.Equal(name+" has "+fmt.Sprint(row["bases"]), "ridge-2 alone")
		}
	}
	noBreach(is, f, 13, 14)
}

func TestModelIsRetiredUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inAdapterBubble(t, 700+seed, 800, func(is *is.I, f *Fleet) {
				is.True(must(f.retirement(retire("ridge-1", "ridge-2"))).Version > 0)
				f.untilPhase(25*time.Second, "ridge-1", "retired")
			}, func(is *is.I, f *Fleet, all []standin.Asked) {
				is.Equal(whole(all), len(all)) // none lost, none bounced
				movedWhole(is, f)
			})
		})
	}
}
