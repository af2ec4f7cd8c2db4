package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// What may be lost at once: machines, or the largest zones, or the largest regions, whichever is more of the members.
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

// How many more members may go: an odd list bears as many as the even one that is larger by one.
func TestSpareMembers(t *testing.T) {
	is := is.New(t)
	for members, spare := range map[int]int{1: 0, 2: 0, 3: 1, 4: 1, 5: 2, 7: 3, 8: 3, 9: 4} {
		is.Equal(SpareLosses(members, 0), spare)
		is.Equal(SpareLosses(members, 1), spare-1)
	}
}

// Silence counts beat by beat: neither a freeze of this core nor the time before a majority is heard says anything of the others, and what
// was noted on the disk counts on after a restart.
func TestSilenceIsCounted(t *testing.T) {
	is := is.New(t)
	const tickInterval = 300 * time.Millisecond
	members := []config.Member{{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "2"}}
	now := time.Now()
	heard := map[string]time.Time{}
	s := Tracker{MaxStep: 2 * tickInterval, Recorded: map[string]string{"b": "2"}}
	look := func(after time.Duration, hasMajority bool) {
		now = now.Add(after)
		s.Observe(now, members, func(m config.Member) time.Time { return heard[m.Name] }, hasMajority)
	}
	look(tickInterval, true)
	is.Equal(s.UnresponsiveFor(members[1]), RemovalTimeout-RemovalTimeoutAfterRestart) // noted by an earlier life
	is.Equal(s.UnresponsiveFor(members[0]), time.Duration(0))
	heard["a"], heard["b"] = now, now
	look(tickInterval, true)
	is.Equal(s.CountUnresponsive(members, 1), 0)
	look(time.Minute, true) // frozen
	is.Equal(s.UnresponsiveFor(members[0]), 2*tickInterval)
	is.Equal(s.CountUnresponsive(members, 2*tickInterval), 2)
	is.True(s.stableFor >= StableQuorumTime)
	look(tickInterval, false)
	is.Equal(s.stableFor, time.Duration(0))
	members[0].Incarnation = "3" // another disk under its name
	look(tickInterval, true)
	is.Equal(s.UnresponsiveFor(members[0]), time.Duration(0))
}

// A list with a field that cannot be read is not changed: keys may be transferred still, or a number be given twice.
func TestListThatCannotBeReadIsNotChanged(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{PreviousField, HighestIDField} {
		fields := register.Fields{field: []byte(`{"torn`)}
		_, err := Change{Action: Remove, Name: "a"}.Apply(fields, View{}, time.Now())
		is.True(apierror.Is(err, apierror.Malformed))
	}
}
