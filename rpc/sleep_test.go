package rpc_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/rpc"
)

// Every calls its function once per interval. After a call that takes longer, the next one starts at once and the intervals count from there.
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
		is.Equal(time.Since(start), 5500*time.Millisecond) // Every returns when the context ends
	})
}

// A zero or negative wait returns at once, and reports whether the context has ended.
func TestSleepWithoutDurationReturnsAtOnce(t *testing.T) {
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
