package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/daemon"
)

// replaceSeeds replaces all cores, and waits until the new ones know of the edge machines.
func (f *replaceable) replaceSeeds() {
	f.replaceAllBut()
	time.Sleep(6 * time.Second)
}

// killEdge ends an edge machine; it has no disk.
func (f *replaceable) killEdge(agent int) {
	f.Kill(ProxyIP(agent))
	f.AgentDisks[agent].Wipe()
}

// Guards against edge machines whose settings name only cores that were replaced: the present ones find them after a restart of all, and
// after a restart of one of them alone.
func TestAllSeedsOfAgentsAreGone(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 4} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprint(cores, " cores, alone ", alone), func(t *testing.T) {
				t.Parallel()
				inReplaceable(t, 502, cores, 1, func(is *is.I, f *replaceable) {
					f.startAgent(0, 1, 2)
					f.startAgent(0, 1, 2)
					f.untilAllServe(t)
					f.replaceSeeds()
					if alone {
						f.killEdge(0)
						time.Sleep(8 * time.Second) // the others count it as down
						f.StartPair(0)
					} else {
						f.killEdge(0)
						f.killEdge(1)
						f.wipe(nil, true)
						f.StartPair(0)
						f.StartPair(1)
					}
					f.untilAllServe(t)
					f.checkNothingLost(is)
				})
			})
		}
	}
}

// Guards against an edge machine and returned cores that know of outdated and gone cores only: the present cores find them.
func TestAllSeedsAreOutdated(t *testing.T) {
	t.Parallel()
	inReplaceable(t, 503, 5, 2, func(is *is.I, f *replaceable) {
		f.startAgent(0, 1, 2)
		f.untilAllServe(t)
		f.replaceAllBut(3, 4)
		f.killEdge(0)
		time.Sleep(8 * time.Second)
		f.Options.ChangeCoreHost = func(_ int, host *daemon.Host) {
			host.Bootstrapped, host.Seeds = true, []string{At(CoreIP(0)), At(CoreIP(1)), At(CoreIP(2))}
		}
		f.bringBack(3, 4)
		f.AgentSeeds = []string{At(CoreIP(3)), At(CoreIP(4))}
		f.StartPair(0)
		f.untilAllServe(t)
		t.Logf("whole after %v", f.untilWhole(recoverLimit))
		f.checkNothingLost(is)
	})
}
