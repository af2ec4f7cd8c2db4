package rpc

import (
	"context"
	"time"
)

// Sleep waits, or gives the context's error if it ends before. No timer is made for a wait that is over already: one that is due when it is
// made can crash the race detector inside a synctest bubble (docs/results.md).
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

// Every calls run at each interval until the context ends. A call that takes longer than the interval delays the next one, which then begins
// at once.
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
