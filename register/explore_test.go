package register_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
)

var maxSchedules = flag.Int("schedules", 600, "maximum number of schedules explored per scenario; 0 for all")

const maxDepth = 60

// exploration is the result of exploring the schedules of a scenario.
type exploration struct {
	schedules, states, steps int
	complete                 bool // no schedule was skipped or cut short
	path                     []string
	fault                    error
}

// explore runs the schedules of a scenario breadth-first, by the number of deviations from the default schedule, in which messages arrive
// in the order of sending and nothing fails. States that were visited before are not explored again. Each schedule is replayed from the
// beginning, because the code under test can't be set to a given state.
func explore(t *testing.T, s scenario, limit int) (e exploration) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // a bubble's goroutines run in turn; several processors make that three times as slow
	visited := map[uint64]bool{}
	queue := [][]int{nil}
	e.complete = true
	for len(queue) > 0 && e.fault == nil {
		if limit > 0 && e.schedules >= limit {
			e.complete = false
			break
		}
		prefix := queue[0]
		queue = queue[1:]
		var path []int
		e.schedules++
		e.path, e.fault = runSchedule(t, s, len(prefix), func(c *model, open []choice) int {
			if at := len(path); at < len(prefix) {
				path = append(path, prefix[at])
				return prefix[at]
			}
			state := c.fingerprint()
			if visited[state] {
				return -1
			}
			visited[state] = true
			if len(path) >= maxDepth {
				e.complete = false
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
	e.states = len(visited)
	e.complete = e.complete && e.fault == nil
	return e
}

func (e exploration) String() string {
	return fmt.Sprintf("%d schedules, %d states, at most %d steps; complete: %v", e.schedules, e.states, e.steps, e.complete)
}

// concurrentWrites has two owners write different configurations under the first number.
var concurrentWrites = []request{writeRequest(0, 1, 0, "a"), writeRequest(1, 1, 0, "b")}

// handover moves a key from one owner to another and back, with each write based on the previous one.
var handover = []request{writeRequest(0, 1, 0, "a"), writeRequest(1, 2, 1, "a"), writeRequest(0, 3, 2, "a")}

var exploredScenarios = []struct {
	name string
	scenario
}{
	{"concurrent writes", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsImmediate}},
	{"concurrent writes, commit announcements are lost", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost}},
	{"concurrent writes, a message is lost", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsImmediate, faults: faultBudget{losses: 1}}},
	{"concurrent writes, an answer is delayed and a message is duplicated", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		faults: faultBudget{delays: 1, duplicates: 1}}},
	{"concurrent writes, a node restarts", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost, faults: faultBudget{restarts: 1}}},
	{"concurrent writes and a read", scenario{size: 3, requests: append(concurrentWrites[:2:2], readRequest(0)), commitDelivery: commitsImmediate}},
	{"handover", scenario{size: 3, requests: handover, sequential: true, commitDelivery: commitsImmediate}},
	{"handover, a message is lost", scenario{size: 3, requests: handover, sequential: true, commitDelivery: commitsLost, faults: faultBudget{losses: 1}}},
	{"handover, a node restarts", scenario{size: 3, requests: handover, sequential: true, commitDelivery: commitsImmediate, faults: faultBudget{restarts: 1}}},
	{"a read at the previous owner", scenario{size: 3, requests: []request{writeRequest(0, 1, 0, "a"), writeRequest(1, 2, 1, "a"), readRequest(0)},
		sequential: true, commitDelivery: commitsImmediate}},
	{"a read at an owner that has only refused a write", scenario{size: 3, requests: []request{writeRequest(0, 2, 1, "a"), writeRequest(1, 1, 0, "a"), readRequest(0)}, sequential: true, commitDelivery: commitsImmediate}},
	{"an identical write is sent again", scenario{size: 3, requests: []request{writeRequest(0, 1, 0, "a"), writeRequest(1, 2, 1, "a"), writeRequest(0, 1, 0, "a")}, sequential: true, commitDelivery: commitsLost}},
	{"four acceptors", scenario{size: 4, requests: concurrentWrites, commitDelivery: commitsImmediate, faults: faultBudget{losses: 1}}},
}

// Explores, up to a bound, every order of messages in small scenarios with few faults. No state may violate an invariant of the register,
// and one linear sequence of versions must explain what the operators were told.
func TestModelExploresAllSchedulesOfSmallScenarios(t *testing.T) {
	for _, s := range exploredScenarios {
		t.Run(s.name, func(t *testing.T) {
			e := explore(t, s.scenario, *maxSchedules)
			t.Log(e)
			if e.fault != nil {
				t.Errorf("%v, after %s", e.fault, formatSteps(e.path))
			}
		})
	}
}
