package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/router"
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

var adapterKinds = []fake.RequestKind{{Name: "closures", Prefix: 512, Own: 128, Chunks: 5, Weight: 35}, {Name: "huts", Prefix: 4096, Own: 256, Chunks: 15, Weight: 30},
	{Name: "notes", Prefix: 512, Own: 128, Chunks: 25, Weight: 25}, {Name: "light", Prefix: 512, Own: 128, Chunks: 5, Weight: 10}}

var adapterCallers = []fake.Client{{Tenant: "a", Access: "a-key", Weight: 2}, {Tenant: "b", Access: "b-key", Weight: 1}}

func adapterOptions(seed uint64) FleetOptions {
	o := options(seed)
	o.Config = adapterPlan
	return o
}

// retired gives the rows about retirements from the first core that answers soon, by kind and name.
func (f *Fleet) retired() map[string]map[string]any {
	for _, core := range f.cores() {
		if f.Net.isLost(CoreIP(core)) {
			continue // it would answer late, or what it knew
		}
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

// watchRoutes notes in the fact log where each adapter's route leads, whenever that was seen to change.
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
						f.FactLog.Add(fake.Fact{Kind: fake.Base, Name: name, Value: base})
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
func (f *Fleet) retirement(o controlplane.RetirementChange) (a controlplane.Accepted, err error) {
	for _, core := range f.cores() {
		if a, err = f.Order(core, "retirement", o); err == nil || apierror.Of(err).Code.Executed == apierror.NotRun && apierror.Of(err).Code.Number >= 300 && !apierror.Is(err, apierror.NoMajority) {
			return a, err
		}
	}
	return a, err
}

func retire(from, to string) controlplane.RetirementChange {
	return controlplane.RetirementChange{Action: "retire", Old: from, New: to}
}

var undo = controlplane.RetirementChange{Action: "undo"}

// inAdapterBubble runs a fleet with adapters under load while something happens.
func inAdapterBubble(t *testing.T, seed uint64, count int, play func(is *is.I, f *Fleet), judge func(is *is.I, f *Fleet, all []fake.Exchange)) {
	t.Helper()
	inBubble(t, adapterOptions(seed), func(is *is.I, f *Fleet) {
		must(f.merge(notesBuild))
		f.adaptersReady()
		defer f.watchRoutes()()
		var all []fake.Exchange
		var both sync.WaitGroup
		both.Go(func() {
			all = f.record(fake.Load, fake.LoadOptions{Callers: adapterCallers, Count: count, Rate: 25, Seed: seed, Prefix: fmt.Sprintf("s%d", seed), Kinds: adapterKinds})
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
			}, func(is *is.I, f *Fleet, all []fake.Exchange) {
				is.Equal(whole(all), len(all)) // none lost, none rejected
				movedWhole(is, f)
			})
		})
	}
}

// What cannot be done is refused at once, with its code; until the first drop there is a way back.
func TestRetirementsAreCheckedAndUndone(t *testing.T) {
	t.Parallel()
	inBubble(t, adapterOptions(710), func(is *is.I, f *Fleet) {
		f.adaptersReady()
		refused := func(o controlplane.RetirementChange, code apierror.Code) {
			is.Helper()
			_, err := f.retirement(o)
			is.Equal(apierror.Of(err).Code, code)
		}
		refused(retire("ridge-1", "ridge-2"), apierror.NoBuild) // of notes
		refused(retire("ridge-0", "ridge-2"), apierror.NotFound)
		refused(undo, apierror.NotFound)
		_, err := f.merge(`{"adapters":[{"name":"huts","base":"ridge-2"}]}`)
		is.Equal(apierror.Of(err).Code, apierror.Conflict) // a retirement moves it
		_, err = f.merge(`{"adapters":[{"name":"huts","builds":{"ridge-1":"h9"}}]}`)
		is.Equal(apierror.Of(err).Code, apierror.Conflict)
		_, code, _ := f.Ask(0, "c", "", chat("notes"))
		is.Equal(code, "230") // not for this tenant

		must(f.merge(notesBuild))
		defer f.watchRoutes()()
		must(f.retirement(retire("ridge-1", "ridge-2")))
		number := f.retired()["retirement ridge-1"]["number"]
		must(f.retirement(retire("ridge-1", "ridge-2"))) // an order whose answer was lost may be repeated
		is.Equal(f.retired()["retirement ridge-1"]["number"], number)
		refused(retire("ridge-1", "ridge-3"), apierror.Crossed)
		refused(retire("ridge-2", "ridge-3"), apierror.Crossed)
		f.Until(20*time.Second, "all routes have switched", func() bool {
			rows, n := f.retired(), 0
			for _, row := range rows {
				if row["kind"] == "route" && row["base"] == "ridge-2" {
					n++
				}
			}
			return n == 3
		})
		time.Sleep(10 * time.Second)
		is.Equal(f.phase("ridge-1"), "moving") // without live answers nothing is dropped
		is.Equal(f.retired()["adapter huts"]["phase"], "switched")
		for i, kind := range adapterKinds[:3] {
			for range 2 * i { // closures is asked nothing: not every adapter has answered
				status, _, _ := f.Ask(0, "a", "", chat(kind.Name))
				is.Equal(status, 200)
			}
		}
		time.Sleep(5 * time.Second)
		is.Equal(f.phase("ridge-1"), "moving")
		must(f.retirement(undo))
		f.Until(20*time.Second, "nothing is left of the retirement", func() bool {
			rows := f.retired()
			for _, row := range rows {
				if row["kind"] == "replica" && row["bases"] != "ridge-1" {
					return false
				}
			}
			return rows["route huts"]["base"] == "ridge-1" && rows["retirement ridge-1"] == nil
		})
		for _, kind := range adapterKinds[:3] {
			status, _, _ := f.Ask(1, "a", "", chat(kind.Name))
			is.Equal(status, 200)
		}
		must(f.retirement(retire("ridge-1", "ridge-2")))
		f.during(0, 1, 1, func() {
			for f.phase("ridge-1") != "retired" {
				for i, kind := range adapterKinds[:3] {
					f.Ask(i, "a", "", chat(kind.Name))
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		refused(undo, apierror.PastUndo)
		refused(controlplane.RetirementChange{Action: "undo", Old: "ridge-1"}, apierror.PastUndo)
		refused(retire("ridge-2", "ridge-1"), apierror.Crossed) // it is gone
		noBreach(is, f)
	})
}

// A build that answers its trial wrongly stops its adapter there; the old one goes on serving, until another build is declared.
func TestBadBuildStopsThereAndTheOldGoesOn(t *testing.T) {
	t.Parallel()
	inAdapterBubble(t, 720, 900, func(is *is.I, f *Fleet) {
		f.behave(fake.Behaviour{BadBuild: "h2"})
		must(f.retirement(retire("ridge-1", "ridge-2")))
		f.Until(20*time.Second, "it tells", func() bool {
			waits := fmt.Sprint(f.retired()["adapter huts"]["waits_for"])
			return strings.Contains(waits, "another build than h2")
		})
		time.Sleep(5 * time.Second)
		is.Equal(f.phase("ridge-1"), "moving")
		is.Equal(f.retired()["route huts"]["base"], "ridge-1")
		must(f.merge(`{"adapters":[{"name":"huts","builds":{"ridge-2":"h3"}}]}`))
		f.untilPhase(25*time.Second, "ridge-1", "retired")
	}, func(is *is.I, f *Fleet, all []fake.Exchange) {
		is.Equal(whole(all), len(all))
		for _, r := range f.Ledgers.Runs {
			is.True(r.Build != "h2")
		}
		movedWhole(is, f)
	})
}

// holder is the core that has the duty, by its place; -1: nobody.
func (f *Fleet) holder() int {
	for _, row := range f.retired() {
		var n int
		if _, err := fmt.Sscanf(fmt.Sprint(row["holder"]), "core-%d.", &n); err == nil {
			return n - 1
		}
	}
	return -1
}

// The holder is killed, cut off, or frozen past its lease and woken, at each step in turn: the next goes on where it stood.
func TestHolderLostAtEachStep(t *testing.T) {
	t.Parallel()
	lose := []struct {
		how string
		do  func(f *Fleet, core int) (back func())
	}{
		{"killed", func(f *Fleet, core int) func() {
			f.Kill(CoreIP(core))
			return func() { f.StartCore(core) }
		}},
		{"cut off", func(f *Fleet, core int) func() {
			f.Net.PartitionGroups([]string{CoreIP(core)}, f.others(CoreIP(core)), true)
			return func() { f.Net.PartitionGroups([]string{CoreIP(core)}, f.others(CoreIP(core)), false) }
		}},
		{"frozen", func(f *Fleet, core int) func() {
			f.Net.Freeze(CoreIP(core), true)
			return func() { f.Net.Freeze(CoreIP(core), false) }
		}},
	}
	steps := []struct {
		name string
		isAt func(f *Fleet) bool
	}{
		{"base loads", func(f *Fleet) bool { return f.anyReplica("bases", "ridge-1 ridge-2") }},
		{"adapters load", func(f *Fleet) bool { return f.anyReplica("adapters", "@ridge-2") }},
		{"first switched", func(f *Fleet) bool { return f.retired()["route closures"]["base"] == "ridge-2" }},
		{"all live", func(f *Fleet) bool { return f.phase("ridge-1") == "clearing" }},
		{"first drop", func(f *Fleet) bool { return f.phase("ridge-1") == "dropping" }},
	}
	for i, lost := range lose {
		for j, step := range steps {
			t.Run(lost.how+", "+step.name, func(t *testing.T) {
				t.Parallel()
				inAdapterBubble(t, uint64(730+10*i+j), 900, func(is *is.I, f *Fleet) {
					must(f.retirement(retire("ridge-1", "ridge-2")))
					f.Until(20*time.Second, step.name, func() bool { return f.holder() >= 0 && step.isAt(f) })
					first := f.holder()
					back := lost.do(f, first)
					f.Until(15*time.Second, "another has the duty, or it is done", func() bool {
						now := f.holder()
						return now >= 0 && now != first || f.phase("ridge-1") == "retired"
					})
					time.Sleep(time.Second)
					back()
					f.untilPhase(25*time.Second, "ridge-1", "retired")
				}, func(is *is.I, f *Fleet, all []fake.Exchange) {
					is.True(whole(all) >= len(all)*98/100)
					movedWhole(is, f)
				})
			})
		}
	}
}

// others are all machines but one.
func (f *Fleet) others(ip string) (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host := range f.kills {
		if host != ip {
			all = append(all, host)
		}
	}
	return append(all, CallerIP)
}

// isLost says whether a machine is frozen, or cut off from the callers.
func (n *Network) isLost(ip string) bool {
	n.mu.Lock()
	frozen := n.frozen[ip]
	n.mu.Unlock()
	cut, _, _ := n.isPartitioned(CallerIP, ip)
	return frozen || cut
}

func (f *Fleet) anyReplica(column, part string) bool {
	for _, row := range f.retired() {
		if row["kind"] == "replica" && strings.Contains(fmt.Sprint(row[column]), part) {
			return true
		}
	}
	return false
}

// A replica dies while it loads and stays away, one is replaced by an empty one, one comes anew, and one leaves: the move goes on with those
// that there are.
func TestReplicasComeAndGoDuringAMove(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inAdapterBubble(t, 770+seed, 1000, func(is *is.I, f *Fleet) {
				updates := func(i int, state string) {
					must(f.Order(1, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[` + f.replicaUpdate(i, state) + `]}`)}))
				}
				must(f.retirement(retire("ridge-1", "ridge-2")))
				f.Until(10*time.Second, "a base loads", func() bool { return f.anyReplica("bases", "ridge-1 ridge-2") })
				f.Kill(ReplicaIP(0)) // the first in turn
				f.StartReplica(4)
				updates(4, "present")
				f.Until(20*time.Second, "a route has switched", func() bool { return f.retired()["route closures"]["base"] == "ridge-2" })
				f.StartReplica(1) // an empty one in its place
				time.Sleep(time.Duration(seed) * time.Second)
				updates(0, "gone")
				updates(2, "leaving")
				f.untilPhase(30*time.Second, "ridge-1", "retired")
			}, func(is *is.I, f *Fleet, all []fake.Exchange) {
				is.True(whole(all) >= len(all)*97/100)
				is.Equal(f.retired()["replica pool-5"]["bases"], "ridge-2")
				is.Equal(f.retired()["replica pool-2"]["bases"], "ridge-2")
				movedWhole(is, f)
			})
		})
	}
}

// Two operators order at once at different cores: one of crossing retirements stands, and undo and retire leave one state for all.
func TestOperatorsRaceOverARetirement(t *testing.T) {
	t.Parallel()
	inAdapterBubble(t, 780, 900, func(is *is.I, f *Fleet) {
		must(f.merge(`{"adapters":[{"name":"closures","builds":{"ridge-3":"c3"}},{"name":"huts","builds":{"ridge-3":"h3"}},{"name":"notes","builds":{"ridge-3":"n3"}}]}`))
		var both sync.WaitGroup
		errs := make([]error, 2)
		for i, to := range []string{"ridge-2", "ridge-3"} {
			both.Go(func() { _, errs[i] = f.Order(2*i, "retirement", retire("ridge-1", to)) })
		}
		both.Wait()
		is.True((errs[0] == nil) != (errs[1] == nil))
		for _, err := range errs {
			is.True(err == nil || apierror.Is(err, apierror.Crossed))
		}
		time.Sleep(2 * time.Second)
		for i := range 2 { // one takes it back while the other begins it again
			both.Go(func() {
				order := []controlplane.RetirementChange{undo, retire("ridge-1", "ridge-2")}[i]
				for range 5 {
					_, _ = f.Order(1+i, "retirement", order)
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		both.Wait()
		f.Until(20*time.Second, "ridge-1 is retired for ridge-2, or about to be", func() bool {
			row := f.retired()["retirement ridge-1"]
			if row == nil {
				_, _ = f.retirement(retire("ridge-1", "ridge-2"))
			}
			return row["base"] == "ridge-2" && row["phase"] != "undoing"
		})
		f.untilPhase(30*time.Second, "ridge-1", "retired")
	}, func(is *is.I, f *Fleet, all []fake.Exchange) {
		is.Equal(whole(all), len(all))
		movedWhole(is, f)
	})
}

// All daemons are killed at once while routes switch, or while the old base is dropped: what stood on the disks goes on.
func TestAllKilledDuringAMove(t *testing.T) {
	t.Parallel()
	for i, phase := range []string{"switched", "clearing", "dropping"} {
		t.Run(phase, func(t *testing.T) {
			t.Parallel()
			inAdapterBubble(t, uint64(790+i), 1000, func(is *is.I, f *Fleet) {
				must(f.retirement(retire("ridge-1", "ridge-2")))
				f.Until(25*time.Second, phase, func() bool {
					return f.phase("ridge-1") == phase || phase == "switched" && f.retired()["route closures"]["base"] == "ridge-2"
				})
				before := f.retired()["retirement ridge-1"]["number"]
				for core := range 4 {
					f.Kill(CoreIP(core))
				}
				for i := range f.Proxies {
					f.Kill(ProxyIP(i))
				}
				time.Sleep(time.Second)
				for core := range 4 {
					f.StartCore(core)
				}
				for i := range f.Proxies {
					f.StartPair(i)
				}
				f.Until(12*time.Second, "all are ready", f.AreReady)
				f.Until(5*time.Second, "what is on the disks is settled again", func() bool { return f.phase("ridge-1") != "" })
				is.Equal(f.retired()["retirement ridge-1"]["number"], before) // the same one, where it stood
				f.untilPhase(30*time.Second, "ridge-1", "retired")
			}, func(is *is.I, f *Fleet, all []fake.Exchange) {
				is.True(whole(all) >= len(all)*80/100)
				movedWhole(is, f)
			})
		})
	}
}

// Orders under an older lease are refused: by the register, and by the replicas.
func TestLateOrdersOfAnOlderLeaseAreRefused(t *testing.T) {
	t.Parallel()
	inAdapterBubble(t, 800, 200, func(is *is.I, f *Fleet) {
		must(f.retirement(retire("ridge-1", "ridge-2")))
		f.Until(15*time.Second, "the duty is taken up", func() bool { return f.holder() >= 0 })
		late := router.AdapterOrder{Placement: config.Placement{Base: "ridge-1"}, Do: router.DropBase}
		raw := must(json.Marshal(late))
		answer := must(f.Client.Post("http://"+At(ReplicaIP(0))+router.AdapterPath, "application/json", bytes.NewReader(raw)))
		_ = answer.Body.Close()
		is.Equal(answer.StatusCode, http.StatusConflict)
		is.True(strings.Contains(fmt.Sprint(f.retired()["replica pool-1"]["bases"]), "ridge-1"))
		dropped := config.Retirement{Number: 1, Old: "ridge-1", New: "ridge-2", Phase: config.Dropping}
		for version := range uint64(40) { // whatever version it saw
			_, err := f.Order(0, "advance", controlplane.RetirementStep{Old: "ridge-1", Next: &dropped, ExpectedVersion: version, Holder: config.RoleHolder{Holder: "core-9", Lease: 0}})
			is.True(apierror.Is(err, apierror.Superseded))
		}
		is.Equal(f.phase("ridge-1"), "moving")
	}, func(is *is.I, f *Fleet, _ []fake.Exchange) { noBreach(is, f) })
}

// A stream that runs on the old base ends there: its replica refuses the drop until then, the others drop.
func TestLongStreamHoldsBackItsReplicasDrop(t *testing.T) {
	t.Parallel()
	inAdapterBubble(t, 810, 900, func(is *is.I, f *Fleet) {
		var long sync.WaitGroup
		long.Go(func() {
			status, _, text := f.Ask(0, "a", "", strings.Replace(chat("notes"), `"max_tokens":2`, `"max_tokens":6000`, 1)) // 30 s
			is.Equal(status, 200)
			is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
		})
		time.Sleep(500 * time.Millisecond)
		must(f.retirement(retire("ridge-1", "ridge-2")))
		f.untilPhase(25*time.Second, "ridge-1", "dropping")
		onOld := func() (n int) {
			for _, row := range f.retired() {
				if row["kind"] == "replica" && strings.Contains(fmt.Sprint(row["bases"]), "ridge-1") {
					n++
				}
			}
			return n
		}
		f.Until(10*time.Second, "the others have dropped it", func() bool { return onOld() == 1 })
		time.Sleep(2 * time.Second)
		is.Equal(onOld(), 1)
		is.Equal(f.phase("ridge-1"), "dropping")
		long.Wait()
		f.untilPhase(5*time.Second, "ridge-1", "retired")
	}, func(is *is.I, f *Fleet, all []fake.Exchange) {
		is.Equal(whole(all), len(all))
		movedWhole(is, f)
	})
}

// A keyed request that meets replicas which have lost base and adapter was not run: it goes back with its key, and is answered once.
func TestRequestRefusedForALostBaseGoesBackWithItsKey(t *testing.T) {
	t.Parallel()
	inBubble(t, adapterOptions(820), func(is *is.I, f *Fleet) {
		f.adaptersReady()
		for range 50 { // retries are saved up
			f.Ask(0, "a", "", chat("huts"))
		}
		before := len(f.Ledgers.Runs)
		for i := range 4 {
			f.StartReplica(i)
		}
		status, code, text := f.Ask(0, "a", "once", chat("huts"))
		is.Equal(code+text[:min(len(text), 5)], "data:") // no code, and a stream
		is.Equal(status, 200)
		ran, refused := 0, 0
		for _, r := range fake.LastOfEach(f.Ledgers.Runs[before:]) {
			switch {
			case r.HasRun && r.Key == "a:once":
				ran++
			case r.Why == "base_gone" && r.Key == "a:once":
				refused++
			}
		}
		is.Equal(ran, 1)
		is.True(refused > 0)
		status, code, _ = f.Ask(1, "a", "once", chat("huts"))
		is.Equal(status, 409)
		is.Equal(code, "224") // it ran
		noBreach(is, f)
	})
}
