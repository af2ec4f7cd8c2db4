package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/membership"
	"asterridge/register"
)

// numberedOptions are a fleet's whose members change by themselves and which is declared by numbers; the first three cores found it.
func numberedOptions(seed uint64, cores int) FleetOptions {
	o := options(seed)
	o.Cores, o.Replicas, o.Proxies = cores, 0, 2
	o.Founders = []string{At(CoreIP(0)), At(CoreIP(1)), At(CoreIP(2))}
	o.Core = controlplane.Options{AutoMembership: true, Lease: 700 * time.Millisecond, WatchWait: 200 * time.Millisecond,
		Tolerance: membership.Tolerance{Machines: 1}}
	return o
}

// inNumbered runs such a fleet; when play begins, nothing is declared or founded yet.
func inNumbered(t *testing.T, o FleetOptions, play func(is *is.I, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(o)
		defer f.Stop()
		play(is.New(t), f)
	})
}

// membership gives what the cores agree on: the members' names, if all that run say the same, all of these are live and serve, nothing is
// carried over, and nobody asks to be admitted; else what they say.
func (f *Fleet) membership() string {
	agreed := ""
	for i := range f.Disks {
		f.mu.Lock()
		dead := f.dead[CoreIP(i)]
		f.mu.Unlock()
		if dead {
			continue
		}
		a, err := f.Query(i, "members")
		if err != nil {
			return err.Error()
		}
		said := ""
		for _, row := range a.Rows {
			said += " " + fmt.Sprint(row["name"])
			if row["state"] != "member" || row["live"] != true {
				said += " (" + fmt.Sprint(row["state"], row["live"]) + ")"
			}
		}
		answer, err := f.Client.Get("http://" + At(CoreIP(i)) + "/ready")
		if err != nil {
			return err.Error()
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			said += " (not ready)"
		}
		if agreed != "" && agreed != said {
			return fmt.Sprintf("core %d says%s, others%s", i+1, said, agreed)
		}
		agreed = said
	}
	return strings.TrimSpace(agreed)
}

// untilMembership waits until the cores agree on these members.
func (f *Fleet) untilMembership(limit time.Duration, names string) time.Duration {
	last := ""
	defer func() {
		if failure := recover(); failure != nil {
			panic(fmt.Sprintf("%v; last: %s", failure, last))
		}
	}()
	return f.Until(limit, "the members are "+names, func() bool {
		last = f.membership()
		return last == names
	})
}

const allFour = "core-1 core-2 core-3 core-4"

// numbered is a configuration with one path for each name, as operators' tools would write it.
func numbered(number, basedOn uint64, full bool, paths ...string) config.NumberedConfig {
	b := config.Empty()
	d := config.NumberedConfig{Number: number, BasedOn: basedOn, Full: full, Digest: fmt.Sprint(number, full, paths), Texts: register.Fields{}}
	if full {
		b.Pools["web"] = config.Pool{Name: "web", Kind: "web"}
	}
	for _, name := range paths {
		b.Paths[name] = config.Path{Name: name, Address: "/" + name + "/", Pool: "web", DeadlineMs: 1000, Public: true, MaxBody: 1000, Cost: 1}
		d.Texts["path/"+name] = json.RawMessage(`{"label":"` + name + `"}`)
		d.Order = append(d.Order, "path/"+name)
	}
	d.Items = b.Fields()
	delete(d.Items, "hold")
	return d
}

// core gives a core as it was last started.
func (f *Fleet) core(i int) *controlplane.Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Cores[i]
}

// declare has a core take a configuration, as often as operators' tools would ask.
func (f *Fleet) declare(core int, d config.NumberedConfig) {
	f.Until(6*time.Second, fmt.Sprintf("%d is taken", d.Number), func() bool {
		short, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		return f.core(core).SubmitConfig(short, d) == nil
	})
}

// declared reads the newest configuration from a core: its number and the paths' names.
func (f *Fleet) declared(core int) (uint64, []string, error) {
	short, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	stored, err := f.core(core).ReadConfig(short)
	var names []string
	for _, t := range stored.Texts {
		names = append(names, t.Name)
	}
	return stored.Number, names, err
}

// serves says whether all proxies have just the paths that are served: who has one says that no replica is there for it.
func (f *Fleet) serves(served, missing []string) bool {
	for i := range f.Proxies {
		for _, name := range slices.Concat(served, missing) {
			answer, err := f.Client.Get("http://" + ProxyAddress(i) + "/" + name + "/")
			if err != nil {
				return false
			}
			_ = answer.Body.Close()
			if (answer.Header.Get("X-Result-Code") == fmt.Sprint(apierror.NoReplica.Number)) != slices.Contains(served, name) {
				return false
			}
		}
	}
	return true
}

// Three of four cores are the founders, and are each other's seeds; the fourth is admitted by itself. A core that is cut off when the
// others start joins them later: until then nobody founds anything.
func TestThreeFoundersAndAFourthAdmittedByItself(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(200, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(3, numbered(1, 0, true, "a"))
		f.Kill(CoreIP(0)) // the fourth has a vote: three of four go on, whichever fails
		f.declare(1, numbered(2, 1, false, "b"))
	})
	inNumbered(t, numberedOptions(201, 4), func(is *is.I, f *Fleet) {
		f.Kill(CoreIP(1))
		time.Sleep(10 * time.Second)
		for _, i := range []int{0, 2, 3} {
			a, err := f.Query(i, "members")
			is.NoErr(err)
			is.Equal(len(a.Rows), 0) // two founders are not enough, and the fourth is none
		}
		f.StartCore(1)
		f.untilMembership(10*time.Second, allFour)
	})
}

// A core that loses its disk is one of the members again, by itself and within 4 s, without operators; nothing accepted is lost.
func TestWipedCoreIsBackByItself(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(202, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(3, 0, true, "a", "b"))
		for i := range 4 {
			f.Kill(CoreIP(i))
			f.Disks[i].Wipe()
			f.StartCore(i)
			began := time.Now()
			f.Until(4*time.Second, "the wiped one is back", func() bool { return members(f.membership()) == allFour })
			t.Logf("core %d back after %v", i+1, time.Since(began))
			number, names, err := f.declared(i)
			is.NoErr(err)
			is.Equal(number, uint64(3))
			is.Equal(names, []string{"a", "b"})
			time.Sleep(2 * time.Second)
		}
		f.Kill(CoreIP(0)) // all the three that are left vote
		f.declare(2, numbered(4, 3, false, "c"))
	})
}

// members puts the names in order, since who is admitted anew comes last.
func members(said string) string {
	names := strings.Fields(said)
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Where there are three cores in all, a wiped one is back just so: two of three are enough to take it out and in again.
func TestWipedCoreOfThreeIsBackByItself(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(203, 3), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, "core-1 core-2 core-3")
		f.declare(0, numbered(3, 0, true, "a"))
		f.Kill(CoreIP(1))
		f.Disks[1].Wipe()
		f.StartCore(1)
		f.Until(4*time.Second, "the wiped one is back", func() bool { return members(f.membership()) == "core-1 core-2 core-3" })
		f.Kill(CoreIP(2))
		f.declare(1, numbered(4, 3, false, "b"))
	})
}

// A machine that is lost is replaced by an empty one at another address of its zone: the new one is admitted by itself within 4 s, and the
// old one is retired once it has been silent for long enough.
func TestReplacedCoreIsAdmittedAndTheOldOneRetired(t *testing.T) {
	t.Parallel()
	o := numberedOptions(204, 4)
	o.ChangeCoreHost = func(i int, p *daemon.Host) {
		if i == 4 {
			p.Zone, p.Bootstrapped = "zone-2", true
		}
	}
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(3, 0, true, "a"))
		f.Kill(CoreIP(1))
		time.Sleep(2 * time.Second)
		began := time.Now()
		f.StartCore(4)
		f.Until(4*time.Second, "the new one has a vote", func() bool { return strings.Contains(f.membership(), "core-5") && isReady(f, 4) })
		t.Logf("voting after %v", time.Since(began))
		f.Until(4*time.Second, "the old one is retired", func() bool { return f.membership() == "core-1 core-3 core-4 core-5" })
		number, _, err := f.declared(4)
		is.NoErr(err)
		is.Equal(number, uint64(3))
		f.StartCore(1) // it comes back all the same, with its old disk: a joiner, and then a member again
		f.untilMembership(10*time.Second, "core-1 core-3 core-4 core-5 core-2")
	})
}

func isReady(f *Fleet, core int) bool {
	answer, err := f.Client.Get("http://" + At(CoreIP(core)) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// A member that is silent for a short while stays; one that is silent for long, without anybody who came for it, is retired where the
// others bear the next loss without it, and not where they do not: of four, and not of three. It is a member again soon after it is back.
func TestSilentMemberWithoutASuccessor(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 4} {
		inNumbered(t, numberedOptions(205, cores), func(is *is.I, f *Fleet) {
			all := strings.Join(strings.Fields(allFour)[:cores], " ")
			f.untilMembership(10*time.Second, all)
			f.declare(0, numbered(3, 0, true, "a"))
			listed := func() int {
				a, err := f.Query(0, "members")
				is.NoErr(err)
				return len(a.Rows)
			}
			f.Kill(CoreIP(1))
			time.Sleep(4 * time.Second)
			is.Equal(listed(), cores)
			f.StartCore(1)
			f.untilMembership(4*time.Second, all)
			f.Kill(CoreIP(1))
			time.Sleep(20 * time.Second)
			is.Equal(listed(), 3)
			if cores > 3 {
				f.Kill(CoreIP(2)) // two of the three that are left go on
				f.declare(0, numbered(4, 3, false, "b"))
				f.StartCore(2)
			}
			f.StartCore(1)
			back := f.Until(4*time.Second, "all are members", func() bool { return members(f.membership()) == all })
			t.Logf("%d cores: whole after %v", cores, back)
		})
	}
}

// Where the fleet was founded before, empty disks never found it again: neither all cores together, nor one whose members are down.
func TestEmptyDisksOfAFoundedFleetNeverFoundIt(t *testing.T) {
	t.Parallel()
	founded := true
	o := numberedOptions(206, 3)
	o.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = founded }
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		time.Sleep(30 * time.Second)
		for i := range 3 {
			is.True(!isReady(f, i))
			is.True(apierror.Is(f.core(i).SubmitConfig(context.Background(), numbered(1, 0, true, "a")), apierror.NotFounded))
		}
	})
	founded = false
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, "core-1 core-2 core-3")
		founded = true
		for i := range 3 {
			f.Kill(CoreIP(i))
		}
		f.Disks[0].Wipe()
		f.StartCore(0)
		time.Sleep(20 * time.Second)
		is.True(!isReady(f, 0))
		is.True(f.core(0).SubmitConfig(context.Background(), numbered(1, 0, true, "a")) != nil)
		f.StartCore(1)
		f.StartCore(2)
		f.Until(4*time.Second, "it is admitted again", func() bool { return members(f.membership()) == "core-1 core-2 core-3" })
	})
}

// Two disks are lost one after the other, with some seconds between: the second loss finds the membership whole again.
func TestTwoLossesInARow(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 4} {
		inNumbered(t, numberedOptions(207, cores), func(is *is.I, f *Fleet) {
			all := strings.Join(strings.Fields(allFour)[:cores], " ")
			f.untilMembership(10*time.Second, all)
			f.declare(0, numbered(3, 0, true, "a"))
			for n, i := range []int{0, 1} {
				f.Kill(CoreIP(i))
				f.Disks[i].Wipe()
				f.StartCore(i)
				time.Sleep(6 * time.Second)
				is.Equal(members(f.membership()), all)
				f.declare(i, numbered(uint64(4+n), uint64(3+n), false, fmt.Sprint("later-", n)))
			}
			for i := range cores {
				number, names, err := f.declared(i)
				is.NoErr(err)
				is.Equal(number, uint64(5))
				is.Equal(names, []string{"a", "later-0", "later-1"})
			}
		})
	}
}

// A declared configuration is in force at every proxy soon after the yes: new paths answer, removed ones are gone.
func TestDeclaredConfigurationReachesAllProxies(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(208, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.Until(5*time.Second, "all proxies are ready", f.AreReady)
		for _, p := range f.Proxies {
			is.True(!p.Router.IsConfigured())
		}
		f.declare(2, numbered(3, 0, true, "a", "b"))
		f.Until(2*time.Second, "all serve a and b", func() bool { return f.serves([]string{"a", "b"}, []string{"c"}) })
		for _, p := range f.Proxies {
			is.True(p.Router.IsConfigured())
		}
		d := numbered(7, 3, false, "c")
		d.Removed = []string{"path/a"}
		f.declare(1, d)
		f.Until(2*time.Second, "all serve b and c", func() bool { return f.serves([]string{"b", "c"}, []string{"a"}) })
		f.declare(0, numbered(8, 7, true, "a"))
		f.Until(2*time.Second, "all serve a alone", func() bool { return f.serves([]string{"a"}, []string{"b", "c"}) })
	})
}

// Of two configurations that two operators send to two cores at once, on top of the same one, one is taken; the same call again is
// answered as it was, at every core.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(209, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(1, 0, true, "a"))
		for round := range uint64(10) {
			base := 1 + 10*round
			calls := []config.NumberedConfig{numbered(base+10, base, true, "one"), numbered(base+10, base, true, "other")}
			var said [2]error
			var both sync.WaitGroup
			for n := range calls {
				both.Go(func() { said[n] = f.core((int(round)+n)%4).SubmitConfig(context.Background(), calls[n]) })
			}
			both.Wait()
			is.True((said[0] == nil) != (said[1] == nil))
			for n := range calls {
				is.True(said[n] == nil || apierror.Is(said[n], apierror.Conflict))
				for i := range 4 {
					again := f.core(i).SubmitConfig(context.Background(), calls[n])
					is.Equal(again == nil, said[n] == nil)
				}
			}
			number, names, err := f.declared(3)
			is.NoErr(err)
			is.Equal(number, base+10)
			is.Equal(names[0] == "one", said[0] == nil)
		}
	})
}

// After a restart of all daemons at once, the newest configuration is there: read from any core, and in force at every proxy.
func TestRestartOfAllKeepsTheConfiguration(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(210, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(3, 0, true, "a"))
		f.declare(1, numbered(5, 3, false, "b"))
		for i := range 4 {
			f.Kill(CoreIP(i))
		}
		for i := range f.Proxies {
			f.Kill(ProxyIP(i))
		}
		time.Sleep(time.Second)
		for i := range 4 {
			f.StartCore(i)
		}
		for i := range f.Proxies {
			f.StartPair(i)
		}
		f.untilMembership(5*time.Second, allFour)
		for i := range 4 {
			number, names, err := f.declared(i)
			is.NoErr(err)
			is.Equal(number, uint64(5))
			is.Equal(names, []string{"a", "b"})
		}
		f.Until(5*time.Second, "all proxies have it", func() bool { return f.serves([]string{"a", "b"}, []string{"c"}) })
		is.NoErr(f.core(2).SubmitConfig(context.Background(), numbered(5, 3, false, "b"))) // what was taken before the restart is known still
	})
}

// A read after a yes gives no older configuration, at whatever core and at once; a core that is cut off gives none.
func TestReadAfterAYesGivesTheNewest(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(211, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(1, 0, true, "a"))
		for n := uint64(2); n < 12; n++ {
			is.NoErr(f.core(int(n%4)).SubmitConfig(context.Background(), numbered(n, n-1, false, fmt.Sprint("p", n))))
			for i := range 4 {
				number, names, err := f.declared(i)
				is.NoErr(err)
				is.Equal(number, n)
				is.Equal(names[len(names)-1], fmt.Sprint("p", n))
			}
		}
		release := f.Disks[3].Stall()
		f.declare(0, numbered(12, 11, false, "meanwhile"))
		if number, _, err := f.declared(3); err == nil {
			is.Equal(number, uint64(12)) // its own disk has not got it yet
		}
		release()
		f.Until(5*time.Second, "it reads the newest", func() bool {
			number, _, err := f.declared(3)
			is.True(err != nil || number == 12)
			return err == nil
		})
		others := []string{CoreIP(0), CoreIP(1), CoreIP(2)}
		f.Net.PartitionGroups([]string{CoreIP(3)}, others, true)
		f.Net.PartitionGroups(others, []string{CoreIP(3)}, true)
		f.declare(0, numbered(13, 12, false, "later"))
		_, _, err := f.declared(3)
		is.True(err != nil) // it has 12, and cannot know better
		f.Net.PartitionGroups([]string{CoreIP(3)}, others, false)
		f.Net.PartitionGroups(others, []string{CoreIP(3)}, false)
		f.Until(5*time.Second, "it reads the newest", func() bool {
			number, _, err := f.declared(3)
			is.True(err != nil || number == 13)
			return err == nil
		})
	})
}
