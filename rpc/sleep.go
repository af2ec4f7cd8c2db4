package rpc

import (
	"context"
	"time"
)

// Sleep waits for d, or returns the context's error if the context ends first. It creates no timer if d is zero or negative: a timer that is
// already due when it is created can crash the race detector inside a synctest bubble (docs/results.md).
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls run once per interval until the context ends. After a call that takes longer than the interval, the next one starts at once.
func Every(ctx context.Context, interval time.Duration, run func()) {
	next := time.Now().Add(interval)
	for Sleep(ctx, time.Until(next)) == nil {
		run()
		next = next.Add(interval)
		if now := time.Now(); next.Before(now) {
			next = now
		}
	}
}
