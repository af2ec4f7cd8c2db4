package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/watch"
)

// The core that reads a source is killed: another one takes over and reads all anew; when the first returns, there is one reader again.
func TestReadingIsHandedOver(t *testing.T) {
	t.Parallel()
	keeping(t, 231, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/s": 100})
		first, err := b.reader(storeAt, nil)
		is.NoErr(err)
		f.Kill(CoreIP(first))
		time.Sleep(200 * time.Millisecond)
		before := b.readTimes(storeAt)
		b.keep(storeAt, 7, map[string]int{"d/s": 40, "d/new": 3})
		took := untilKept(f, agents, 6*time.Second, theStore, map[string]int{"d/s": 40, "d/new": 3})
		t.Logf("handed over within %v", took)
		second, err := b.reader(storeAt, before)
		is.NoErr(err)
		is.True(second != first)
		f.StartCore(first)
		time.Sleep(10 * time.Second)
		before = b.readTimes(storeAt)
		b.keep(storeAt, 7, map[string]int{"d/new": 4})
		time.Sleep(10 * time.Second)
		third, err := b.reader(storeAt, before)
		is.NoErr(err)
		is.Equal(third, first) // the choice is the same as before
		for _, agent := range agents {
			remaining, up := keptAt(agent, theStore)
			is.True(up)
			is.Equal(remaining["d/new"], 4)
		}
	})
}

// What comes while the cores have changed the reader already, and the agents have not yet, is not lost: in the end they have what there is.
func TestNewsDuringAHandOverAreNotLost(t *testing.T) {
	t.Parallel()
	keeping(t, 234, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/s": 100})
		first, err := b.reader(storeAt, nil)
		is.NoErr(err)
		var others []string
		for i := range 3 {
			if i != first {
				others = append(others, CoreIP(i))
			}
		}
		f.Net.PartitionGroups([]string{CoreIP(first)}, others, true) // the agents reach it still
		f.Net.PartitionGroups(others, []string{CoreIP(first)}, true)
		time.Sleep(5 * time.Second) // another core reads too
		f.Kill(CoreIP(first))
		b.keep(storeAt, 7, map[string]int{"d/s": 40, "d/new": 3})
		untilKept(f, agents, 10*time.Second, theStore, map[string]int{"d/s": 40, "d/new": 3})
	})
}
