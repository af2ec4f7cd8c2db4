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

// Work may start on an old version for a limited time after the next one was published; a disturbance of the cores restarts that time. A
// version must not be used if it is unknown when it was superseded.
func TestStartDeadlineOfOldModelVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // on a clock that does not depend on the machine's load
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
			{"the newest version", "m", 6, 100, 0, true},
			{"a version above the newest known one", "m", 7, 100, 0, true},
			{"a model without published versions", "o", 1, 100, 0, true},
			{"an old version within its time", "m", 5, 2.8, 0, true},
			{"an old version after its time", "m", 5, 3.1, 0, false},
			{"an older version superseded at the same time", "m", 4, 2.8, 0, true},
			{"a version superseded earlier", "m", 3, 0, 0, false},
			{"unknown when it was superseded", "n", 5, 0, 0, false},
			{"disturbed long ago: within the original time", "m", 5, 2.8, -60, true},
			{"disturbed long ago: after the original time", "m", 5, 3.1, -60, false},
			{"disturbed recently: the time starts again", "m", 5, 9.7, -0.1, true},
			{"disturbed recently: after the new time", "m", 5, 10, -0.1, false},
			{"disturbed recently: also for a version superseded earlier", "m", 3, 9.7, -0.1, true},
			{"disturbed recently: after its new time", "m", 3, 10, -0.1, false},
			{"disturbed recently: unknown when it was superseded", "n", 5, 1, -0.1, false},
			{"disturbed recently: the newest version", "m", 6, 100, -0.1, true},
		} {
			r.disturbed.Store(nil)
			if c.disturbed != 0 {
				when := at(c.disturbed)
				r.disturbed.Store(&when)
			}
			is.Equal(c.what+": "+yesNo(mayStartAt(r, v, c.model, c.version, at(c.at))), c.what+": "+yesNo(c.allows))
		}
		r.disturbed.Store(nil)
		// A greater age told for the same version counts, a smaller one does not.
		is.Equal(len(r.modelVersions.Apply(register.Fields{ModelVersionField("m", 6): []byte("1000")}, nil)), 0)
		is.True(mayStartAt(r, v, "m", 5, at(2.8)))
		is.Equal(len(r.modelVersions.Apply(register.Fields{ModelVersionField("m", 6): []byte("9000")}, nil)), 1)
		is.True(!mayStartAt(r, v, "m", 5, at(1.1)))
	})
}

// mayStartAt reports whether work on a model version may start at a replica.
func mayStartAt(r *Router, v *View, model string, version uint64, at time.Time) bool {
	end, old := r.startDeadline(v, model, version)
	return !old || at.Before(end)
}

// Work is sent on an old version as long as a response is likely to be complete before the version's time ends: the expected response time is
// one second before any was observed, then the observed mean, and at most half of the version's time.
func TestOldVersionIsUsedWhileAnswersCanComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // on a clock that does not depend on the machine's load
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

// The memory for versions is bounded, however many are published. A forgotten version is older than any that may still be used.
func TestOldestVersionTimesAreForgottenFirst(t *testing.T) {
	is := is.New(t)
	var versions ModelVersions
	const newest = 500
	for version := uint64(2); version <= newest; version++ {
		versions.Apply(register.Fields{ModelVersionField("m", version): []byte("0")}, nil)
	}
	is.Equal(len(versions.of("m").since), MaxModelVersions)
	for version := uint64(1); version < newest; version++ {
		_, known := versions.Superseded("m", version)
		is.Equal(known, version >= newest-MaxModelVersions)
	}
	_, known := versions.Superseded("m", newest)
	is.True(!known)
	is.Equal(len(versions.Apply(register.Fields{ModelVersionField("m", 3): []byte("90000")}, nil)), 0) // a late update of a forgotten version
}
