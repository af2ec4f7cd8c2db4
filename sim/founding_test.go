package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/daemon"
)

// All cores are killed while they found the fleet, at any moment from their first write on, and started again as those of a fleet that was started before: their
// disks tell that they are from its first start, so they go on and found it.
func TestFoundersKilledBeforeTheirFirstListFoundTheFleet(t *testing.T) {
	t.Parallel()
	for after := 50 * time.Millisecond; after <= 850*time.Millisecond; after += 100 * time.Millisecond {
		later := false
		o := numberedOptions(260, 3)
		o.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = later }
		inNumbered(t, o, func(_ *is.I, f *Fleet) {
			time.Sleep(after)
			later = true
			for i := range 3 {
				f.Kill(CoreIP(i))
			}
			for i := range 3 {
				f.StartCore(i)
			}
			f.untilMembership(10*time.Second, "core-1 core-2 core-3")
			f.declare(0, numbered(1, 0, true, "a"))
		})
	}
}

// A core that was never told of the first list does not found the fleet anew with two others whose disks are empty since: these may have been
// the members that founded it, and others that they admitted may be still.
func TestFleetIsNotFoundedAnewWithEmptyDisks(t *testing.T) {
	t.Parallel()
	for untold := range 3 {
		o := numberedOptions(261, 3)
		o.ChangeCoreHost = func(i int, p *daemon.Host) { p.Bootstrapped = i != untold }
		inNumbered(t, o, func(is *is.I, f *Fleet) {
			time.Sleep(30 * time.Second)
			for i := range 3 {
				is.True(!isReady(f, i))
			}
		})
	}
}

// A founder loses its disk before the first list stands, whichever it is and whether it had met the others: the other two found the fleet with
// what stands in its place. Where two of three lose their disks nobody founds anything.
func TestFounderThatLosesItsDiskBeforeTheFirstListIsOnIt(t *testing.T) {
	t.Parallel()
	for lost := range 3 {
		for _, met := range []bool{false, true} {
			for _, two := range []bool{false, true} {
				later := false
				o := numberedOptions(uint64(550+lost), 3)
				o.Proxies = 0
				o.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = later }
				inNumbered(t, o, func(is *is.I, f *Fleet) {
					other := (lost + 1) % 3
					f.Kill(CoreIP(other)) // so that the list cannot stand yet
					if !met {
						f.Kill(CoreIP(lost))
					}
					time.Sleep(2 * time.Second)
					later = true
					f.Kill(CoreIP(lost))
					f.Disks[lost].Wipe()
					f.StartCore(lost)
					if two {
						f.Disks[other].Wipe()
						f.StartCore(other)
						time.Sleep(20 * time.Second)
						for i := range 3 {
							is.True(!isReady(f, i))
						}
						return
					}
					later = false // it starts for the first time, or again
					f.StartCore(other)
					f.untilMembership(10*time.Second, "core-1 core-2 core-3")
					f.declare(lost, numbered(1, 0, true, "a"))
				})
			}
		}
	}
}
