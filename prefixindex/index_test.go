package prefixindex

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPromptsShareBlocksWithinADomainUpToTheFirstDifference(t *testing.T) {
	is := is.New(t)
	sharedText := strings.Repeat("o", 4*FineSize)
	first := Blocks(Domain("shared", "w1"), sharedText+strings.Repeat("x", FineSize))
	second := Blocks(Domain("shared", "w1"), sharedText+strings.Repeat("y", FineSize)+"rest")
	is.Equal(len(first), 5)
	is.Equal(first[:4], second[:4]) // the same domain
	is.True(first[4] != second[4])
	for _, domain := range []string{Domain("shared.1", "w1"), Domain("shared", "w2"), Domain("tenant:a.1", "w1"), Domain("tenant:a.2", "w1")} {
		for i, block := range Blocks(domain, sharedText) {
			is.True(block != first[i]) // other scopes and other weights share no blocks
		}
	}
	is.Equal(len(Blocks("d", "short")), 0)
	long := strings.Repeat("l", 1<<20)
	blocks := Blocks("d", long)
	is.True(len(blocks) < 600) // small blocks, then large ones
	is.True(Covered(len(blocks)) > len(long)-CoarseSize && Covered(len(blocks)) <= len(long))
	is.Equal(len(Blocks("d", strings.Repeat("l", 9<<20))), MaxBlocks)
}

func blocks(keys ...string) (all []Block) {
	for _, key := range keys {
		all = append(all, Block{key, 1})
	}
	return all
}

// Each block has size 1 here, so the cached size is the number of leading blocks.
func TestIndexIsBoundedAndCountsLeadingBlocks(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	chain := blocks("a", "b", "c", "d")
	x.Add("r1", chain)
	x.Add("r2", chain[:2])
	x.Add("r3", blocks("b", "c")) // without the first block it is not a prefix
	is.Equal(x.Cached(chain), map[string]int{"r1": 4, "r2": 2})
	x.Forget("r1", []string{"b"}) // a late or lost report leaves a gap; blocks after it do not count
	is.Equal(x.Cached(chain), map[string]int{"r1": 1, "r2": 2})
	x.Forget("r2", nil)
	is.Equal(x.Cached(chain), map[string]int{"r1": 1})
	for i := range 1000 {
		x.Add("r4", blocks(fmt.Sprint(i)))
		x.Add("r4", blocks("kept")) // updated again and again
	}
	is.True(x.Len() <= 100)
	is.Equal(x.Cached(blocks("kept"))["r4"], 1) // entries that are updated outlive older ones
	is.Equal(x.Cached(blocks("a"))["r1"], 0)
	none := NewIndex(0)
	none.Add("r1", chain)
	is.Equal(none.Len(), 0)
}

// A block that is cached in part counts with the part, and the blocks after it do not count.
func TestCachedSizeEndsAtTheFirstIncompleteBlock(t *testing.T) {
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
