package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// The tolerated losses are machines, the largest zones or the largest regions, whichever has the most members.
func TestToleratedLosses(t *testing.T) {
	is := is.New(t)
	var members []config.Member
	for _, zone := range []string{"a", "a", "a", "b", "b", "c", "d"} {
		members = append(members, config.Member{Zone: zone})
	}
	regions := map[string]string{"a": "north", "b": "south", "c": "south", "d": "south"}
	is.Equal(Tolerance{}.Losses(members), 0)
	is.Equal(Tolerance{Machines: 2}.Losses(members), 2)
	is.Equal(Tolerance{Machines: 2, Zones: 1}.Losses(members), 3)
	is.Equal(Tolerance{Zones: 2}.Losses(members), 5)
	is.Equal(Tolerance{Zones: 9}.Losses(members), 7)
	is.Equal(Tolerance{Regions: 1, RegionOf: regions}.Losses(members), 4)
	is.Equal(Tolerance{Regions: 1}.Losses(members), 0)
}

// A list of odd size can lose as many members as the list that has one more.
func TestSpareLosses(t *testing.T) {
	is := is.New(t)
	for members, spare := range map[int]int{1: 0, 2: 0, 3: 1, 4: 1, 5: 2, 7: 3, 8: 3, 9: 4} {
		is.Equal(SpareLosses(members, 0), spare)
		is.Equal(SpareLosses(members, 1), spare-1)
	}
}

// Unresponsive time is added observation by observation, at most MaxStep each, so a suspension of this core is not held against the others.
// Losing the majority restarts the stable time, and what was recorded on disk before a restart still counts.
func TestUnresponsiveTimeCountsOnlyWhileObserved(t *testing.T) {
	is := is.New(t)
	const tickInterval = 300 * time.Millisecond
	members := []config.Member{{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "2"}}
	now := time.Now()
	heard := map[string]time.Time{}
	tracker := Tracker{MaxStep: 2 * tickInterval, Recorded: map[string]string{"b": "2"}}
	observe := func(after time.Duration, hasMajority bool) {
		now = now.Add(after)
		tracker.Observe(now, members, func(m config.Member) time.Time { return heard[m.Name] }, hasMajority)
	}
	observe(tickInterval, true)
	is.Equal(tracker.UnresponsiveFor(members[1]), RemovalTimeout-RemovalTimeoutAfterRestart) // recorded before the restart
	is.Equal(tracker.UnresponsiveFor(members[0]), time.Duration(0))
	heard["a"], heard["b"] = now, now
	observe(tickInterval, true)
	is.Equal(tracker.CountUnresponsive(members, 1), 0)
	observe(time.Minute, true) // this core was suspended
	is.Equal(tracker.UnresponsiveFor(members[0]), 2*tickInterval)
	is.Equal(tracker.CountUnresponsive(members, 2*tickInterval), 2)
	is.True(tracker.stableFor >= StableQuorumTime)
	observe(tickInterval, false)
	is.Equal(tracker.stableFor, time.Duration(0))
	members[0].Incarnation = "3" // another disk under the same name
	observe(tickInterval, true)
	is.Equal(tracker.UnresponsiveFor(members[0]), time.Duration(0))
}

// A list with an unreadable field is not changed: keys may still be in transfer, or an ID could be assigned twice.
func TestUnreadableListIsNotChanged(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{PreviousField, HighestIDField} {
		fields := register.Fields{field: []byte(`{"torn`)}
		_, err := Change{Action: Remove, Name: "a"}.Apply(fields, View{}, time.Now())
		is.True(apierror.Is(err, apierror.Malformed))
	}
}
