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

// A core that was never told of the first list does not found the fleet anew with others whose disks are empty since: they may have been
// members, and others may be still.
func TestFleetIsNotFoundedAnewWithEmptyDisks(t *testing.T) {
	t.Parallel()
	for emptied := range 3 {
		o := numberedOptions(261, 3)
		o.ChangeCoreHost = func(i int, p *daemon.Host) { p.Bootstrapped = i == emptied }
		inNumbered(t, o, func(is *is.I, f *Fleet) {
			time.Sleep(30 * time.Second)
			for i := range 3 {
				is.True(!isReady(f, i))
			}
		})
	}
}
