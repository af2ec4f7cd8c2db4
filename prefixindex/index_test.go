package prefixindex

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestChainsMeetOnlyWithinADomainAndUpToTheFirstDifference(t *testing.T) {
	is := is.New(t)
	opening := strings.Repeat("o", 4*FineSize)
	one := Blocks(Domain("a", 1, false, "w1"), opening+strings.Repeat("x", FineSize))
	two := Blocks(Domain("b", 1, false, "w1"), opening+strings.Repeat("y", FineSize)+"rest")
	is.Equal(len(one), 5)
	is.Equal(one[:4], two[:4]) // the common domain
	is.True(one[4] != two[4])
	for _, domain := range []string{Domain("a", 1, true, "w1"), Domain("a", 1, false, "w2"), Domain("b", 1, true, "w1"), Domain("a", 2, true, "w1")} {
		for i, block := range Blocks(domain, opening) {
			is.True(block != one[i]) // behind a wall, or under other weights, nothing is shared
		}
	}
	is.Equal(len(Blocks("d", "short")), 0)
	long := strings.Repeat("l", 1<<20)
	blocks := Blocks("d", long)
	is.True(len(blocks) < 600) // fine ones, then coarse ones
	is.True(Covered(len(blocks)) > len(long)-CoarseSize && Covered(len(blocks)) <= len(long))
	is.Equal(len(Blocks("d", strings.Repeat("l", 9<<20))), MaxBlocks)
}

func blocks(keys ...string) (all []Block) {
	for _, key := range keys {
		all = append(all, Block{key, 1})
	}
	return all
}

// Counts leading blocks, as before; a block now has a size, here 1 each.
func TestIndexIsBoundedAndCountsLeadingBlocks(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	chain := blocks("a", "b", "c", "d")
	x.Add("r1", chain)
	x.Add("r2", chain[:2])
	x.Add("r3", blocks("b", "c")) // without the first it is no prefix
	is.Equal(x.Cached(chain), map[string]int{"r1": 4, "r2": 2})
	x.Forget("r1", []string{"b"}) // late or lost news: what follows a gap does not count
	is.Equal(x.Cached(chain), map[string]int{"r1": 1, "r2": 2})
	x.Forget("r2", nil)
	is.Equal(x.Cached(chain), map[string]int{"r1": 1})
	for i := range 1000 {
		x.Add("r4", blocks(fmt.Sprint(i)))
		x.Add("r4", blocks("kept")) // renewed again and again
	}
	is.True(x.Len() <= 100)
	is.Equal(x.Cached(blocks("kept"))["r4"], 1) // what is renewed outlives what is old
	is.Equal(x.Cached(blocks("a"))["r1"], 0)
	none := NewIndex(0)
	none.Add("r1", chain)
	is.Equal(none.Len(), 0)
}

// A part of which only the beginning is kept counts with that, and what follows it does not count.
func TestPartsCountBySizeUpToTheFirstThatIsNotWhole(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	chain := []Block{{"s/a", 800}, {"s/b", 410}, {"s/c", 250}}
	x.Add("r1", chain)
	x.Update("r2", "s/a", 800)
	x.Update("r2", "s/b", 128)
	x.Add("r2", chain[2:])
	x.Update("r3", "s/a", 16)
	is.Equal(x.Cached(chain), map[string]int{"r1": 1460, "r2": 928, "r3": 16})
	x.Update("r1", "s/b", 0) // Complete
	x.Forget("r1", []string{"s/a"})
	is.Equal(x.Cached(chain), map[string]int{"r2": 928, "r3": 16})
}
