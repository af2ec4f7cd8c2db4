package register_test

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"testing"

	"asterridge/linearizability"
)

var (
	modelSeeds = flag.Int("seeds", 150, "number of random schedules that the model runs")
	modelFirst = flag.Uint64("first", 1, "seed of the first random schedule")
)

const (
	randomSteps           = 160
	maxConcurrentRequests = 4
)

// requestGenerator generates the requests of a random schedule. All operators share what they know.
type requestGenerator struct {
	random *rand.Rand
	sent   []request
}

// next returns a write based on the newest number or on the one before it, a write that was sent before, or a read.
func (o *requestGenerator) next(c *model) request {
	node := o.random.IntN(c.scenario.size)
	draw := o.random.IntN(10)
	if draw < 2 {
		return readRequest(node)
	}
	if draw < 4 && len(o.sent) > 0 {
		again := o.sent[o.random.IntN(len(o.sent))]
		again.node = node
		return again
	}
	base := c.newestNumber()
	if o.random.IntN(4) == 0 && base > 0 {
		base--
	}
	w := writeRequest(node, base+1+uint64(o.random.IntN(2)), base, string("ab"[o.random.IntN(2)]))
	o.sent = append(o.sent, w)
	return w
}

// newestNumber returns the highest number on any disk, so that most generated writes have a matching base.
func (c *model) newestNumber() (number uint64) {
	for _, m := range c.members {
		if !m.lost {
			number = max(number, numberOf(m))
		}
	}
	return number
}

// runRandomSchedule takes random steps, at first with faults, and then without until nothing is in progress any more.
func runRandomSchedule(t *testing.T, seed uint64, p *injectedFault) (path []string, acknowledged int, fault error) {
	random := rand.New(rand.NewPCG(seed, 7))
	s := scenario{size: 3 + random.IntN(3), requests: []request{writeRequest(0, 1, 0, "a")}, injected: p,
		faults: faultBudget{losses: random.IntN(20), delays: random.IntN(20), duplicates: random.IntN(10), restarts: random.IntN(20)}}
	return runRandomScenario(t, s, random)
}

// runRandomScenario takes random steps in a scenario, whose requests are only the first ones.
func runRandomScenario(t *testing.T, s scenario, random *rand.Rand) (path []string, acknowledged int, fault error) {
	o := &requestGenerator{random: random}
	var history *linearizability.Recorder
	path, fault = runSchedule(t, s, 0, func(c *model, open []choice) int {
		history = c.history
		ending := c.steps >= randomSteps
		if ending {
			c.faultsLeft = faultBudget{}
		} else if random.IntN(20) == 0 {
			c.changeLinks(random)
		}
		if !ending && c.requestsStarted == len(c.scenario.requests) && len(c.running) < maxConcurrentRequests {
			c.scenario.requests = append(c.scenario.requests, o.next(c))
		}
		return pickStep(random, open, ending)
	})
	return path, history.Count(linearizability.Acknowledged), fault
}

// pickStep picks a kind of step first, so that many messages in transit don't make the other kinds rare. At the end of a schedule it picks
// no faults. Links are rarely restored unless nothing else is possible.
func pickStep(random *rand.Rand, open []choice, ending bool) int {
	positions := map[stepKind][]int{}
	for i, step := range open {
		positions[step.kind] = append(positions[step.kind], i)
	}
	drawn := messageStep
	switch draw := random.IntN(60); {
	case draw < 9:
		drawn = messageFault
	case draw < 12:
		drawn = nodeRestart
	case draw < 14:
		drawn = linkRestoring
	}
	if ending && drawn != linkRestoring || len(positions[drawn]) == 0 {
		drawn = messageStep
	}
	if len(positions[drawn]) == 0 {
		drawn = linkRestoring
	}
	if len(positions[drawn]) == 0 {
		return -1
	}
	return positions[drawn][random.IntN(len(positions[drawn]))]
}

// changeLinks cuts all links of a node, in one direction or both as when its process is frozen, or cuts one link, or restores all links.
func (c *model) changeLinks(random *rand.Rand) {
	node, other, kind := random.IntN(c.scenario.size), random.IntN(c.scenario.size), random.IntN(5)
	for i := range c.members {
		if i == node {
			continue
		}
		switch kind {
		case 0:
			c.cuts[link{node, i}], c.cuts[link{i, node}] = true, true
		case 1:
			c.cuts[link{node, i}] = true
		case 2:
			c.cuts[link{i, node}] = true
		case 3:
			c.cuts[link{node, other}] = node != other
		default:
			clear(c.cuts)
		}
	}
}

// Runs random schedules with many faults on three to five nodes, with operators that write concurrently, repeat writes and read. The checks
// are those of the explored scenarios.
func TestModelUnderRandomSchedules(t *testing.T) {
	checkSeeds(t, runRandomSchedule)
}

// checkSeeds runs the schedule of each seed of the flags without an injected fault, and wants no violation and enough acknowledged writes.
func checkSeeds(t *testing.T, run func(t *testing.T, seed uint64, p *injectedFault) (path []string, acknowledged int, fault error)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // for speed; see explore
	sum := 0
	for n := range uint64(*modelSeeds) {
		seed := *modelFirst + n
		path, acknowledged, fault := run(t, seed, nil)
		sum += acknowledged
		if fault != nil {
			t.Fatalf("seed %d (-seeds 1 -first %d): %v, after %s", seed, seed, fault, formatSteps(path))
		}
	}
	t.Logf("seeds %d to %d: %d writes acknowledged", *modelFirst, *modelFirst+uint64(*modelSeeds)-1, sum)
	if sum < *modelSeeds {
		t.Errorf("only %d acknowledged: too many faults for the test to be meaningful", sum)
	}
}

// Checks that random schedules detect each injected fault too.
func TestRandomSchedulesFindInjectedFaults(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, p := range injectedFaults {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(400) {
				if _, _, fault := runRandomSchedule(t, seed, p.injected); fault != nil {
					t.Logf("seed %d: %v", seed, fault)
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}
