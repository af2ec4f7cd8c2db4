package sim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var allLosses = flag.Bool("all-losses", false, "whether every combination of two lost or disturbed disks is played, instead of a third")

// catchUpTime is how long after its return a lost machine counts as lost.
const catchUpTime = 4 * time.Second

// loseFirstDisk has a machine lose its disk and come back empty, or go for good with an empty machine in its place at another address.
func (f *replaceable) loseFirstDisk(machine int, gone bool) {
	if !gone {
		f.wipe([]int{machine}, false)
		return
	}
	f.end(machine, false)
	time.Sleep(2 * time.Second)
	f.StartCore(f.next)
	f.live = append(f.live, f.next)
	f.next++
}

// others returns the other two or three of four machines: one that hangs on the variant, or all.
func others(machine, variant int) []int {
	all := []int{(machine + 1) % 4, (machine + 2) % 4, (machine + 3) % 4}
	if *allLosses {
		return all
	}
	return all[(machine+variant)%3 : (machine+variant)%3+1]
}

// Guards against a fleet of an even number of cores that stays without a majority for good: a second disk is lost when the first one's
// machine has had its time to catch up, but could not be admitted since the disk of a third one took no writes meanwhile.
func TestSecondDiskLostBeforeTheFirstCouldBeReplaced(t *testing.T) {
	t.Parallel()
	for variant := range 4 {
		gone, powerLost := variant&1 == 1, variant&2 == 2
		for first := range 4 {
			for _, stalled := range others(first, variant) {
				second := 0
				for second == first || second == stalled {
					second++
				}
				name := fmt.Sprintf("gone %v, power lost %v, disk %d, then %d, %d stalled", gone, powerLost, first+1, second+1, stalled+1)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					inReplaceable(t, 500, 4, 1, func(is *is.I, f *replaceable) {
						f.startAgent(0, 1, 2)
						f.startAgent(1, 2, 3)
						f.untilAllServe(t)
						release := f.Disks[stalled].Stall()
						f.loseFirstDisk(first, gone)
						time.Sleep(catchUpTime)
						f.loseAtTheEnd(second, powerLost, release)
						f.untilAllServe(t)
						f.checkNothingLost(is)
					})
				})
			}
		}
	}
}

// loseAtTheEnd has a machine lose its disk while all others, edge machines too, lose power if that is said. The trouble of another disk
// ends with it. All are back a second later; the settings of the edge machines name cores that run.
func (f *replaceable) loseAtTheEnd(machine int, powerLost bool, endTrouble func()) {
	endTrouble()
	if powerLost {
		for agent := range f.Proxies {
			f.Kill(ProxyIP(agent))
		}
	}
	f.wipe([]int{machine}, powerLost)
	if powerLost {
		f.AgentSeeds = nil
		for _, core := range f.live[:3] {
			f.AgentSeeds = append(f.AgentSeeds, At(CoreIP(core)))
		}
		for agent := range f.Proxies {
			f.StartPair(agent)
		}
	}
}

// Guards against a fleet that serves nobody for as long as one disk takes no writes, after another disk was lost right after a change that
// only just a majority had accepted; among others where the core with that disk is the one that has to mend the list, or to settle a change.
func TestDiskLostWhileAnotherTakesNoWrites(t *testing.T) {
	t.Parallel()
	for lost := range 4 {
		for variant := range 4 {
			powerLost, stalled := variant&1 == 1, variant&2 == 2
			for _, disturbed := range others(lost, variant) {
				t.Run(fmt.Sprintf("disk %d lost, %d disturbed, stalled %v, power lost %v", lost+1, disturbed+1, stalled, powerLost), func(t *testing.T) {
					t.Parallel()
					inReplaceable(t, 501, 4, 1, func(is *is.I, f *replaceable) {
						f.startAgent(0, 1, 2)
						f.startAgent(1, 2, 3)
						f.untilAllServe(t)
						release := f.refuseWrites(disturbed, stalled)
						f.declareAt(lost)
						f.loseAtTheEnd(lost, powerLost, func() {})
						f.untilAllServe(t)
						for core := range 4 {
							if core != disturbed {
								f.untilNewestShown(core)
							}
						}
						release()
						f.checkNothingLost(is)
					})
				})
			}
		}
	}
}

// refuseWrites lets a core's disk stall, or be full, until it is released.
func (f *replaceable) refuseWrites(core int, stalled bool) (release func()) {
	if stalled {
		return f.Disks[core].Stall()
	}
	f.Disks[core].Fill(true)
	return func() { f.Disks[core].Fill(false) }
}

// untilNewestShown waits until a core shows the newest configuration.
func (f *replaceable) untilNewestShown(core int) {
	f.Until(recoverLimit, fmt.Sprintf("core-%d shows the newest configuration", core+1), func() bool {
		number, _, err := f.declared(core)
		return err == nil && number == f.number
	})
}

// declareAt has a core take one more configuration.
func (f *replaceable) declareAt(core int) {
	path := fmt.Sprint("p", f.number+1)
	f.declare(core, numbered(f.number+1, f.number, f.number == 0, path))
	f.number++
	f.paths = append(f.paths, path)
}
