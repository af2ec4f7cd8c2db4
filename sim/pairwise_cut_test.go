package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// partition is a way in which two cores lose each other while all others hear both.
type partition struct {
	name     string
	separate func(f *Fleet, a, b string, apart bool)
}

var pairwisePartitions = []partition{
	{"both ways", func(f *Fleet, a, b string, apart bool) { f.Net.PartitionGroups([]string{a}, []string{b}, apart) }},
	{"one way", func(f *Fleet, a, b string, apart bool) { f.Net.setPartitioned(a, b, apart) }},
	{"the other way", func(f *Fleet, a, b string, apart bool) { f.Net.setPartitioned(b, a, apart) }},
}

// Two members cannot hear each other, and all others hear both: neither is taken off the list, for however long, since a majority has not
// missed either. Changes are taken all the while; a further member that is lost right after is borne as ever, and the fleet is whole after it.
func TestMembersThatCannotHearEachOtherStayMembers(t *testing.T) {
	t.Parallel()
	for n, partition := range pairwisePartitions {
		for _, cores := range []int{4, 5} {
			for other := 1; other < cores; other++ {
				t.Run(fmt.Sprint(partition.name, cores, other), func(t *testing.T) {
					t.Parallel()
					inNumbered(t, numberedOptions(uint64(500+20*n+cores+other), cores), func(is *is.I, f *Fleet) {
						all := strings.Fields("core-1 core-2 core-3 core-4 core-5")[:cores]
						f.Until(15*time.Second, "the fleet is whole", func() bool { return members(f.membership()) == strings.Join(all, " ") })
						f.declare(0, numbered(1, 0, true, "a"))
						partition.separate(f, CoreIP(0), CoreIP(other), true)
						hearer := 1 + other%(cores-1) // hears both
						for second := range 20 {
							time.Sleep(time.Second)
							is.Equal(f.listed(hearer), all)
							f.declare(hearer, numbered(uint64(second+2), uint64(second+1), false, fmt.Sprint("p", second)))
						}
						partition.separate(f, CoreIP(0), CoreIP(other), false)
						lost := cores - hearer // any
						if lost == 0 || lost == hearer {
							lost = other
						}
						f.Kill(CoreIP(lost)) // right after
						f.declare(hearer, numbered(50, 21, false, "later"))
						f.StartCore(lost)
						f.Until(10*time.Second, "the fleet is whole again", func() bool { return members(f.membership()) == strings.Join(all, " ") })
					})
				})
			}
		}
	}
}

// listed names the members as one core has them.
func (f *Fleet) listed(core int) []string {
	var names []string
	for _, m := range f.core(core).Membership().Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}
