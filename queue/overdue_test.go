package queue

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// grants has the items wait, then gives one credit after the other, a second apart, and tells in which order they were granted.
func grants(t *testing.T, items map[string]*Item, order ...string) (granted []string) {
	d := &desk{}
	b := d.queue()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for _, name := range order {
		waiting.Go(func() {
			if _, err := b.Take(t.Context(), items[name]); err != nil {
				name = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			granted = append(granted, name)
		})
		synctest.Wait() // they come one after the other
	}
	for range order {
		d.back()
		b.Wake(1)
		synctest.Wait()
		time.Sleep(time.Second)
	}
	waiting.Wait()
	return granted
}

// Those that can still be in time go first, by place among themselves; the late ones go when nobody else waits, also across tenants. What
// has no aim is never late.
func TestThoseInTimeGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		items := map[string]*Item{}
		add := func(name string, tenant int, due time.Duration) {
			items[name] = item(tenant, 1, 4, "")
			if due != 0 {
				items[name].Due = time.Now().Add(due)
			}
		}
		add("late", 1, -time.Second)
		add("later", 1, -time.Minute)
		add("soon", 1, time.Hour)
		add("any", 1, 0)
		add("soon too", 1, 2*time.Hour)
		is.Equal(fmt.Sprint(grants(t, items, "late", "later", "soon", "any", "soon too")), "[soon any soon too late later]")

		add("late", 1, -time.Second)
		add("late too", 2, -time.Second)
		add("soon", 1, time.Hour)
		add("other's", 2, time.Hour)
		add("other's too", 2, time.Hour)
		granted := grants(t, items, "late", "late too", "soon", "other's", "other's too")
		is.Equal(len(granted), 5)
		for _, name := range granted[:3] {
			is.True(name == "soon" || name == "other's" || name == "other's too")
		}
	})
}

// Who was in time on coming, and is late by now, gives way to who came after it.
func TestWaitingMakesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		items := map[string]*Item{}
		for n, due := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond, time.Hour} {
			name := fmt.Sprint(n)
			items[name] = item(1, 1, 4, "")
			items[name].Due = time.Now().Add(due)
		}
		// the credits come now, and after one, two and three seconds
		is.Equal(fmt.Sprint(grants(t, items, "0", "1", "2", "3")), "[0 1 3 2]")
	})
}

// A late one keeps its place among the late ones, and one that comes again goes to its old place among those in time.
func TestPlaceIsKeptAmongThoseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		again := item(1, 1, 4, "")
		d := &desk{free: 1}
		_, err := d.queue().Take(t.Context(), again)
		is.NoErr(err)
		items := map[string]*Item{"again": again}
		for _, name := range []string{"a", "b"} {
			items[name] = item(1, 1, 4, "")
			items[name].Due = time.Now().Add(time.Hour)
		}
		again.Due = time.Now().Add(time.Hour)
		b := d.queue()
		b.lastPosition = 10 // they come after it
		var granted []string
		var waiting sync.WaitGroup
		var mu sync.Mutex
		for _, name := range []string{"a", "b", "again"} {
			waiting.Go(func() {
				_, err := b.Take(t.Context(), items[name])
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				granted = append(granted, name)
			})
			synctest.Wait()
		}
		for range items {
			d.back()
			b.Wake(1)
			synctest.Wait()
		}
		waiting.Wait()
		is.Equal(granted, []string{"again", "a", "b"})
	})
}
