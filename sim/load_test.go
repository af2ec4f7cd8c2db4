package sim

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/standin"
)

// Prompts whose shared part is longer than any that the index once saw are led to the replicas that keep the most of them.
func TestVeryLongPromptsFindTheirCache(t *testing.T) {
	t.Parallel()
	o := options(120)
	o.Replica.Rate, o.Replica.Blocks = 1000, 600 // room for three or four of the eight sessions
	inBubble(t, o, func(is *is.I, f *Fleet) {
		all := f.record(standin.Load, standin.LoadOptions{Callers: callers, Count: 500, Rate: 25, Seed: 120, Prefix: "long", Heavy: 300_000})
		anew, size := 0, 0
		for _, r := range f.Ledgers.Runs {
			if r.HasRun && r.IsWhole && r.Size > 100_000 {
				anew += r.Size - r.Hit
				size += r.Size
			}
		}
		t.Logf("%s; of very long prompts %.4f read anew", standin.Summary(all), float64(anew)/float64(size))
		is.True(anew < size*42/100) // 45 in a hundred when the index saw the first 64 kB only
		noBreach(is, f)
	})
}
