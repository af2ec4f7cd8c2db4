package prompt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestChainsMeetOnlyWithinADomainAndUpToTheFirstDifference(t *testing.T) {
	is := is.New(t)
	opening := strings.Repeat("o", 4*Fine)
	one := Blocks(Domain("a", 1, false, "w1"), opening+strings.Repeat("x", Fine))
	two := Blocks(Domain("b", 1, false, "w1"), opening+strings.Repeat("y", Fine)+"rest")
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
	is.True(Covered(len(blocks)) > len(long)-Coarse && Covered(len(blocks)) <= len(long))
	is.Equal(len(Blocks("d", strings.Repeat("l", 9<<20))), MostBlocks)
}

func TestIndexIsBoundedAndCountsLeadingBlocks(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	chain := []string{"a", "b", "c", "d"}
	x.Learn("r1", chain)
	x.Learn("r2", chain[:2])
	x.Learn("r3", []string{"b", "c"}) // without the first it is no prefix
	is.Equal(x.Kept(chain), map[string]int{"r1": 4, "r2": 2})
	x.Forget("r1", []string{"b"}) // late or lost news: what follows a gap does not count
	is.Equal(x.Kept(chain), map[string]int{"r1": 1, "r2": 2})
	x.Forget("r2", nil)
	is.Equal(x.Kept(chain), map[string]int{"r1": 1})
	for i := range 1000 {
		x.Learn("r4", []string{fmt.Sprint(i)})
		x.Learn("r4", []string{"kept"}) // renewed again and again
	}
	is.True(x.Len() <= 100)
	is.Equal(x.Kept([]string{"kept"})["r4"], 1) // what is renewed outlives what is old
	is.Equal(x.Kept([]string{"a"})["r1"], 0)
	none := NewIndex(0)
	none.Learn("r1", chain)
	is.Equal(none.Len(), 0)
}
