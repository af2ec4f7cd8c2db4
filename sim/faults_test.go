package sim

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/rendezvous"
	"asterridge/router"
)

// merge has a partial configuration accepted by whichever core takes it.
func (f *Fleet) merge(text string) (controlplane.Accepted, error) {
	var a controlplane.Accepted
	var err error
	for _, core := range f.cores() {
		if a, err = f.Order(core, config.Key, controlplane.ConfigChange{Text: json.RawMessage(text), Partial: true}); err == nil {
			return a, nil
		}
	}
	return a, err
}

// during runs callers while something happens, and gives what they met.
func (f *Fleet) during(count int, rate float64, seed uint64, play func()) (all []fake.Exchange) {
	var both sync.WaitGroup
	both.Go(func() { all = f.Load(count, rate, callers, seed) })
	play()
	both.Wait()
	return all
}

func TestWeightsRollUnderLoad(t *testing.T) {
	t.Parallel()
	inBubble(t, options(10), func(is *is.I, f *Fleet) {
		all := f.during(800, 25, 10, func() {
			time.Sleep(5 * time.Second)
			must(f.merge(`{"pools":[{"name":"pool","weights":"w2"}]}`))
		})
		is.True(whole(all) >= len(all)*99/100)
		onNew := map[string]bool{}
		for _, r := range f.Ledgers.Runs {
			if r.HasRun && r.Weights == "w2" {
				onNew[r.Replica] = true
			}
		}
		is.Equal(len(onNew), 4)
		noBreach(is, f, 9)
	})
}

func TestRevokedKeyEndsForConnectedClientsAndWaitingWork(t *testing.T) {
	t.Parallel()
	inBubble(t, options(11), func(is *is.I, f *Fleet) {
		all := f.during(600, 30, 11, func() {
			time.Sleep(5 * time.Second)
			for _, r := range f.Replicas { // work of b waits behind a hold when its key goes
				r.Behave(fake.Behaviour{Tenant: "b", Refusing: true, RetryAfter: "4"})
			}
			time.Sleep(time.Second)
			must(f.Order(2, "keys", controlplane.AccessKeyChange{Tenant: "b", Hash: config.HashKey("b-key"), Revoked: true}))
			for _, r := range f.Replicas {
				r.Behave(fake.Behaviour{Tenant: "b"})
			}
		})
		refused := 0
		for _, a := range all {
			if a.Code == 200 {
				refused++
			}
		}
		is.True(refused > 20)
		noBreach(is, f, 5)
	})
}

func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	t.Parallel()
	inBubble(t, options(12), func(is *is.I, f *Fleet) {
		f.during(500, 30, 12, func() {
			time.Sleep(4 * time.Second)
			must(f.Order(1, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[{"name":"pool-1","state":"leaving"}]}`)}))
		})
		after := 0
		for _, r := range f.Ledgers.Runs {
			if r.Replica != "pool-1" && r.HasRun {
				after++
			}
		}
		is.True(after > 200)
		noBreach(is, f, 7)
	})
}

func TestOneCoreLostAndBack(t *testing.T) {
	t.Parallel()
	for lost := range 4 {
		t.Run(fmt.Sprint(lost+1), func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(uint64(20+lost)), func(is *is.I, f *Fleet) {
				var longest time.Duration
				all := f.during(600, 30, uint64(20+lost), func() {
					time.Sleep(4 * time.Second)
					f.Kill(CoreIP(lost))
					for n := range 8 {
						began := time.Now()
						f.Until(5*time.Second, "a change is accepted with one core dead", func() bool {
							_, err := f.merge(fmt.Sprintf(`{"tenants":[{"name":"a","weight":%d}]}`, n+2))
							return err == nil
						})
						longest = max(longest, time.Since(began))
						time.Sleep(300 * time.Millisecond)
					}
					f.StartCore(lost)
					f.Until(8*time.Second, "the core that came back has all", func() bool {
						a, err := f.Query(lost, "owners")
						if err != nil {
							return false
						}
						for _, row := range a.Rows {
							if row["key"] == config.Key {
								return row["version"].(float64) == 9 && row["settled"] == true
							}
						}
						return false
					})
				})
				t.Logf("core %d dead: longest wait for a change %v", lost+1, longest)
				is.True(longest < 3*time.Second)
				is.True(whole(all) >= len(all)*99/100)
				noBreach(is, f)
			})
		})
	}
}

func TestAllKilledAtOnceComeBackWithConfigurationClaimsAndHolds(t *testing.T) {
	t.Parallel()
	inBubble(t, options(30), func(is *is.I, f *Fleet) {
		status, _, _ := f.Ask(0, "a", "before", chat("light"))
		is.Equal(status, 200)
		for _, r := range f.Replicas {
			r.Behave(fake.Behaviour{Tenant: "c", Refusing: true, RetryAfter: "60"})
		}
		_, code, _ := f.Ask(0, "c", "", chat("light"))
		is.Equal(code, "210")
		accepted := must(f.merge(`{"tenants":[{"name":"a","weight":7}]}`))
		for i := range 4 {
			f.Kill(CoreIP(i))
		}
		for i := range f.Proxies {
			f.Kill(ProxyIP(i))
		}
		time.Sleep(2 * time.Second)
		for i := range 4 {
			f.StartCore(i)
		}
		for i := range f.Proxies {
			f.StartPair(i)
		}
		back := f.Until(12*time.Second, "service is back", func() bool {
			status, _, _ := f.Ask(1, "b", "", chat("light"))
			return status == 200
		})
		t.Logf("service is back after %v", back)
		version, _, err := f.config(0)
		is.NoErr(err)
		is.True(version >= accepted.Version)
		status, code, _ = f.Ask(2, "a", "before", chat("light"))
		is.Equal(status, 409)
		is.Equal(code, "224")
		_, code, _ = f.Ask(1, "c", "", chat("light"))
		is.Equal(code, "210") // still held
		noBreach(is, f)
	})
}

// configuration gives a core's version of the configuration.
func (f *Fleet) config(core int) (version uint64, settled bool, err error) {
	a, err := f.Query(core, "owners")
	for _, row := range a.Rows {
		if row["key"] == config.Key {
			return uint64(row["version"].(float64)), row["settled"] == true, err
		}
	}
	return 0, false, err
}

// A proxy that has no word of a majority admits nothing once its term is over, and its streams finish: whether its agent is cut off from the
// cores, or it is itself cut off from its agent alone, which hears them all.
func TestCutOffProxyStopsAdmittingAndItsStreamsFinish(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(f *Fleet, apart bool){
		"agent from the cores": func(f *Fleet, apart bool) {
			for i := range 4 {
				f.Net.PartitionGroups([]string{CoreIP(i)}, []string{ProxyIP(0)}, apart)
			}
		},
		"proxy from its agent": func(f *Fleet, apart bool) { f.Net.setPartitioned(ProxyIP(0), ProxyIP(0), apart) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(31), func(is *is.I, f *Fleet) {
				long := `{"model":"light","stream":true,"max_tokens":600,"messages":[{"role":"user","content":"a long one"}]}`
				var running sync.WaitGroup
				running.Go(func() {
					status, _, text := f.Ask(0, "a", "", long)
					is.Equal(status, 200)
					is.True(len(text) > 10000)
				})
				time.Sleep(200 * time.Millisecond)
				cut(f, true)
				stopped := f.Until(1700*time.Millisecond, "the cut-off proxy admits nothing", func() bool {
					_, code, _ := f.Ask(0, "a", "", chat("light"))
					return code == "214"
				})
				t.Logf("stopped admitting after %v", stopped)
				must(f.merge(`{"tenants":[{"name":"a","weight":9}]}`))
				running.Wait()
				cut(f, false)
				f.Until(5*time.Second, "it admits again", func() bool {
					status, _, _ := f.Ask(0, "a", "", chat("light"))
					return status == 200
				})
				noBreach(is, f)
			})
		})
	}
}

func TestSplitCoreAcceptsNothingInAMinority(t *testing.T) {
	t.Parallel()
	ips := []string{CoreIP(0), CoreIP(1), CoreIP(2), CoreIP(3)}
	inBubble(t, options(32), func(is *is.I, f *Fleet) {
		all := f.during(700, 30, 32, func() {
			time.Sleep(3 * time.Second)
			f.Net.PartitionGroups(ips[:2], ips[2:], true)
			time.Sleep(1500 * time.Millisecond)
			for core := range 4 {
				_, err := f.Order(core, config.Key, controlplane.ConfigChange{Text: json.RawMessage(`{"tenants":[{"name":"a","weight":50}]}`), Partial: true})
				is.True(err != nil)
			}
			f.Net.PartitionGroups(ips[:2], ips[2:], false)
			f.Until(6*time.Second, "a change is accepted after the split", func() bool {
				_, err := f.merge(`{"tenants":[{"name":"a","weight":51}]}`)
				return err == nil
			})
			f.Net.PartitionGroups(ips[:1], ips[1:], true)
			f.Until(6*time.Second, "three of four accept", func() bool {
				_, err := f.Order(2, config.Key, controlplane.ConfigChange{Text: json.RawMessage(`{"tenants":[{"name":"a","weight":52}]}`), Partial: true})
				return err == nil
			})
			_, err := f.Order(0, config.Key, controlplane.ConfigChange{Text: json.RawMessage(`{"tenants":[{"name":"a","weight":53}]}`), Partial: true})
			is.True(err != nil)
			f.Net.PartitionGroups(ips[:1], ips[1:], false)
			time.Sleep(3 * time.Second)
		})
		is.True(whole(all) >= len(all)*92/100)
		noBreach(is, f)
	})
}

func TestStalledAndFullDisksMoveOwnershipAndNothingElse(t *testing.T) {
	t.Parallel()
	inBubble(t, options(33), func(is *is.I, f *Fleet) {
		all := f.during(600, 30, 33, func() {
			time.Sleep(3 * time.Second)
			for core := range 4 {
				release := f.Disks[core].Stall()
				time.Sleep(2 * time.Second)
				began := time.Now()
				f.Until(4*time.Second, "a change is accepted with a stalled disk", func() bool {
					_, err := f.merge(fmt.Sprintf(`{"tenants":[{"name":"a","weight":%d}]}`, 20+core))
					return err == nil
				})
				t.Logf("disk %d stalled: change after %v", core+1, time.Since(began))
				release()
				f.Disks[core].Fill(true)
				time.Sleep(500 * time.Millisecond)
				f.Until(4*time.Second, "a change is accepted with a full disk", func() bool {
					_, err := f.merge(fmt.Sprintf(`{"tenants":[{"name":"a","weight":%d}]}`, 30+core))
					return err == nil
				})
				f.Disks[core].Fill(false)
				time.Sleep(time.Second)
			}
		})
		is.True(whole(all) >= len(all)*99/100)
		noBreach(is, f)
	})
}

func TestTwoOperatorsRaceAndBurstWithoutLosingWork(t *testing.T) {
	t.Parallel()
	inBubble(t, options(34), func(is *is.I, f *Fleet) {
		var operators sync.WaitGroup
		var mu sync.Mutex
		won, conflicts := map[string]bool{}, 0
		for op := range 2 {
			operators.Go(func() {
				for n := range 15 {
					name := fmt.Sprintf("t-%d-%d", op, n)
					version, _, err := f.config(op)
					is.NoErr(err)
					_, err = f.Order(op, config.Key, controlplane.ConfigChange{Partial: true, ExpectedVersion: &version,
						Text: json.RawMessage(`{"tenants":[{"name":"` + name + `"}]}`)})
					mu.Lock()
					if err == nil {
						won[name] = true
					} else {
						conflicts++
					}
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		var burst sync.WaitGroup
		writes := f.Disks[0].Usage().Writes
		for n := range 60 {
			burst.Go(func() {
				name := fmt.Sprintf("burst-%d", n)
				_, err := f.Order(n%4, config.Key, controlplane.ConfigChange{Partial: true, Text: json.RawMessage(`{"tenants":[{"name":"` + name + `"}]}`)})
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				won[name] = true
			})
		}
		burst.Wait()
		t.Logf("two operators: %d conflicts; a burst of 60 changes took %d writes of one disk", conflicts, f.Disks[0].Usage().Writes-writes)
		is.True(conflicts > 0)
		time.Sleep(500 * time.Millisecond) // a core may be a moment behind the yes of the others
		a, err := f.Query(3, "tenants")
		is.NoErr(err)
		there := map[string]bool{}
		for _, row := range a.Rows {
			there[row["name"].(string)] = true
		}
		for name := range won {
			is.True(there[name]) // a yes is never undone by the other operator
		}
		is.Equal(len(there), len(won)+3)
	})
}

// A whole pool is replaced, one replica after another: a new one comes and warms up, an old one leaves and then vanishes.
func TestPoolReplacedOneByOneUnderLoad(t *testing.T) {
	t.Parallel()
	inBubble(t, options(35), func(is *is.I, f *Fleet) {
		tell := func(i int, state string) {
			must(f.Order(i%4, "replicas", controlplane.ReplicasChange{Text: fmt.Appendf(nil,
				`{"replicas":[{"name":%q,"address":%q,"pool":"pool","zone":"zone-1","limit":12,"state":%q}]}`, ReplicaName(i), At(ReplicaIP(i)), state)}))
		}
		all := f.during(1100, 30, 35, func() {
			time.Sleep(2 * time.Second)
			for i := range 4 {
				f.StartReplica(4 + i)
				tell(4+i, "warming")
				time.Sleep(2 * time.Second)
				tell(4+i, "present")
				tell(i, "leaving")
				time.Sleep(4 * time.Second)
				f.Kill(ReplicaIP(i))
				tell(i, "gone")
			}
		})
		onNew := 0
		for _, r := range f.Ledgers.Runs {
			if r.HasRun && r.Replica >= "pool-5" {
				onNew++
			}
		}
		is.True(onNew > 300)
		is.True(whole(all) >= len(all)*99/100)
		noBreach(is, f)
	})
}

// Many replicas that the cores cannot reach hold up neither the others of their pool nor other pools.
func TestWeightsRollPastManySilentReplicas(t *testing.T) {
	t.Parallel()
	o, callers := deployment("archive", 36)
	inBubble(t, o, func(is *is.I, f *Fleet) {
		cores, silent := []string{CoreIP(0), CoreIP(1), CoreIP(2), CoreIP(3)}, map[string]bool{}
		for i := range 18 {
			if name, pool := f.name(i); pool == "deep" && i > 1 {
				f.Net.PartitionGroups(cores, []string{ReplicaIP(i)}, true)
				silent[name] = true
			}
		}
		must(f.merge(`{"pools":[{"name":"deep","weights":"w2"},{"name":"quick","weights":"w2"}]}`))
		rolled := f.Until(30*time.Second, "all that can be reached have the new weights", func() bool {
			a, err := f.Query(0, "replicas")
			for _, row := range a.Rows {
				name := row["replica"].(string)
				model := row["pool"] == "deep" || row["pool"] == "quick"
				if model && !silent[name] && row["weights"] != "w2" {
					return false
				}
			}
			return err == nil
		})
		t.Logf("%d of 18 silent; the others have the new weights after %v", len(silent), rolled)
		is.True(rolled < 12*time.Second)
		f.Load(200, 40, callers, 36)
		noBreach(is, f)
	})
}

// Weights that are gone back to roll like new ones: a third of the pool at a time.
func TestWeightsGoBackAThirdAtATime(t *testing.T) {
	t.Parallel()
	o := options(37)
	o.Replicas = 6
	inBubble(t, o, func(is *is.I, f *Fleet) {
		for _, version := range []string{"w2", "w1"} {
			must(f.merge(`{"pools":[{"name":"pool","weights":"` + version + `"}]}`))
			most := 0
			for range 150 {
				time.Sleep(100 * time.Millisecond)
				loading := map[any]bool{}
				a, err := f.Query(0, "replicas")
				is.NoErr(err)
				for _, row := range a.Rows {
					if row["weights"] == router.Loading {
						loading[row["replica"]] = true
					}
				}
				most = max(most, len(loading))
			}
			t.Logf("to %s: at most %d of 6 load at a time", version, most)
			is.True(most > 0 && most <= 3) // two, and one whose end is not yet reported
		}
	})
}

// An owner takes a change and its answer is lost; the core that was asked then finds no majority. It may not say "nothing was changed".
func TestChangeWhoseAnswerWasLostIsUndecided(t *testing.T) {
	t.Parallel()
	inBubble(t, options(38), func(is *is.I, f *Fleet) {
		owner := 0
		_, _ = fmt.Sscanf(rendezvous.Pick(config.ReplicasKey, []string{"core-1", "core-2", "core-3", "core-4"}), "core-%d", &owner)
		asked := owner % 4 // the next one
		f.Net.Partition(CoreIP(owner-1), CoreIP(asked))
		var ordering sync.WaitGroup
		ordering.Go(func() {
			_, err := f.Order(asked, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[{"name":"pool-1","state":"leaving"}]}`)})
			is.True(err != nil)
			is.Equal(apierror.Of(err).Code, apierror.Undecided)
		})
		time.Sleep(time.Second)
		for i := range 4 {
			f.Net.PartitionGroups([]string{CoreIP(asked)}, []string{CoreIP(i)}, true)
		}
		ordering.Wait()
		for i := range 4 {
			f.Net.PartitionGroups([]string{CoreIP(asked)}, []string{CoreIP(i)}, false)
		}
		f.Rest(callers[2], func() {})
		for _, fact := range f.FactLog.Facts() {
			is.True(fact.Kind != fake.Draining || fact.Tried)
		}
		noBreach(is, f, 11, 12)
	})
}
