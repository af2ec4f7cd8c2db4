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

// desk has a number of credits, and counts how often it is asked.
type desk struct {
	mu           sync.Mutex
	free         int
	picks        int
	until        time.Time
	releaseDelay time.Duration
}

func (d *desk) queue() *Queue[int] {
	return New(Options[int]{
		Pick: func(*Item) (int, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.picks++
			if d.free == 0 {
				return 0, false
			}
			d.free--
			return 1, true
		},
		Return: func(int) { d.back() },
		NotBefore: func(scope string) time.Time {
			d.mu.Lock()
			defer d.mu.Unlock()
			if scope == "held" {
				return d.until
			}
			return time.Time{}
		},
		ReleaseDelay: func(string) time.Duration { return d.releaseDelay },
	})
}

func (d *desk) back() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free++
}

func item(tenant, weight, cost int, scope string) *Item {
	return &Item{Tenant: tenant, Pool: 1, Weight: weight, Cost: cost, Limit: 1000, Scope: scope}
}

// Two tenants with work of different cost, one of double weight: what each is given follows weight and cost.
func TestSharesFollowWeightAndCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &desk{free: 2}
		b := d.queue()
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		given := map[int]int{}
		work := func(tenant, weight, cost int) {
			for range 200 {
				go func() {
					it := item(tenant, weight, cost, "")
					if _, err := b.Take(ctx, it); err != nil {
						return
					}
					mu.Lock()
					given[tenant] += cost
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
					d.back()
					b.Wake(1)
				}()
			}
		}
		work(1, 1, 1)
		work(2, 2, 1)
		work(3, 1, 4)
		time.Sleep(600 * time.Millisecond)
		stop()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		t.Log("cost given by tenant:", given)
		is.True(given[2] > given[1]*17/10 && given[2] < given[1]*23/10)
		is.True(given[3] > given[1]*7/10 && given[3] < given[1]*13/10)
	})
}

func TestWaitingCostsNoPicksAndAFullQueueRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &desk{}
		b := d.queue()
		for range 3 {
			go func() {
				it := item(1, 1, 1, "")
				it.Limit = 3
				short, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				_, err := b.Take(short, it)
				is.True(apierror.Is(err, apierror.Stale))
			}()
		}
		synctest.Wait()
		asked := func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.picks
		}
		before, began := asked(), time.Now()
		full := item(1, 1, 1, "")
		full.Limit = 3
		_, err := b.Take(t.Context(), full)
		is.True(apierror.Is(err, apierror.QueueFull))
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
		is.Equal(asked(), before) // nobody asked for a credit in all that time
		is.Equal(len(b.Depths()), 0)
	})
}

func TestAHoldReleasesInStepsAndAReturningItemKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &desk{free: 100, until: time.Now().Add(5 * time.Second), releaseDelay: 200 * time.Millisecond}
		b := d.queue()
		began := time.Now()
		var mu sync.Mutex
		var order []int
		var times []time.Duration
		var all sync.WaitGroup
		take := func(n int, it *Item) {
			all.Go(func() {
				_, err := b.Take(t.Context(), it)
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				order, times = append(order, n), append(times, time.Since(began))
			})
			synctest.Wait()
		}
		first := item(1, 1, 1, "held")
		first.position = 1 // it was here before, and comes again after the others
		b.lastPosition = 1
		for n := 2; n <= 8; n++ {
			take(n, item(1, 1, 1, "held"))
		}
		take(1, first)
		take(99, item(2, 1, 1, "free"))
		all.Wait()
		is.Equal(order[0], 99) // another tenant does not wait
		is.Equal(times[0], time.Duration(0))
		is.Equal(order[1], 1)
		is.Equal(times[1], 5200*time.Millisecond) // the moment and our turn; nothing before
		is.Equal(times[2], 5300*time.Millisecond)
		is.Equal(times[3], 5400*time.Millisecond)
		is.Equal(times[8], 5500*time.Millisecond)
	})
}

// A hold that is extended over a waiting request's deadline ends its wait at once, with the time to come back; the others wait on.
func TestAnOutlastingHoldEndsTheWaitAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &desk{free: 10, until: time.Now().Add(2 * time.Second)}
		b := d.queue()
		began := time.Now()
		var all sync.WaitGroup
		for _, wait := range []time.Duration{4 * time.Second, time.Minute} {
			all.Go(func() {
				it := item(1, 1, 1, "held")
				it.Deadline = began.Add(wait)
				ctx, stop := context.WithDeadline(t.Context(), it.Deadline)
				defer stop()
				_, err := b.Take(ctx, it)
				if wait == time.Minute {
					is.NoErr(err)
					return
				}
				is.True(apierror.Is(err, apierror.Throttled))
				is.Equal(time.Since(began), time.Second) // when the hold grew, not at the deadline
				is.Equal(apierror.Of(err).Again, 9*time.Second)
			})
		}
		time.Sleep(time.Second)
		d.mu.Lock()
		d.until = began.Add(10 * time.Second)
		d.mu.Unlock()
		b.WakeAll()
		all.Wait()
		is.True(time.Since(began) >= 10*time.Second)
	})
}

// A full queue tells its callers when it will have gone at the pace of late, and after a hold.
func TestFullQueueTellsWhenItDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		credits, heldUntil := 1, time.Time{}
		b := New(Options[int]{
			Pick:   func(*Item) (int, bool) { credits--; return 0, credits >= 0 },
			Return: func(int) {}, NotBefore: func(string) time.Time { return heldUntil }, ReleaseDelay: func(string) time.Duration { return 0 },
		})
		ctx, stop := context.WithCancel(context.Background())
		for range 60 {
			go func() { _, _ = b.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1}) }()
		}
		synctest.Wait()
		for range 30 { // two a second, and each is followed by another
			time.Sleep(500 * time.Millisecond)
			credits = 1
			b.Wake(0)
			go func() { _, _ = b.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1}) }()
			synctest.Wait()
		}
		full := func() time.Duration {
			_, err := b.Take(ctx, &Item{Weight: 1, Limit: 40, Cost: 1})
			is.True(apierror.Is(err, apierror.QueueFull))
			return apierror.Of(err).Again.Round(time.Second)
		}
		is.Equal(full(), 20*time.Second) // 40 wait, two go in a second
		heldUntil = time.Now().Add(30 * time.Second)
		is.Equal(full(), 50*time.Second)
		stop()
	})
}
