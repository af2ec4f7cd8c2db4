package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/membership"
)

// replaceable is a fleet of some cores that bears some losses; machines beyond the first ones stand in the zones of those that they replace.
type replaceable struct {
	*Fleet
	cores  int   // that there are when nothing is lost
	live   []int // machines that run, oldest first
	next   int   // the machine that comes next
	number uint64
	paths  []string
}

// inReplaceable runs such a fleet, once all cores are members and the first configuration is declared.
func inReplaceable(t *testing.T, seed uint64, cores, losses int, play func(is *is.I, f *replaceable)) {
	t.Helper()
	f := &replaceable{cores: cores, next: cores}
	for i := range cores {
		f.live = append(f.live, i)
	}
	o := numberedOptions(seed, cores)
	o.Proxies = 0
	o.Core.Tolerance = membership.Tolerance{Machines: losses}
	o.ChangeCoreHost = func(i int, p *daemon.Host) {
		if i < cores && f.number == 0 {
			return
		}
		p.Bootstrapped, p.Seeds, p.Zone = true, nil, fmt.Sprintf("zone-%d", i%cores+1)
		for _, j := range f.live {
			if j != i && len(p.Seeds) < 3 {
				p.Seeds = append(p.Seeds, At(CoreIP(j)))
			}
		}
	}
	inNumbered(t, o, func(is *is.I, fleet *Fleet) {
		f.Fleet = fleet
		f.untilWhole(12 * time.Second)
		f.declareNext()
		play(is, f)
	})
}

// names lists the machines that run.
func (f *replaceable) names() string {
	var names []string
	for _, i := range f.live {
		names = append(names, fmt.Sprintf("core-%d", i+1))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// untilWhole waits until the members are just those that run.
func (f *replaceable) untilWhole(limit time.Duration) time.Duration {
	last := ""
	defer func() {
		if failure := recover(); failure != nil {
			panic(fmt.Sprintf("%v; last: %s", failure, last))
		}
	}()
	return f.Until(limit, "the members are "+f.names(), func() bool {
		last = f.membership()
		return members(last) == f.names()
	})
}

// declareNext has the newest machine take one more configuration.
func (f *replaceable) declareNext() {
	path := fmt.Sprint("p", f.number+1)
	f.declare(f.live[len(f.live)-1], numbered(f.number+1, f.number, f.number == 0, path))
	f.number++
	f.paths = append(f.paths, path)
}

// start has the next machine join, and waits until it has a vote.
func (f *replaceable) start() {
	f.StartCore(f.next)
	f.live = append(f.live, f.next)
	f.Until(4*time.Second, fmt.Sprintf("core-%d has a vote", f.next+1), func() bool { return isReady(f.Fleet, f.next) })
	f.next++
}

// end takes a machine away for good.
func (f *replaceable) end(machine int, inOrder bool) {
	if inOrder {
		f.Terminate(machine)
	} else {
		f.Kill(CoreIP(machine))
	}
	f.live = slices.DeleteFunc(f.live, func(i int) bool { return i == machine })
}

// wipe has machines lose their disks at once, while all others lose power if that is said; all come back a second later.
func (f *replaceable) wipe(machines []int, powerLost bool) {
	down := machines
	if powerLost {
		down = f.live
	}
	for _, i := range down {
		f.Kill(CoreIP(i))
	}
	for _, i := range machines {
		f.Disks[i].Wipe()
	}
	time.Sleep(time.Second)
	for _, i := range down {
		f.StartCore(i)
	}
}

// checkNothingLost wants the newest configuration from every machine that runs, and a list of just these.
func (f *replaceable) checkNothingLost(is *is.I) {
	is.Helper()
	f.untilWhole(8 * time.Second)
	for _, i := range f.live {
		number, names, err := f.declared(i)
		is.NoErr(err)
		is.Equal(number, f.number)
		is.Equal(names, f.paths)
	}
	f.declareNext()
}

// Terminate ends a core in order, as SIGTERM does.
func (f *Fleet) Terminate(core int) {
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	_ = f.core(core).Leave(ctx) // that it stays a member is no failure
	f.Kill(CoreIP(core))
}

// Machines are replaced in order, two or three times over, the new one first; then as many disks as may be lost are lost at once, right
// after a configuration was acknowledged, and all others lose power at times. No list of members holds one that is gone.
func TestLossAfterPlannedReplacements(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, losses int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 2}} {
		for _, times := range []int{2, 3} {
			for _, powerLost := range []bool{false, true} {
				t.Run(fmt.Sprint(c.cores, " cores, ", c.losses, " lost, ", times, " replaced, power ", powerLost), func(t *testing.T) {
					t.Parallel()
					inReplaceable(t, 300, c.cores, c.losses, func(is *is.I, f *replaceable) {
						for i := range times {
							f.start()
							f.end(i, true)
							f.declareNext()
						}
						f.wipe(f.live[:c.losses], powerLost)
						f.checkNothingLost(is)
					})
				})
			}
		}
	}
}

// Machines are gone without a word, before or after the one that takes their place has come: they are off the list by the time that one
// has had catch_up_s, or the time after which silence counts.
func TestLossAfterReplacementsWithoutAWord(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, losses int }{{3, 1}, {4, 1}, {5, 2}} {
		for _, newFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(c.cores, " cores, ", c.losses, " lost, new first ", newFirst), func(t *testing.T) {
				t.Parallel()
				inReplaceable(t, 301, c.cores, c.losses, func(is *is.I, f *replaceable) {
					for i := range 3 {
						if newFirst {
							f.start()
							f.end(i, false)
							time.Sleep(6 * time.Second)
						} else {
							f.end(i, false)
							time.Sleep(2 * time.Second)
							f.start()
							time.Sleep(4 * time.Second)
						}
						f.declareNext()
					}
					f.wipe(f.live[:c.losses], true)
					f.checkNothingLost(is)
				})
			})
		}
	}
}

// Cores are restarted in order, one after the other: the fleet takes configurations while each is away, is whole soon after it is back,
// and then bears the losses that are tolerated.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, losses int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprint(c.cores, " cores, ", c.losses, " lost"), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 302, c.cores, c.losses, func(is *is.I, f *replaceable) {
				for i := range c.cores {
					f.Terminate(i)
					other := (i + 1) % c.cores
					f.declare(other, numbered(f.number+1, f.number, false, fmt.Sprint("p", f.number+1)))
					f.number++
					f.paths = append(f.paths, fmt.Sprint("p", f.number))
					time.Sleep(time.Second)
					f.StartCore(i)
					t.Logf("whole %v after core %d is back", f.untilWhole(4*time.Second), i+1)
				}
				f.wipe(f.live[c.cores-c.losses:], false)
				f.checkNothingLost(is)
			})
		})
	}
}

// All cores are told to stop at the same time, and start again: nothing is lost, and all are members again.
func TestAllStopInOrder(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 4, 5, 8} {
		t.Run(fmt.Sprint(cores, " cores"), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 303, cores, 1, func(is *is.I, f *replaceable) {
				for range 3 {
					var all sync.WaitGroup
					for _, i := range f.live {
						all.Go(func() { f.Terminate(i) })
					}
					all.Wait()
					for _, i := range f.live {
						f.StartCore(i)
					}
					f.checkNothingLost(is)
				}
			})
		})
	}
}

// What is known of who is silent outlives a restart of all cores: a dead member is retired although no life of the cores lasts as long as
// silence takes to count.
func TestSilenceIsRememberedThroughRestarts(t *testing.T) {
	t.Parallel()
	inReplaceable(t, 304, 4, 1, func(is *is.I, f *replaceable) {
		f.start()
		f.end(0, false)
		time.Sleep(3500 * time.Millisecond)
		for range 2 {
			for _, i := range f.live {
				f.Kill(CoreIP(i))
			}
			time.Sleep(500 * time.Millisecond)
			for _, i := range f.live {
				f.StartCore(i)
			}
			time.Sleep(3500 * time.Millisecond)
		}
		is.Equal(members(f.membership()), f.names())
		f.wipe(f.live[:1], true)
		f.checkNothingLost(is)
	})
}

// A core that is frozen or cut off for 20 s retires nobody when it is back, and is a member again within the time that it has for that.
func TestFrozenOrCutOffCoreIsReadmitted(t *testing.T) {
	t.Parallel()
	for _, frozen := range []bool{true, false} {
		t.Run(fmt.Sprint("frozen ", frozen), func(t *testing.T) {
			t.Parallel()
			for away := range 4 {
				inReplaceable(t, 305, 4, 1, func(is *is.I, f *replaceable) {
					var others []string
					for _, i := range f.live {
						if i != away {
							others = append(others, CoreIP(i))
						}
					}
					set := func(isAway bool) {
						if frozen {
							f.Net.Freeze(CoreIP(away), isAway)
						} else {
							f.Net.PartitionGroups([]string{CoreIP(away)}, others, isAway)
							f.Net.PartitionGroups(others, []string{CoreIP(away)}, isAway)
						}
					}
					set(true)
					time.Sleep(20 * time.Second)
					other := (away + 1) % 4
					a, err := f.Query(other, "members")
					is.NoErr(err)
					is.Equal(len(a.Rows), 3) // and two of them are a majority
					set(false)
					t.Logf("whole after %v", f.untilWhole(4*time.Second))
					for range 20 {
						time.Sleep(100 * time.Millisecond)
						is.Equal(members(f.membership()), f.names())
					}
					f.checkNothingLost(is)
				})
			}
		})
	}
}

// Two of five are cut off from the others, where one loss is tolerated: the three retire them one by one and then bear a loss. Both are
// members again when they are back.
func TestMajoritySideRetiresTheMinority(t *testing.T) {
	t.Parallel()
	inReplaceable(t, 306, 5, 1, func(is *is.I, f *replaceable) {
		few, most := []string{CoreIP(0), CoreIP(1)}, []string{CoreIP(2), CoreIP(3), CoreIP(4)}
		f.Net.PartitionGroups(few, most, true)
		f.Net.PartitionGroups(most, few, true)
		time.Sleep(12 * time.Second)
		f.Kill(CoreIP(3))
		f.declareNext()
		f.StartCore(3)
		f.Net.PartitionGroups(few, most, false)
		f.Net.PartitionGroups(most, few, false)
		f.checkNothingLost(is)
	})
}

// Any order of planned and unplanned replacements, wiped disks, restarts of one and of all, with the time that each of them has to be made
// good: at the end of that time the members are those that run.
func TestMembershipUnderAnyOrderOfEvents(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		cores, losses := 3+int(seed%3), 1
		t.Run(fmt.Sprint("seed ", seed, ", ", cores, " cores"), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 310+seed, cores, losses, func(is *is.I, f *replaceable) {
				draw := rand.New(rand.NewPCG(seed, 16))
				for range 12 {
					i := f.live[draw.IntN(len(f.live))]
					event := draw.IntN(6)
					t.Log("event ", event, " at core ", i+1)
					switch event {
					case 0: // planned
						f.start()
						f.end(i, true)
					case 1: // removed without a word, replaced later
						f.end(i, false)
						time.Sleep(time.Duration(draw.IntN(8000)) * time.Millisecond)
						f.start()
					case 2:
						f.wipe([]int{i}, draw.IntN(2) == 0)
					case 3: // restarted in order
						f.Terminate(i)
						time.Sleep(time.Duration(draw.IntN(8000)) * time.Millisecond)
						f.StartCore(i)
					case 4: // all at once
						f.wipe(nil, true)
					case 5:
						f.Net.Freeze(CoreIP(i), true)
						time.Sleep(time.Duration(draw.IntN(12000)) * time.Millisecond)
						f.Net.Freeze(CoreIP(i), false)
					}
					f.untilWhole(6 * time.Second)
					f.checkNothingLost(is)
				}
			})
		})
	}
}

// A program that is told to stop leaves the members by itself and then ends, within its limit; one whose disk stands still ends at the
// limit.
func TestStoppedProgramLeavesTheMembers(t *testing.T) {
	t.Parallel()
	for _, stalled := range []bool{false, true} {
		inReplaceable(t, 307, 4, 1, func(is *is.I, f *replaceable) {
			host, disk := f.host("core-5", CoreIP(4), "zone-1"), NewDisk()
			host.Bootstrapped, host.Seeds = true, f.Options.Founders
			options := f.Options.Core
			options.LeaveTimeout, options.ClaimRetention = 3*time.Second, time.Hour
			core := must(controlplane.New(host, disk.Open(), options))
			listener := must(host.Net.Listen(host.Address))
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- core.ServeUntilStopped(ctx, listener) }()
			f.Until(4*time.Second, "it has a vote", func() bool { return isReady(f.Fleet, 4) })
			listed := func() (count int) {
				a, err := f.Query(0, "members")
				is.NoErr(err)
				for _, row := range a.Rows {
					if row["state"] == "member" {
						count++
					}
				}
				return count
			}
			is.Equal(listed(), 5)
			if stalled {
				for i := range 4 {
					defer f.Disks[i].Stall()()
				}
			}
			began := time.Now()
			stop()
			is.NoErr(<-ended)
			is.True(time.Since(began) < 5*time.Second)
			if !stalled {
				is.Equal(listed(), 4)
				is.True(time.Since(began) < 2*time.Second)
			}
		})
	}
}
