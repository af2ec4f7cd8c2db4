package rpc_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/rpc"
)

// Calls come at each interval; one that takes longer delays the next, which begins at once, and the intervals count from there.
func TestEveryCallsAtEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		start := time.Now()
		var calls []time.Duration
		rpc.Every(ctx, time.Second, func() {
			calls = append(calls, time.Since(start))
			switch len(calls) {
			case 2:
				time.Sleep(2500 * time.Millisecond)
			case 4:
				stop()
			}
		})
		is.Equal(calls, []time.Duration{1000 * time.Millisecond, 2000 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond})
		is.Equal(time.Since(start), 5500*time.Millisecond) // it ends with the context
	})
}

// A wait that is over already takes no time, and tells whether the context has ended.
func TestSleepOfNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		start := time.Now()
		is.NoErr(rpc.Sleep(ctx, 0))
		is.NoErr(rpc.Sleep(ctx, -time.Second))
		stop()
		is.Equal(rpc.Sleep(ctx, 0), context.Canceled)
		is.Equal(rpc.Sleep(ctx, time.Hour), context.Canceled)
		is.Equal(time.Since(start), time.Duration(0))
	})
}
