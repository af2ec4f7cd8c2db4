package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that nobody does: the first core in a key's order does them, the next one after each interval that it leaves them
// undone, and cores with an outdated list only if no other is left.
func TestTasksAreTakenUpByTheNextCore(t *testing.T) {
	is := is.New(t)
	live := []string{"core-1", "core-2", "core-3"}
	seen := map[string]bool{}
	for turn := range len(live) {
		seen[coreForTask("key", live, time.Duration(turn)*takeoverInterval)] = true
	}
	is.Equal(len(seen), len(live)) // each has its turn
	is.Equal(coreForTask("key", live, time.Duration(len(live))*takeoverInterval), coreForTask("key", live, 0))
	is.Equal(coreForTask("key", nil, time.Minute), "")

	now := time.Now()
	outdated := map[string]time.Time{"core-2": now.Add(-outdatedGrace), "core-3": now.Add(-outdatedGrace / 2)}
	is.Equal(withoutOutdated(live, outdated, now), []string{"core-1", "core-3"})
	outdated = map[string]time.Time{"core-1": now.Add(-time.Minute), "core-2": now.Add(-time.Minute), "core-3": now.Add(-time.Minute)}
	is.Equal(withoutOutdated(live, outdated, now), live)
}

// A task that was done in between begins anew.
func TestTaskAgeCountsFromWhenTheTaskIsDue(t *testing.T) {
	is := is.New(t)
	var age taskAge
	now := time.Now()
	is.Equal(age.observe(true, now), time.Duration(0))
	is.Equal(age.observe(true, now.Add(time.Second)), time.Second)
	is.Equal(age.observe(false, now.Add(2*time.Second)), time.Duration(0))
	is.Equal(age.observe(true, now.Add(3*time.Second)), time.Duration(0))
}
