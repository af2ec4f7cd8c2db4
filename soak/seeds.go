package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// Flags are what a soak is started with by hand.
type Flags struct {
	seeds     *int
	first     *uint64
	length    *time.Duration
	processes *int
}

// AddFlags adds the flags of a soak to a test binary. Each test binary has them once.
func AddFlags() *Flags {
	return &Flags{
		seeds:     flag.Int("soak-seeds", 2, "how many seeds a soak takes"),
		first:     flag.Uint64("soak-first", 1, "the first of them"),
		length:    flag.Duration("soak-length", 12*time.Second, "how long clients send requests in each"),
		processes: flag.Int("soak-processes", 0, "how many processes a fleet has; 0: drawn for each seed, 8 to 16"),
	}
}

// Sizes of drawn fleets.
const (
	minCores, maxCores = 3, 5
	minEdges, maxEdges = 2, 5
	minGrace, maxGrace = 6, 9 // in seconds; shorter ones leave less for a busy machine
	planStream         = 2
)

// plan draws what a seed plays.
func (f *Flags) plan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	between := func(low, high int) int { return low + random.IntN(high-low+1) }
	size := Size{Cores: between(minCores, maxCores), Edges: between(minEdges, maxEdges), Replicas: between(2, 6), Grace: time.Duration(between(minGrace, maxGrace)) * time.Second}
	if *f.processes > 0 {
		size.Cores = min(maxCores, max(minCores, *f.processes/10))
		size.Edges = max(minEdges, (*f.processes-size.Cores)/2)
	}
	const clientsOfAnEdge = 6
	return Plan{Seed: seed, Size: size, Clients: clientsOfAnEdge * size.Edges, Length: *f.length}
}

// PlaySeeds soaks a system with each seed, several at a time. Findings fail the test of their seed, with the command that repeats it and the
// logs of the processes involved.
func (f *Flags) PlaySeeds(t *testing.T, system System) {
	report := NewReport()
	t.Cleanup(func() { report.Write(os.Stdout) }) // when all seeds have ended
	for seed := *f.first; seed < *f.first+uint64(*f.seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := Play(t.TempDir(), system, f.plan(seed))
			if err != nil {
				t.Fatalf("%v\n%s", err, result.Stories)
			}
			report.Add(result)
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			if t.Failed() {
				t.Logf("repeat with: go test . -run '^TestSoak$' -soak-seeds 1 -soak-first %d -soak-length %v -soak-processes %d\n%s",
					seed, *f.length, *f.processes, result.Stories)
			}
		})
	}
}
