package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
)

func TestRetryAfterFormsAndInvalidValues(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	limit := 64 * time.Second
	for _, c := range []struct {
		values []string
		want   time.Duration
		wantOK bool
	}{
		{[]string{"17"}, 17 * time.Second, true},
		{[]string{" 17 "}, 17 * time.Second, true},
		{[]string{"0"}, 0, true},
		{[]string{"64"}, limit, true},
		{[]string{"65"}, limit, true},
		{[]string{"99999999999999999999999999"}, limit, true},
		{[]string{"Sun, 01 Mar 2026 12:00:30 GMT"}, 30 * time.Second, true},
		{[]string{"Sunday, 01-Mar-26 12:00:30 GMT"}, 30 * time.Second, true},
		{[]string{"Sun Mar  1 12:00:30 2026"}, 30 * time.Second, true},
		{[]string{"Sun, 01 Mar 2027 12:00:30 GMT"}, limit, true},
		{[]string{"7", "7"}, 7 * time.Second, true},
		{[]string{"Sun, 01 Mar 2026 11:59:59 GMT"}, 0, false},
		{[]string{"Sun, 01 Mar 2026 12:00:00 GMT"}, 0, false},
		{[]string{"-1"}, 0, false}, {[]string{"+1"}, 0, false}, {[]string{"1.5"}, 0, false}, {[]string{"1e3"}, 0, false}, {[]string{"0x10"}, 0, false},
		{[]string{"soon"}, 0, false}, {[]string{""}, 0, false}, {[]string{"7", "8"}, 0, false}, {nil, 0, false}, {[]string{"７"}, 0, false},
	} {
		got, ok := RetryAfter(c.values, now, limit)
		is.Equal(fmt.Sprint(c.values, ok, got), fmt.Sprint(c.values, c.wantOK, c.want))
	}
}

func FuzzRetryAfter(f *testing.F) {
	f.Add("17")
	f.Add("Sun, 01 Mar 2026 12:00:30 GMT")
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, text string) {
		if d, ok := RetryAfter([]string{text}, now, time.Minute); d < 0 || d > time.Minute || !ok && d != 0 {
			t.Errorf("RetryAfter(%q) = %v, out of range", text, d)
		}
	})
}

func TestBackoffStaysWithinItsStepAndCap(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	rule := config.Empty().Throttle
	var maxSeen [12]time.Duration
	for attempt := range maxSeen {
		for range 2000 {
			d := Backoff(rule, attempt, random)
			is.True(d >= 0 && d <= time.Second<<min(attempt, 6))
			maxSeen[attempt] = max(maxSeen[attempt], d)
		}
		is.True(maxSeen[attempt] > time.Second<<min(attempt, 6)*9/10) // uniform up to the maximum
	}
	rule.Jitter, rule.CapMs = 0, 5000
	is.Equal(Backoff(rule, 1, random), 2*time.Second)
	is.Equal(Backoff(rule, 9, random), 5*time.Second)
}

// Notices arrive in any order, delayed, duplicated and in loops. The not-before time never moves back, each ID
// counts once, and all tables agree except for the time that notices travel.
func TestMergeNeverShortensAThrottleInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 5))
			tables := []*Table{NewTable(nil), NewTable(nil), NewTable(nil)}
			var latest time.Time
			for n := range 40 {
				at := random.IntN(3)
				newNotice := Notice{Scope: "s", ID: fmt.Sprint(n), RemainingMs: random.Int64N(9000)}
				if until := time.Now().Add(time.Duration(newNotice.RemainingMs) * time.Millisecond); until.After(latest) {
					latest = until
				}
				tables[at].Merge(newNotice, time.Minute)
				for range 6 { // one table's notices are sent to another with a delay, repeatedly
					from, to := random.IntN(3), random.IntN(3)
					all := tables[from].All()
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					for _, notice := range all {
						before := tables[to].Last("s")
						tables[to].Merge(notice, time.Minute)
						is.True(!tables[to].Last("s").Before(before))
					}
				}
			}
			for range 4 {
				for i := range tables {
					for _, notice := range tables[i].All() {
						tables[(i+1)%3].Merge(notice, time.Minute)
					}
				}
			}
			for _, table := range tables {
				if until := table.Last("s"); time.Now().Before(latest) {
					is.True(!until.Before(latest))                       // never earlier
					is.True(until.Sub(latest) < 3*20*time.Millisecond*6) // later by the travel time only: forwarding in loops does not extend it
				}
			}
		})
	}
}

func TestObservedThrottleDelaysNothingAndHidesNoRealThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable(nil)
		is.True(table.Merge(Notice{Scope: "s", ID: "1", RemainingMs: 9000, Observed: true}, time.Minute))
		is.True(table.Until("s").IsZero())
		is.True(table.Merge(Notice{Scope: "s", ID: "2", RemainingMs: 3000}, time.Minute))
		is.Equal(time.Until(table.Until("s")), 3*time.Second)
		is.True(table.Merge(Notice{Scope: "s", ID: "3", RemainingMs: 900000}, 10*time.Second))
		is.Equal(time.Until(table.Until("s")), 10*time.Second) // limited by the cap
		is.Equal(len(table.All()), 2)
	})
}
