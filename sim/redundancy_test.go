package sim

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/controlplane"
	"asterridge/lease"
)

const (
	diskTime = 10 * time.Millisecond // of one file on the given deployments: two syncs of 5 ms
	slowed   = 25                    // times as slow, in trouble
)

// fill makes registers until there are so many keys.
func (f *replaceable) fill(keys int) {
	var all sync.WaitGroup
	space := make(chan struct{}, 50)
	for i := range keys - len(must(f.Query(0, "owners")).Rows) {
		space <- struct{}{}
		all.Go(func() {
			defer func() { <-space }()
			must(f.Order(f.live[i%len(f.live)], "term", controlplane.LeaseRequest{Role: fmt.Sprint("duty-", i), Grant: lease.Grant{Holder: "nobody"}}))
		})
	}
	all.Wait()
}

// isRedundant says whether all that run are members and have all keys in the same version.
func (f *replaceable) isRedundant() bool {
	if members(f.membership()) != f.names() {
		return false
	}
	newest := f.versions(f.live[0])
	return newest != nil && !slices.ContainsFunc(f.live, func(i int) bool { return !maps.Equal(newest, f.versions(i)) })
}

// versions gives the version of each key at a core; nil if it does not answer.
func (f *replaceable) versions(core int) map[any]any {
	a, err := f.Query(core, "owners")
	if err != nil {
		return nil
	}
	all := map[any]any{}
	for _, row := range a.Rows {
		if row["version"] != 0.0 { // else nothing has been written
			all[row["key"]] = row["version"]
		}
	}
	return all
}

// From a core's empty start, at its own address or for one that is gone, until all keys are on all members: within the time that the given
// deployments have for it.
func TestTimeToFullRedundancy(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cores, losses, keys, slowness int
		bound                         time.Duration
	}{
		{4, 1, 70, 1, 4 * time.Second}, {4, 1, 1000, 1, 4 * time.Second}, {8, 2, 70, 1, 6 * time.Second}, {8, 2, 1000, 1, 6 * time.Second},
		{4, 1, 70, slowed, time.Minute}, {4, 1, 1000, slowed, time.Minute},
	} {
		if c.keys*c.slowness*c.cores > 10000 && !*isLarge { // minutes of processor time; the figures in docs/results.md are from it
			continue
		}
		for _, elsewhere := range []bool{false, true} {
			t.Run(fmt.Sprint(c, " elsewhere ", elsewhere), func(t *testing.T) {
				t.Parallel()
				inReplaceable(t, 320, c.cores, c.losses, func(is *is.I, f *replaceable) {
					f.fill(c.keys)
					for i := range c.cores {
						f.Disks[i].Slow(diskTime * time.Duration(c.slowness))
					}
					f.Kill(CoreIP(0))
					time.Sleep(time.Second)
					began := time.Now()
					if elsewhere {
						f.end(0, false)
						f.Disks = append(f.Disks, NewDisk())
						f.Disks[f.next].Slow(diskTime * time.Duration(c.slowness))
						f.StartCore(f.next)
						f.live = append(f.live, f.next)
					} else {
						f.Disks[0].Wipe()
						f.StartCore(0)
					}
					f.Until(c.bound, "all keys are on all members", f.isRedundant)
					t.Logf("%d cores, %d keys, disks of %v a file, elsewhere %v: %v", c.cores, c.keys, diskTime*time.Duration(c.slowness), elsewhere, time.Since(began))
					f.checkNothingLost(is)
				})
			})
		}
	}
}
