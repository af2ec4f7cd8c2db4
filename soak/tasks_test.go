package soak

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a race of the soak itself: a process starts again, and gets the signals that are meant for it, while the run waits for those
// of others. The race detector reports a sync.WaitGroup that is used so.
func TestTaskMayBeginWhileOthersAreAwaited(t *testing.T) {
	is := is.New(t)
	var pending tasks
	var ended atomic.Int64
	const count = 10000
	var both sync.WaitGroup
	both.Go(func() {
		for range count {
			pending.Go(func() {
				runtime.Gosched() // so that Wait finds it running
				ended.Add(1)
			})
		}
	})
	both.Go(func() {
		for range count {
			pending.Wait()
		}
	})
	both.Wait()
	pending.Wait()
	is.Equal(ended.Load(), int64(count))
}
