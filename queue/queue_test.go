package queue

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
)

// creditPool has a number of free credits and counts the calls of Pick.
type creditPool struct {
	mu           sync.Mutex
	free         int
	picks        int
	until        time.Time
	releaseDelay time.Duration
}

func (p *creditPool) queue() *Queue[int] {
	return New(Options[int]{
		Pick: func(*Item) (int, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.picks++
			if p.free == 0 {
				return 0, false
			}
			p.free--
			return 1, true
		},
		Return: func(int) { p.release() },
		NotBefore: func(scope string) time.Time {
			p.mu.Lock()
			defer p.mu.Unlock()
			if scope == "held" {
				return p.until
			}
			return time.Time{}
		},
		ReleaseDelay: func(string) time.Duration { return p.releaseDelay },
	})
}

func (p *creditPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free++
}

func newItem(tenant, weight, cost int, scope string) *Item {
	return &Item{Tenant: tenant, Pool: 1, Weight: weight, Cost: cost, Limit: 1000, Scope: scope}
}

// Three tenants, one with double weight and one with requests of higher cost: the total cost granted to each is proportional to its weight.
func TestSharesFollowWeightAndCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits := &creditPool{free: 2}
		q := credits.queue()
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		granted := map[int]int{}
		submit := func(tenant, weight, cost int) {
			for range 200 {
				go func() {
					item := newItem(tenant, weight, cost, "")
					if _, err := q.Take(ctx, item); err != nil {
						return
					}
					mu.Lock()
					granted[tenant] += cost
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
					credits.release()
					q.Wake(1)
				}()
			}
		}
		submit(1, 1, 1)
		submit(2, 2, 1)
		submit(3, 1, 4)
		time.Sleep(600 * time.Millisecond)
		stop()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		t.Log("cost given by tenant:", granted)
		is.True(granted[2] > granted[1]*17/10 && granted[2] < granted[1]*23/10)
		is.True(granted[3] > granted[1]*7/10 && granted[3] < granted[1]*13/10)
	})
}

func TestWaitingItemsCauseNoPicksAndFullQueueRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits := &creditPool{}
		q := credits.queue()
		for range 3 {
			go func() {
				item := newItem(1, 1, 1, "")
				item.Limit = 3
				short, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				_, err := q.Take(short, item)
				is.True(apierror.Is(err, apierror.Stale))
			}()
		}
		synctest.Wait()
		pickCount := func() int {
			credits.mu.Lock()
			defer credits.mu.Unlock()
			return credits.picks
		}
		before, began := pickCount(), time.Now()
		full := newItem(1, 1, 1, "")
		full.Limit = 3
		_, err := q.Take(t.Context(), full)
		is.True(apierror.Is(err, apierror.QueueFull))
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
		is.Equal(pickCount(), before) // Pick was not called while the items waited
		is.Equal(len(q.Depths()), 0)
	})
}

func TestThrottledFlowRampsUpAndReturningItemKeepsPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits := &creditPool{free: 100, until: time.Now().Add(5 * time.Second), releaseDelay: 200 * time.Millisecond}
		q := credits.queue()
		began := time.Now()
		var mu sync.Mutex
		var order []int
		var times []time.Duration
		var all sync.WaitGroup
		take := func(n int, item *Item) {
			all.Go(func() {
				_, err := q.Take(t.Context(), item)
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				order, times = append(order, n), append(times, time.Since(began))
			})
			synctest.Wait()
		}
		first := newItem(1, 1, 1, "held")
		first.position = 1 // it had entered before, and enters again after the others
		q.lastPosition = 1
		for n := 2; n <= 8; n++ {
			take(n, newItem(1, 1, 1, "held"))
		}
		take(1, first)
		take(99, newItem(2, 1, 1, "free"))
		all.Wait()
		is.Equal(order[0], 99) // another tenant is not throttled
		is.Equal(times[0], time.Duration(0))
		is.Equal(order[1], 1)
		is.Equal(times[1], 5200*time.Millisecond) // the end of the throttle plus the release delay
		is.Equal(times[2], 5300*time.Millisecond)
		is.Equal(times[3], 5400*time.Millisecond)
		is.Equal(times[8], 5500*time.Millisecond)
	})
}

// A throttle that is extended beyond a waiting request's deadline ends its wait at once, with the time after which to retry. The other requests
// keep waiting.
func TestThrottleBeyondDeadlineEndsWaitAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits := &creditPool{free: 10, until: time.Now().Add(2 * time.Second)}
		q := credits.queue()
		began := time.Now()
		var all sync.WaitGroup
		for _, wait := range []time.Duration{4 * time.Second, time.Minute} {
			all.Go(func() {
				item := newItem(1, 1, 1, "held")
				item.Deadline = began.Add(wait)
				ctx, stop := context.WithDeadline(t.Context(), item.Deadline)
				defer stop()
				_, err := q.Take(ctx, item)
				if wait == time.Minute {
					is.NoErr(err)
					return
				}
				is.True(apierror.Is(err, apierror.Throttled))
				is.Equal(time.Since(began), time.Second) // when the throttle was extended, not at the deadline
				is.Equal(apierror.Of(err).Again, 9*time.Second)
			})
		}
		time.Sleep(time.Second)
		credits.mu.Lock()
		credits.until = began.Add(10 * time.Second)
		credits.mu.Unlock()
		q.WakeAll()
		all.Wait()
		is.True(time.Since(began) >= 10*time.Second)
	})
}

// A full queue tells its callers when it will have drained at the recent rate of grants, and adds the remaining time of a throttle.
func TestFullQueueReportsDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits, throttledUntil := 1, time.Time{}
		q := New(Options[int]{
			Pick:   func(*Item) (int, bool) { credits--; return 0, credits >= 0 },
			Return: func(int) {}, NotBefore: func(string) time.Time { return throttledUntil }, ReleaseDelay: func(string) time.Duration { return 0 },
		})
		ctx, stop := context.WithCancel(context.Background())
		for range 60 {
			go func() { _, _ = q.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1}) }()
		}
		synctest.Wait()
		for range 30 { // two grants a second; each is replaced by a new request
			time.Sleep(500 * time.Millisecond)
			credits = 1
			q.Wake(0)
			go func() { _, _ = q.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1}) }()
			synctest.Wait()
		}
		retryAfter := func() time.Duration {
			_, err := q.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1})
			is.True(apierror.Is(err, apierror.QueueFull))
			return apierror.Of(err).Again.Round(time.Second)
		}
		is.Equal(retryAfter(), 20*time.Second) // 40 are waiting, two are granted per second
		throttledUntil = time.Now().Add(30 * time.Second)
		is.Equal(retryAfter(), 50*time.Second)
		stop()
	})
}
