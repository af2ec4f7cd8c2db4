package register_test

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"testing"

	"asterridge/linearizability"
)

var (
	modelSeeds = flag.Int("seeds", 150, "how many random schedules the model plays")
	modelFirst = flag.Uint64("first", 1, "the seed of the first of them")
)

const (
	randomSteps  = 160
	mostUnderWay = 4
)

// operators make up the next order of a random schedule, from what all of them have been told.
type operators struct {
	random *rand.Rand
	sent   []call
}

// next gives a declaration on the newest acknowledged number or on the one before, one that was sent before, or a read.
func (o *operators) next(c *model) call {
	node := o.random.IntN(c.scenario.size)
	draw := o.random.IntN(10)
	if draw < 2 {
		return read(node)
	}
	if draw < 4 && len(o.sent) > 0 {
		again := o.sent[o.random.IntN(len(o.sent))]
		again.node = node
		return again
	}
	base := c.newest()
	if o.random.IntN(4) == 0 && base > 0 {
		base--
	}
	made := declare(node, base+1+uint64(o.random.IntN(2)), base, string("ab"[o.random.IntN(2)]))
	o.sent = append(o.sent, made)
	return made
}

// newest gives the highest number on any disk: operators guess well.
func (c *model) newest() (number uint64) {
	for _, m := range c.members {
		number = max(number, numberOf(m))
	}
	return number
}

// randomSchedule plays steps drawn by lot, at first with faults, and then until nothing is under way any more.
func randomSchedule(t *testing.T, seed uint64, p *plant) (path []string, acknowledged int, fault error) {
	random := rand.New(rand.NewPCG(seed, 7))
	o := &operators{random: random}
	s := scenario{size: 3 + random.IntN(3), orders: []call{declare(0, 1, 0, "a")}, plant: p,
		faults: budget{losses: random.IntN(20), delays: random.IntN(20), doubles: random.IntN(10), restarts: random.IntN(20)}}
	var told *linearizability.Recorder
	path, fault = play(t, s, 0, func(c *model, open []choice) int {
		told = c.history
		ending := c.steps >= randomSteps
		if ending {
			c.left = budget{}
		} else if random.IntN(20) == 0 {
			c.cutOrMend(random)
		}
		if !ending && c.started == len(c.scenario.orders) && len(c.running) < mostUnderWay {
			c.scenario.orders = append(c.scenario.orders, o.next(c))
		}
		return pick(random, open, ending)
	})
	return path, told.Count(linearizability.Acknowledged), fault
}

// pick draws a kind of step first, so that many messages under way do not make other kinds rare; at the end no faults. Cuts are mended
// seldom, unless nothing else is open.
func pick(random *rand.Rand, open []choice, ending bool) int {
	places := map[kind][]int{}
	for i, made := range open {
		places[made.kind] = append(places[made.kind], i)
	}
	drawn := plain
	switch draw := random.IntN(60); {
	case draw < 9:
		drawn = disturbing
	case draw < 12:
		drawn = restarting
	case draw < 14:
		drawn = mending
	}
	if ending && drawn != mending || len(places[drawn]) == 0 {
		drawn = plain
	}
	if len(places[drawn]) == 0 {
		drawn = mending
	}
	if len(places[drawn]) == 0 {
		return -1
	}
	return places[drawn][random.IntN(len(places[drawn]))]
}

// cutOrMend cuts a node off, in one direction or both, as when it is frozen; or cuts one link, or mends all.
func (c *model) cutOrMend(random *rand.Rand) {
	node, other, kind := random.IntN(c.scenario.size), random.IntN(c.scenario.size), random.IntN(5)
	for i := range c.members {
		if i == node {
			continue
		}
		switch kind {
		case 0:
			c.cuts[route{node, i}], c.cuts[route{i, node}] = true, true
		case 1:
			c.cuts[route{node, i}] = true
		case 2:
			c.cuts[route{i, node}] = true
		case 3:
			c.cuts[route{node, other}] = node != other
		default:
			clear(c.cuts)
		}
	}
}

// Random schedules with many faults, three to five nodes, and operators that race, repeat and read: as in the explored scenarios.
func TestModelUnderRandomSchedules(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // see explore
	sum := 0
	for n := range uint64(*modelSeeds) {
		seed := *modelFirst + n
		path, acknowledged, fault := randomSchedule(t, seed, nil)
		sum += acknowledged
		if fault != nil {
			t.Fatalf("seed %d (-seeds 1 -first %d): %v, after %s", seed, seed, fault, schedule(path))
		}
	}
	t.Logf("seeds %d to %d: %d declarations acknowledged", *modelFirst, *modelFirst+uint64(*modelSeeds)-1, sum)
	if sum < *modelSeeds {
		t.Errorf("only %d acknowledged: the schedules are too rough to show anything", sum)
	}
}

// Each planted fault is found by random schedules too.
func TestRandomSchedulesFindPlantedFaults(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(400) {
				if _, _, fault := randomSchedule(t, seed, p.plant); fault != nil {
					t.Logf("seed %d: %v", seed, fault)
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}
