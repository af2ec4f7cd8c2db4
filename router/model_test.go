package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An old version may start work until its term is over; a disturbance of the cores begins the term anew, but never gives one to a version
// that has none.
func TestTermsOfOldVersions(t *testing.T) {
	is := is.New(t)
	const term = 10 * time.Second
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	m := &model{version: 5, until: map[uint64]time.Time{4: at(3), 3: at(-1)}}
	disturbed := func(seconds float64) *time.Time { t := at(seconds); return &t }
	for _, c := range []struct {
		what      string
		version   uint64
		at        float64
		disturbed *time.Time
		allows    bool
	}{
		{"the named one", 5, 100, nil, true},
		{"a newer one than was heard of", 6, 100, nil, true},
		{"within its term", 4, 2.9, nil, true},
		{"at its end", 4, 3, nil, false},
		{"an older one's is over", 3, 0, nil, false},
		{"one never heard of", 2, 0, nil, false},
		{"disturbed long ago: the term stands", 4, 2.9, disturbed(-60), true},
		{"disturbed long ago: and ends", 4, 3, disturbed(-60), false},
		{"disturbed now: counted anew", 4, 9.9, disturbed(0), true},
		{"and ends a term after it", 4, 10, disturbed(0), false},
		{"the older one's too", 3, 9.9, disturbed(0), true},
		{"and its end", 3, 10, disturbed(0), false},
		{"one never heard of gets none", 2, 1, disturbed(0), false},
		{"the named one needs none", 5, 100, disturbed(0), true},
	} {
		is.Equal(c.what+": "+yes(m.allows(c.version, at(c.at), c.disturbed, term)), c.what+": "+yes(c.allows))
	}
	var none *model
	is.True(none.allows(1, now, nil, term)) // nobody has named a version
}

func yes(isSo bool) string {
	if isSo {
		return "yes"
	}
	return "no"
}
