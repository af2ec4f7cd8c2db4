package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/daemon"
)

// recoverLimit is how long after all machines are back the fleet may take to serve again.
const recoverLimit = 12 * time.Second

// replaceAllBut ends some machines without a word and then all others in order, one after the other, each after the empty one that takes its
// place has joined.
func (f *replaceable) replaceAllBut(away ...int) {
	for _, machine := range away {
		f.end(machine, false)
	}
	time.Sleep(6 * time.Second) // the others count them as lost
	for _, machine := range append([]int{}, f.live...) {
		f.start()
		f.end(machine, true)
		f.declareNext()
	}
}

// bringBack starts machines on the disks that they had when they ended.
func (f *replaceable) bringBack(machines ...int) {
	for _, machine := range machines {
		f.StartCore(machine)
		f.live = append(f.live, machine)
	}
}

// startAgent starts one more machine with an agent and a proxy, whose settings name these cores.
func (f *replaceable) startAgent(seeds ...int) int {
	f.AgentSeeds = nil
	for _, core := range seeds {
		f.AgentSeeds = append(f.AgentSeeds, At(CoreIP(core)))
	}
	f.Proxies = append(f.Proxies, nil)
	f.StartPair(len(f.Proxies) - 1)
	return len(f.Proxies) - 1
}

// untilAllServe waits until every proxy is ready.
func (f *replaceable) untilAllServe(t *testing.T) {
	t.Helper()
	t.Logf("all proxies are ready after %v", f.Until(recoverLimit, "all proxies are ready", f.AreReady))
}

// Guards against a core that was down while all others were replaced, and keeps to the list on its disk for ever: it is a member again, and
// the fleet recovers from a kill of all processes whatever place it has among the seeds.
func TestCoreBackAfterAllOthersWereReplaced(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cores, losses int
		away          []int
	}{{4, 1, []int{3}}, {5, 2, []int{4}}, {5, 2, []int{0}}, {5, 2, []int{3, 4}}} {
		for place := range 3 {
			t.Run(fmt.Sprint(c.cores, " cores, away ", c.away, ", seed ", place+1), func(t *testing.T) {
				t.Parallel()
				inReplaceable(t, 320, c.cores, c.losses, func(is *is.I, f *replaceable) {
					f.replaceAllBut(c.away...)
					f.bringBack(c.away...)
					t.Logf("whole after %v", f.untilWhole(recoverLimit))
					seeds := append([]int{}, f.live[:2]...)
					seeds = append(seeds[:place], append([]int{c.away[0]}, seeds[place:]...)...)
					f.startAgent(seeds...)
					f.untilAllServe(t)
					f.wipe(nil, true)
					f.Kill(ProxyIP(0))
					f.StartPair(0)
					f.untilAllServe(t)
					f.checkNothingLost(is)
				})
			})
		}
	}
}

// Guards against an agent that keeps to the first list that it was told: the core that told it was down while all others were replaced,
// and the others came later.
func TestAgentToldAnOutdatedListFindsThePresentOne(t *testing.T) {
	t.Parallel()
	for place := range 3 {
		t.Run(fmt.Sprint("seed ", place+1), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 321, 4, 1, func(is *is.I, f *replaceable) {
				f.replaceAllBut(3)
				present := append([]int{}, f.live...)
				for _, machine := range present {
					f.Kill(CoreIP(machine))
				}
				f.StartCore(3)
				seeds := append([]int{}, present[:2]...)
				f.startAgent(append(seeds[:place], append([]int{3}, seeds[place:]...)...)...)
				time.Sleep(3 * time.Second)
				for _, machine := range present {
					f.StartCore(machine)
				}
				f.untilAllServe(t)
				f.live = append(f.live, 3)
				f.checkNothingLost(is)
			})
		})
	}
}

// Guards against an agent that is suspended or partitioned while all cores are replaced, and asks only those that are gone: the other agents
// know the present list.
func TestAgentAwayWhileAllCoresWereReplaced(t *testing.T) {
	t.Parallel()
	for _, frozen := range []bool{true, false} {
		t.Run(fmt.Sprint("frozen ", frozen), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 322, 4, 1, func(is *is.I, f *replaceable) {
				away := ProxyIP(f.startAgent(0, 1, 2))
				f.startAgent(0, 1, 2)
				f.untilAllServe(t)
				time.Sleep(3 * time.Second) // the agents know of each other
				var others []string
				for core := range 9 {
					others = append(others, CoreIP(core))
				}
				others = append(others, ProxyIP(1))
				set := func(isAway bool) {
					if frozen {
						f.Net.Freeze(away, isAway)
						return
					}
					f.Net.PartitionGroups([]string{away}, others, isAway)
					f.Net.PartitionGroups(others, []string{away}, isAway)
				}
				set(true)
				f.replaceAllBut()
				set(false)
				f.untilAllServe(t)
			})
		})
	}
}

// Guards against an empty core that follows the outdated list of the first core that answers it, and is never admitted.
func TestNewCoreToldAnOutdatedListIsAdmitted(t *testing.T) {
	t.Parallel()
	inReplaceable(t, 323, 4, 1, func(is *is.I, f *replaceable) {
		f.replaceAllBut(3)
		present := append([]int{}, f.live...)
		for _, machine := range present {
			f.Kill(CoreIP(machine))
		}
		f.StartCore(3)
		joining := f.next
		f.next++
		f.Options.ChangeCoreHost = func(i int, host *daemon.Host) {
			host.Bootstrapped, host.Zone = true, fmt.Sprintf("zone-%d", i%4+1)
			host.Seeds = []string{At(CoreIP(3)), At(CoreIP(present[0])), At(CoreIP(present[1]))}
		}
		f.StartCore(joining)
		time.Sleep(3 * time.Second)
		for _, machine := range present {
			f.StartCore(machine)
		}
		f.live = append(f.live, 3, joining)
		f.checkNothingLost(is)
	})
}
