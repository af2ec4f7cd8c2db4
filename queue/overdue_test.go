package queue

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// grantOrder queues the items in the given order, then frees one credit per second, and returns the order in which they were granted.
func grantOrder(t *testing.T, items map[string]*Item, order ...string) (granted []string) {
	credits := &creditPool{}
	q := credits.queue()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for _, name := range order {
		waiting.Go(func() {
			if _, err := q.Take(t.Context(), items[name]); err != nil {
				name = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			granted = append(granted, name)
		})
		synctest.Wait() // so that they enter in this order
	}
	for range order {
		credits.release()
		q.Wake(1)
		synctest.Wait()
		time.Sleep(time.Second)
	}
	waiting.Wait()
	return granted
}

// Items that are not overdue are granted first, in the order of their positions; overdue ones only when no others wait, also across tenants.
// An item without a due time is never overdue.
func TestOverdueItemsAreGrantedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		items := map[string]*Item{}
		add := func(name string, tenant int, due time.Duration) {
			items[name] = newItem(tenant, 1, 4, "")
			if due != 0 {
				items[name].Due = time.Now().Add(due)
			}
		}
		add("late", 1, -time.Second)
		add("later", 1, -time.Minute)
		add("soon", 1, time.Hour)
		add("any", 1, 0)
		add("soon too", 1, 2*time.Hour)
		is.Equal(fmt.Sprint(grantOrder(t, items, "late", "later", "soon", "any", "soon too")), "[soon any soon too late later]")

		add("late", 1, -time.Second)
		add("late too", 2, -time.Second)
		add("soon", 1, time.Hour)
		add("other's", 2, time.Hour)
		add("other's too", 2, time.Hour)
		granted := grantOrder(t, items, "late", "late too", "soon", "other's", "other's too")
		is.Equal(len(granted), 5)
		for _, name := range granted[:3] {
			is.True(name == "soon" || name == "other's" || name == "other's too")
		}
	})
}

// An item that becomes overdue while it waits is granted after later items that are not overdue.
func TestItemBecomesOverdueWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		items := map[string]*Item{}
		for n, due := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond, time.Hour} {
			name := fmt.Sprint(n)
			items[name] = newItem(1, 1, 4, "")
			items[name].Due = time.Now().Add(due)
		}
		// credits become free now, and after one, two and three seconds
		is.Equal(fmt.Sprint(grantOrder(t, items, "0", "1", "2", "3")), "[0 1 3 2]")
	})
}

// An item that enters again goes to its old position among the items that are not overdue.
func TestReturningItemKeepsPositionAmongItemsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		returning := newItem(1, 1, 4, "")
		credits := &creditPool{free: 1}
		_, err := credits.queue().Take(t.Context(), returning)
		is.NoErr(err)
		items := map[string]*Item{"again": returning}
		for _, name := range []string{"a", "b"} {
			items[name] = newItem(1, 1, 4, "")
			items[name].Due = time.Now().Add(time.Hour)
		}
		returning.Due = time.Now().Add(time.Hour)
		q := credits.queue()
		q.lastPosition = 10 // positions of the other items are higher
		var granted []string
		var waiting sync.WaitGroup
		var mu sync.Mutex
		for _, name := range []string{"a", "b", "again"} {
			waiting.Go(func() {
				_, err := q.Take(t.Context(), items[name])
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				granted = append(granted, name)
			})
			synctest.Wait()
		}
		for range items {
			credits.release()
			q.Wake(1)
			synctest.Wait()
		}
		waiting.Wait()
		is.Equal(granted, []string{"again", "a", "b"})
	})
}
