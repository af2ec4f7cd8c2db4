package router

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// Tries random transitions: only valid ones are taken, retry_wait leads to eligible or a final state alone, a final state is not left,
// and the audit records each transition with its prior state.
func TestOnlyValidStateTransitionsAreTaken(t *testing.T) {
	is := is.New(t)
	all := []State{Received, Eligible, Submitted, RetryWait, Done, Failed, Stale}
	ends := map[State]bool{Done: true, Failed: true, Stale: true}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 4))
		r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop(), Audit: 64})
		x := &Exchange{ID: "x"}
		var taken []State
		for range 40 {
			to, from := all[random.IntN(len(all))], x.State
			isTaken := func() (isTaken bool) {
				defer func() { isTaken = recover() == nil }()
				r.step(x, to, "")
				return
			}()
			if !isTaken {
				is.Equal(x.State, from) // a rejected transition changes nothing
				continue
			}
			taken = append(taken, to)
			is.True(!ends[from])
			if from == RetryWait {
				is.True(to == Eligible || to == Failed || to == Stale)
			}
			if to == Submitted {
				is.Equal(from, Eligible)
			}
		}
		events := r.audit.find(func(Event) bool { return true })
		is.Equal(len(events), len(taken))
		for i, e := range events {
			is.Equal(e.New, taken[i])
			if i > 0 {
				is.Equal(e.Prior, taken[i-1])
			}
		}
	}
}

func TestRetriesStayWithinRatioAndAllowance(t *testing.T) {
	is := is.New(t)
	b := budget{tokens: retryAllowance}
	spent := 0
	for n := 1; n <= 1000; n++ {
		b.first()
		if b.spend() {
			spent++
		}
		is.True(float64(spent) <= retryAllowance+defaultRetryRatio*float64(n)+1e-6)
	}
	is.True(spent > 95)
}

// The share of retries is at most half of the configured ratio, and never above a tenth.
func TestRetriesStayWithinConfiguredRatio(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ ratio, part float64 }{{0, 0.1}, {0.5, 0.1}, {0.2, 0.1}, {0.1, 0.05}, {0.02, 0.01}} {
		b := &New(Options{RetryRatio: c.ratio, Net: &rpc.TCP{}}).budget
		spent := 0
		for n := 1; n <= 1000; n++ {
			b.first()
			if b.spend() {
				spent++
			}
			is.True(float64(spent) <= retryAllowance+c.part*float64(n)+1e-6)
		}
		is.True(float64(spent) > c.part*900)
	}
}

// The retries that all routers together can save up are at most half of the fleet's slack, however many routers there are, but at
// least one each.
func TestSavedRetriesAreSharedAmongRouters(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ slack, routers, most float64 }{{58, 9, 29.0 / 9}, {202, 81, 101.0 / 81}, {10, 81, 1}, {1000, 2, maxRetryTokens}, {0, 9, maxRetryTokens}} {
		b := budget{tokens: retryAllowance}
		b.share(c.slack, int(c.routers))
		for range 1000 {
			b.first()
		}
		spent := 0.0
		for b.spend() {
			spent++
		}
		is.True(spent <= c.most && spent > c.most-1)
	}
}
