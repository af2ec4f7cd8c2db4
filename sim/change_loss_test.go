package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/rendezvous"
)

// A loss at each step of a change of members: the disk of a core is lost so long after the change began, in steps that are finer than a
// write of the list. Slow disks spread the steps out.
func TestLossAtEachStepOfAChange(t *testing.T) {
	t.Parallel()
	changes := map[string]func(f *replaceable){
		"admit":  func(f *replaceable) { f.StartCore(f.next); f.live = append(f.live, f.next); f.next++ },
		"leave":  func(f *replaceable) { f.start(); time.Sleep(time.Second); go f.Terminate(0); f.live = f.live[1:] },
		"retire": func(f *replaceable) { f.end(0, false); time.Sleep(4500 * time.Millisecond) },
		"emptied": func(f *replaceable) {
			f.Kill(CoreIP(0))
			f.Disks[0].Wipe()
			f.StartCore(0)
		},
	}
	for _, c := range []struct{ cores, losses, steps int }{{5, 1, 4}, {7, 2, 1}} { // the change itself may cost one, and the losses come on top
		for name, change := range changes {
			for _, slowness := range []int{1, slowed} {
				t.Run(fmt.Sprint(name, ", ", c.cores, " cores, ", c.losses, " lost, disks slowed ", slowness), func(t *testing.T) {
					t.Parallel()
					for step := range c.steps {
						inReplaceable(t, 330+uint64(step), c.cores, c.losses, func(is *is.I, f *replaceable) {
							for _, d := range f.Disks {
								d.Slow(diskTime * time.Duration(slowness))
							}
							change(f)
							time.Sleep(time.Duration(step*slowness) * 40 * time.Millisecond)
							f.wipe(f.victims(c.losses), false)
							f.untilWhole(40 * time.Second)
							f.checkNothingLost(is)
						})
					}
				})
			}
		}
	}
}

// victims are members that are neither the first nor the newest of those that run: the one that leads changes of the list, and others.
func (f *replaceable) victims(howMany int) (machines []int) {
	names := map[string]int{}
	var live []string
	for _, i := range f.live {
		name := fmt.Sprintf("core-%d", i+1)
		names[name] = i
		live = append(live, name)
	}
	leader := names[rendezvous.Pick(config.MembersKey, live)]
	machines = append(machines, leader)
	for _, i := range f.live[1 : len(f.live)-1] {
		if len(machines) < howMany && i != leader {
			machines = append(machines, i)
		}
	}
	return machines
}
