package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/rendezvous"
	"asterridge/router"
)

// members orders a change of the list and waits until every key is carried over to it.
func (f *Fleet) members(do, name string) {
	last := make([]error, len(f.Disks))
	defer func() {
		if failure := recover(); failure != nil {
			for core := range f.Disks {
				a, err := f.Query(core, "members")
				b, _ := f.Query(core, "owners")
				last = append(last, fmt.Errorf("core %d: %v %v %v", core+1, err, a.Rows, b.Rows))
			}
			panic(fmt.Sprintf("%v: %v", failure, last))
		}
	}()
	f.Until(15*time.Second, do+" "+name, func() bool {
		for core := range f.Disks {
			if _, last[core] = f.Order(core, "members", membership.Change{Action: membership.Action(do), Name: name}); last[core] == nil {
				return true
			}
			if do == "retire" && apierror.Is(last[core], apierror.NotFound) || do == "admit" && apierror.Is(last[core], apierror.Exists) {
				return true // an undecided one stands
			}
		}
		time.Sleep(300 * time.Millisecond)
		return false
	})
	f.Until(15*time.Second, "the keys are carried over", func() bool {
		for core := range f.Disks {
			a, err := f.Query(core, "members")
			if err != nil || len(a.Rows) == 0 {
				continue
			}
			for _, row := range a.Rows {
				if row["state"] == "carrying" {
					return false
				}
			}
			return true
		}
		return false
	})
}

// A core whose disk is wiped comes back as a joiner: it has no vote, until it is retired and admitted anew and has all.
func TestWipedDiskHasNoVoteUntilReadmitted(t *testing.T) {
	t.Parallel()
	inBubble(t, options(60), func(is *is.I, f *Fleet) {
		all := f.during(1000, 30, 60, func() {
			time.Sleep(2 * time.Second)
			accepted := must(f.merge(`{"tenants":[{"name":"a","weight":21}]}`))
			f.Kill(CoreIP(2)) // it has just said yes, and loses its disk
			f.Disks[2].Wipe()
			f.StartCore(2)
			time.Sleep(2 * time.Second)
			f.Kill(CoreIP(3))
			_, err := f.merge(`{"tenants":[{"name":"a","weight":22}]}`)
			is.True(err != nil) // two of four: the wiped one must not count
			f.Until(2*time.Second, "the word of the wiped one makes no proxy current", func() bool {
				_, code, _ := f.Ask(1, "b", "", chat("light"))
				return code == "214"
			})
			f.StartCore(3)
			time.Sleep(2 * time.Second)
			_, err = f.Order(0, "members", membership.Change{Action: membership.Admit, Name: "core-3"})
			is.Equal(apierror.Of(err).Code, apierror.Exists) // its old self stands in the list
			f.members("retire", "core-3")
			f.members("admit", "core-3")
			f.Kill(CoreIP(0))
			again := time.Now()
			f.Until(6*time.Second, "the readmitted one votes", func() bool {
				_, err := f.merge(`{"tenants":[{"name":"a","weight":23}]}`)
				return err == nil
			})
			t.Logf("a change with the readmitted core's vote after %v", time.Since(again))
			version, _, err := f.config(2)
			is.NoErr(err)
			is.True(version > accepted.Version)
			f.StartCore(0)
			time.Sleep(2 * time.Second)
		})
		is.True(whole(all) >= len(all)*96/100)
		noBreach(is, f)
	})
}

// All four machines of the core are replaced, one after another, by empty ones at new addresses; nothing accepted is lost, and old
// seeds lead to the new members as long as one still answers.
func TestEveryCoreMachineIsReplacedByAnEmptyOneElsewhere(t *testing.T) {
	t.Parallel()
	inBubble(t, options(61), func(is *is.I, f *Fleet) {
		must(f.merge(`{"tenants":[{"name":"kept","weight":9}]}`))
		all := f.during(1500, 30, 61, func() {
			for i := range 4 {
				f.Kill(CoreIP(i))
				f.members("retire", fmt.Sprintf("core-%d", i+1))
				f.StartCore(4 + i)
				f.members("admit", fmt.Sprintf("core-%d", i+5))
				if i == 0 { // seeds of those that start later: one old, one new
					f.Kill(ProxyIP(0))
					f.StartPair(0)
				}
			}
		})
		is.True(whole(all) >= len(all)*96/100)
		a, err := f.Query(5, "tenants")
		is.NoErr(err)
		names := map[any]any{}
		for _, row := range a.Rows {
			names[row["name"]] = row["weight"]
		}
		is.Equal(names["kept"], 9.0)
		_, err = f.Order(6, "members", membership.Change{Action: membership.Remove, Name: "core-6"})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		_, err = f.Order(6, "members", membership.Change{Action: membership.Remove, Name: "core-7"})
		is.True(apierror.Is(err, apierror.OutOfRange)) // too few would be left
		noBreach(is, f)
	})
}

// Seeds are only where one begins: an agent whose seeds are another agent, or all dead, finds the cores by the ring and by what it kept.
func TestAgentsFindTheCoresWithSwappedAndDeadSeeds(t *testing.T) {
	t.Parallel()
	inBubble(t, options(62), func(is *is.I, f *Fleet) {
		serves := func(i int) func() bool {
			return func() bool {
				status, _, _ := f.Ask(i, "a", "", chat("light"))
				return status == 200
			}
		}
		f.AgentSeeds = []string{At(ProxyIP(1))} // another agent
		f.StartPair(0)
		f.Until(6*time.Second, "served by way of another agent", serves(0))
		f.AgentSeeds = []string{At("10.0.8.1"), At("10.0.8.2"), At("10.0.8.3")} // nobody is there
		f.StartPair(0)
		f.Until(6*time.Second, "served by what was kept", serves(0))
		f.AgentDisks[0].Wipe()
		f.StartPair(0)
		f.Until(10*time.Second, "served because the others still beat to it", serves(0))
	})
}

// A core whose newest file is torn has said yes to what it no longer knows: it neither votes nor vouches until it has caught up.
func TestTornFileCostsTheVoteUntilCaughtUp(t *testing.T) {
	t.Parallel()
	inBubble(t, options(63), func(is *is.I, f *Fleet) {
		must(f.merge(`{"tenants":[{"name":"a","weight":31}]}`))
		time.Sleep(time.Second)
		f.Kill(CoreIP(0))
		names := must(f.Disks[0].Open().List("k" + config.Key))
		newest := names[len(names)-1]
		f.Disks[0].Corrupt("k"+config.Key, newest, func(raw []byte) []byte { return raw[:len(raw)-1] })
		cores := []string{CoreIP(1), CoreIP(2), CoreIP(3)}
		f.Kill(CoreIP(3))
		f.Net.PartitionGroups([]string{CoreIP(0)}, cores, true) // it cannot catch up yet
		f.StartCore(0)
		f.Until(4*time.Second, "the word of the torn one makes no proxy current", func() bool {
			_, code, _ := f.Ask(1, "b", "", chat("light"))
			return code == "214"
		})
		f.Net.PartitionGroups([]string{CoreIP(0)}, cores, false)
		back := f.Until(12*time.Second, "it has caught up, votes and vouches", func() bool {
			_, err := f.merge(`{"tenants":[{"name":"a","weight":32}]}`)
			status, _, _ := f.Ask(1, "b", "", chat("light"))
			return err == nil && status == 200
		})
		t.Logf("caught up after %v", back)
		a, err := f.Query(0, "owners")
		is.NoErr(err)
		is.True(len(a.Rows) > 3)
	})
}

// The word that a new list of members is settled is lost on its way to all others: they learn it by following, and the change goes on.
func TestListWhoseSettlingIsLostIsLearned(t *testing.T) {
	t.Parallel()
	for _, then := range []string{"the owner goes on", "the owner is killed and starts again", "the owner's own disk has not taken it"} {
		t.Run(then, func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(64), func(is *is.I, f *Fleet) { f.loseSettling(then) })
		})
	}
}

func (f *Fleet) loseSettling(then string) {
	live, retired, owner := []string{"core-1", "core-3", "core-4"}, 1, 0
	full := strings.HasSuffix(then, "taken it")
	if full { // three others take it without the owner
		live, retired = append(live, "core-2"), 3
	} else {
		f.Kill(CoreIP(retired))
		time.Sleep(2 * time.Second)
	}
	_, _ = fmt.Sscanf(rendezvous.Pick(config.MembersKey, live), "core-%d", &owner)
	name := fmt.Sprintf("core-%d", retired+1)
	others := func(do func(from, to string)) {
		for i := range 4 {
			if i != owner-1 {
				do(CoreIP(owner-1), CoreIP(i))
			}
		}
	}
	shows := func(core int, what string, it func(row router.Row) bool) bool {
		a, err := f.Query(core, what)
		return err == nil && slices.ContainsFunc(a.Rows, it)
	}
	others(func(from, to string) { f.Net.Slow(from, to, 100*time.Millisecond) })
	time.Sleep(time.Second)
	f.Disks[owner-1].Fill(full)
	go func() { _, _ = f.Order(owner-1, "members", membership.Change{Action: membership.Remove, Name: name}) }()
	f.Until(3*time.Second, "the others have accepted the list", func() bool {
		return shows(owner%4, "owners", func(row router.Row) bool {
			return row["key"] == config.MembersKey && row["version"] == 2.0
		})
	})
	time.Sleep(10 * time.Millisecond) // the owner knows it, and its word is under way
	if !full {                        // else it is to stay the owner, and nobody takes the key from it
		others(f.Net.Partition)
	}
	others(f.Net.Reset)
	time.Sleep(3 * time.Second)
	f.Disks[owner-1].Fill(false)
	if strings.Contains(then, "killed") {
		f.StartCore(owner - 1)
	}
	others(f.Net.Heal)
	others(func(from, to string) { f.Net.Slow(from, to, time.Millisecond) })
	f.Until(12*time.Second, "the keys are carried over", func() bool {
		for i := range 4 {
			old := func(row router.Row) bool {
				return row["state"] == "carrying" || row["name"] == name && row["state"] == "member"
			}
			if i != retired && (shows(i, "members", old) || !shows(i, "members", func(router.Row) bool { return true })) {
				return false
			}
		}
		return true
	})
}
