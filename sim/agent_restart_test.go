package sim

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
)

// An agent that has heard less than a majority since its start has part of the registers at the most. Its proxy may know all of them from the
// agent's life before, and must not be led back: it is told nothing until the agent has them.
func TestAgentTellsItsProxyNothingInPart(t *testing.T) {
	t.Parallel()
	inBubble(t, options(311), func(is *is.I, f *Fleet) {
		var most []string // all cores but one
		for core := 1; core < f.Options.Cores; core++ {
			most = append(most, CoreIP(core))
		}
		cutOff := func(cut bool) {
			f.Net.PartitionGroups(most, []string{ProxyIP(0)}, cut)
			f.Net.PartitionGroups([]string{ProxyIP(0)}, most, cut)
		}
		cutOff(true)
		f.StartPair(0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		proxy := f.follow(ctx, ProxyIP(0)+":7001", "/agent/pull")
		time.Sleep(5 * time.Second)
		is.True(proxy.FreshAt().IsZero()) // no answer: one core is no majority
		cutOff(false)
		f.Until(10*time.Second, "the agent answers", func() bool { return !proxy.FreshAt().IsZero() })
		is.True(slices.Contains(proxy.Keys(), config.Key))
	})
}
