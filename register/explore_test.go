package register_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
)

var mostSchedules = flag.Int("schedules", 600, "how many schedules the model explores for each scenario; 0: all of them")

const deepest = 60

// exploration is what a search over the schedules of a scenario came to.
type exploration struct {
	schedules, states, steps int
	full                     bool // no schedule was left out or cut short
	path                     []string
	fault                    error
}

// explore plays the schedules of a scenario, in the order of how often they leave the plain one: where messages arrive in the order of their
// sending and nothing fails. A state that was met before is not gone into again. Each schedule is replayed from the beginning: the code under test is the real one and cannot be set to a state.
func explore(t *testing.T, s scenario, most int) (e exploration) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // a bubble's goroutines take turns; on several processors that costs three times as much
	met := map[uint64]bool{}
	queue := [][]int{nil}
	e.full = true
	for len(queue) > 0 && e.fault == nil {
		if most > 0 && e.schedules >= most {
			e.full = false
			break
		}
		prefix := queue[0]
		queue = queue[1:]
		var path []int
		e.schedules++
		e.path, e.fault = play(t, s, len(prefix), func(c *model, open []choice) int {
			if at := len(path); at < len(prefix) {
				path = append(path, prefix[at])
				return prefix[at]
			}
			state := c.fingerprint()
			if met[state] {
				return -1
			}
			met[state] = true
			if len(path) >= deepest {
				e.full = false
				return -1
			}
			for i := 1; i < len(open); i++ {
				queue = append(queue, append(append([]int{}, path...), i))
			}
			path = append(path, 0)
			e.steps = max(e.steps, len(path))
			return 0
		})
	}
	e.states = len(met)
	e.full = e.full && e.fault == nil
	return e
}

func (e exploration) String() string {
	return fmt.Sprintf("%d schedules, %d states, at most %d steps; all of them: %v", e.schedules, e.states, e.steps, e.full)
}

// race has two owners take the first number for two contents.
var race = []call{declare(0, 1, 0, "a"), declare(1, 1, 0, "b")}

// handover has a key go from one owner to another and back, one declaration on top of the other.
var handover = []call{declare(0, 1, 0, "a"), declare(1, 2, 1, "a"), declare(0, 3, 2, "a")}

var explored = []struct {
	name string
	scenario
}{
	{"race", scenario{size: 3, orders: race, notes: prompt}},
	{"race, nobody is told what is settled", scenario{size: 3, orders: race, notes: lost}},
	{"race, a message is lost", scenario{size: 3, orders: race, notes: prompt, faults: budget{losses: 1}}},
	{"race, an answer is late and a message comes twice", scenario{size: 3, orders: race, notes: lost, faults: budget{delays: 1, doubles: 1}}},
	{"race, a node restarts", scenario{size: 3, orders: race, notes: lost, faults: budget{restarts: 1}}},
	{"race and a read", scenario{size: 3, orders: append(race[:2:2], read(0)), notes: prompt}},
	{"handover", scenario{size: 3, orders: handover, inTurn: true, notes: prompt}},
	{"handover, a message is lost", scenario{size: 3, orders: handover, inTurn: true, notes: lost, faults: budget{losses: 1}}},
	{"handover, a node restarts", scenario{size: 3, orders: handover, inTurn: true, notes: prompt, faults: budget{restarts: 1}}},
	{"a read by the owner before", scenario{size: 3, orders: []call{declare(0, 1, 0, "a"), declare(1, 2, 1, "a"), read(0)}, inTurn: true, notes: prompt}},
	{"a read by one that only refused", scenario{size: 3, orders: []call{declare(0, 2, 1, "a"), declare(1, 1, 0, "a"), read(0)}, inTurn: true, notes: prompt}},
	{"the same one again", scenario{size: 3, orders: []call{declare(0, 1, 0, "a"), declare(1, 2, 1, "a"), declare(0, 1, 0, "a")}, inTurn: true, notes: lost}},
	{"four acceptors", scenario{size: 4, orders: race, notes: prompt, faults: budget{losses: 1}}},
}

// Every order of messages, up to a bound, with few faults: no state breaks a rule of the register, and one sequence of versions explains what
// operators were told.
func TestModelExploresAllSchedulesOfSmallScenarios(t *testing.T) {
	for _, s := range explored {
		t.Run(s.name, func(t *testing.T) {
			e := explore(t, s.scenario, *mostSchedules)
			t.Log(e)
			if e.fault != nil {
				t.Errorf("%v, after %s", e.fault, schedule(e.path))
			}
		})
	}
}
