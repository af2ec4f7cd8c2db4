package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/register"
	"asterridge/rpc"
)

// An old version may start work until a term after the next one was named; a disturbance of the cores begins the term anew. A version of
// which it is not known when it was superseded gets none.
func TestStartDeadlineOfOldModelVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // on a clock that a busy machine does not move
		is := is.New(t)
		const oldWeights = 10 * time.Second
		now := time.Now()
		at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
		r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop(), OldWeightsLimit: oldWeights})
		v := &View{models: map[string]config.Model{"m": {Version: 6}, "n": {Version: 6}}}
		r.modelVersions.Apply(register.Fields{ModelVersionField("m", 6): []byte("0"), ModelVersionField("m", 4): []byte("11000")}, map[string]int64{ModelVersionField("m", 6): 7000})
		for _, c := range []struct {
			what      string
			model     string
			version   uint64
			at        float64
			disturbed float64 // 0: never
			allows    bool
		}{
			{"the named one", "m", 6, 100, 0, true},
			{"a newer one than was heard of", "m", 7, 100, 0, true},
			{"a model that nobody named a version of", "o", 1, 100, 0, true},
			{"within its term", "m", 5, 2.8, 0, true},
			{"at its end", "m", 5, 3.1, 0, false},
			{"another that was superseded with it", "m", 4, 2.8, 0, true},
			{"an older one's is over", "m", 3, 0, 0, false},
			{"nobody knows since when", "n", 5, 0, 0, false},
			{"disturbed long ago: the term stands", "m", 5, 2.8, -60, true},
			{"disturbed long ago: and ends", "m", 5, 3.1, -60, false},
			{"disturbed lately: counted anew", "m", 5, 9.7, -0.1, true},
			{"and ends a term after it", "m", 5, 10, -0.1, false},
			{"the older one's too", "m", 3, 9.7, -0.1, true},
			{"and its end", "m", 3, 10, -0.1, false},
			{"nobody knows since when: it gets none", "n", 5, 1, -0.1, false},
			{"the named one needs none", "m", 6, 100, -0.1, true},
		} {
			r.disturbed.Store(nil)
			if c.disturbed != 0 {
				when := at(c.disturbed)
				r.disturbed.Store(&when)
			}
			is.Equal(c.what+": "+yesNo(mayStartAt(r, v, c.model, c.version, at(c.at))), c.what+": "+yesNo(c.allows))
		}
		r.disturbed.Store(nil)
		// An older word for the same version counts, a younger one does not.
		is.Equal(len(r.modelVersions.Apply(register.Fields{ModelVersionField("m", 6): []byte("1000")}, nil)), 0)
		is.True(mayStartAt(r, v, "m", 5, at(2.8)))
		is.Equal(len(r.modelVersions.Apply(register.Fields{ModelVersionField("m", 6): []byte("9000")}, nil)), 1)
		is.True(!mayStartAt(r, v, "m", 5, at(1.1)))
	})
}

// mayStartAt says whether work may begin at a replica.
func mayStartAt(r *Router, v *View, model string, version uint64, at time.Time) bool {
	end, old := r.startDeadline(v, model, version)
	return !old || at.Before(end)
}

// Work is sent on an old version for as long as an answer is likely to be whole before the version's time is over: a second before any was
// seen, and then what answers take in the mean; but always for half of the time.
func TestOldVersionIsUsedWhileAnswersCanComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // on a clock that a busy machine does not move
		is := is.New(t)
		const oldWeights = 10 * time.Second
		r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop(), OldWeightsLimit: oldWeights})
		v := &View{models: map[string]config.Model{"m": {Version: 2}}}
		now := time.Now()
		r.modelVersions.Apply(register.Fields{ModelVersionField("m", 2): []byte("0")}, nil)
		sentUntil := func(p *pool) time.Duration {
			last := time.Duration(0)
			for after := time.Duration(0); after < 2*oldWeights; after += 10 * time.Millisecond {
				if r.mayStart(v, p, "m", 1, now.Add(after)) {
					last = after
				}
			}
			return last.Round(100 * time.Millisecond)
		}
		p := &pool{answers: &answerTime{}}
		is.Equal(sentUntil(p), 9*time.Second)
		for range 100 {
			p.answers.observe(3 * time.Second)
		}
		is.Equal(sentUntil(p), 7*time.Second)
		for n := range 200 {
			p.answers.observe(time.Duration(3+2*(n%2)) * time.Second)
		}
		is.True(sentUntil(p) <= 6100*time.Millisecond && sentUntil(p) >= 5900*time.Millisecond)
		for range 100 {
			p.answers.observe(time.Minute)
		}
		is.Equal(sentUntil(p), 5*time.Second)
		for range 100 {
			p.answers.observe(time.Millisecond)
		}
		is.Equal(sentUntil(p), 9*time.Second)
		is.True(r.mayStart(v, p, "m", 2, now.Add(time.Hour)))
	})
}

func yesNo(so bool) string {
	if so {
		return "yes"
	}
	return "no"
}

// Hundreds of versions leave a bounded memory behind. What is forgotten is older than all that may be used: its time is over.
func TestOldestVersionTimesAreForgottenFirst(t *testing.T) {
	is := is.New(t)
	var named ModelVersions
	const newest = 500
	for version := uint64(2); version <= newest; version++ {
		named.Apply(register.Fields{ModelVersionField("m", version): []byte("0")}, nil)
	}
	is.Equal(len(named.of("m").since), MaxModelVersions)
	for version := uint64(1); version < newest; version++ {
		_, known := named.Superseded("m", version)
		is.Equal(known, version >= newest-MaxModelVersions)
	}
	_, known := named.Superseded("m", newest)
	is.True(!known)
	is.Equal(len(named.Apply(register.Fields{ModelVersionField("m", 3): []byte("90000")}, nil)), 0) // late word of a forgotten one
}
