package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/rendezvous"
)

// ownerAmong gives the core that a register is drawn to while that many live.
func ownerAmong(key string, cores int) (owner int) {
	var names []string
	for i := range cores {
		names = append(names, fmt.Sprintf("core-%d", i+1))
	}
	_, _ = fmt.Sscanf(rendezvous.Pick(key, names), "core-%d", &owner)
	return owner - 1
}

// The owner of the configuration hears only one of the others, which hears it and passes orders on to it. Once it has noticed, every order and
// read at any core is answered with a yes within the second that operators wait, the cut-off owner's own included until it is removed; never is
// one answered 301 or 302 again and again.
func TestOwnerWithoutAMajorityIsPassedOver(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{4, 5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(cores, " cores, seed ", seed), func(t *testing.T) {
				t.Parallel()
				inNumbered(t, numberedOptions(540+seed, cores), func(is *is.I, f *Fleet) {
					f.Until(15*time.Second, "the fleet is whole", func() bool { return (&operators{Fleet: f}).isFull() })
					f.declare(0, numbered(1, 0, true, "a"))
					owner := ownerAmong(config.Key, cores)
					hearer := (owner + 1 + int(seed)%(cores-1)) % cores
					for i := range cores {
						if i != owner && i != hearer {
							f.Net.PartitionGroups([]string{CoreIP(owner)}, []string{CoreIP(i)}, true)
						}
					}
					time.Sleep(2 * time.Second) // the silence is noticed
					number := uint64(1)
					for range 5 {
						for i := range cores {
							ctx, stop := context.WithTimeout(context.Background(), time.Second)
							err := f.core(i).SubmitConfig(ctx, numbered(number+1, number, false, fmt.Sprint("p", number)))
							stop()
							if i == owner && apierror.Is(err, apierror.NoMember) {
								continue // a majority has missed it for so long that it is removed: nothing was done
							}
							is.NoErr(err)
							number++
							read, _, err := f.declared(i)
							is.NoErr(err)
							is.Equal(read, number)
						}
						time.Sleep(time.Second)
					}
				})
			})
		}
	}
}
