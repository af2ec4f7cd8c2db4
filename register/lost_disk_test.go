package register_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"asterridge/register"
)

// provenLost returns the nodes that node i takes for lost.
func (c *model) provenLost(i int) map[int]bool {
	lost := maps.Clone(c.members[i].provenLost)
	if c.scenario.injected != nil && c.scenario.injected.wronglyLost != nil {
		for _, other := range c.scenario.injected.wronglyLost(i) {
			lost[other] = true
		}
	}
	return lost
}

// diskLossChoices returns the losses of disks that are possible, half of all at most, and the nodes that may learn of one.
func (c *model) diskLossChoices() (all []choice) {
	lost := 0
	for _, m := range c.members {
		if m.lost {
			lost++
		}
	}
	for i, m := range c.members {
		if m.lost {
			continue
		}
		if c.faultsLeft.disks > 0 && 2*(lost+1) <= len(c.members) {
			all = append(all, choice{fmt.Sprint("loss of the disk of ", i), nil, nodeRestart, func() { c.faultsLeft.disks--; c.loseDisk(i) }})
		}
		for j, other := range c.members {
			if other.lost && !m.provenLost[j] {
				all = append(all, choice{fmt.Sprint(i, " learns that the disk of ", j, " is lost"), nil, messageStep, func() { m.provenLost[j] = true }})
			}
		}
	}
	return all
}

// loseDisk ends a node for good. The messages of its owner remain in transit; nobody waits for the answers.
func (c *model) loseDisk(i int) {
	c.restart(i)
	c.members[i].lost = true
}

// runWithLostDisks runs a random schedule on three to six nodes, up to half of which lose their disks.
func runWithLostDisks(t *testing.T, seed uint64, p *injectedFault) (path []string, acknowledged int, fault error) {
	random := rand.New(rand.NewPCG(seed, 50))
	s := scenario{size: 3 + random.IntN(4), requests: []request{writeRequest(0, 1, 0, "a")}, injected: p}
	s.faults = faultBudget{losses: random.IntN(10), delays: random.IntN(10), duplicates: random.IntN(5), restarts: random.IntN(8), disks: 1 + random.IntN(3)}
	return runRandomScenario(t, s, random)
}

// Guards against two quorums that do not meet once disks are proven lost: nothing acknowledged is lost, and no reader or operator is told
// what one sequence of changes does not explain, as long as half of the disks are left.
func TestLostDisksUnderRandomSchedules(t *testing.T) { checkSeeds(t, runWithLostDisks) }

// A node that takes another one for lost although it is not must be found out.
func TestWrongProofOfALostDiskIsFoundOut(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	wrong := &injectedFault{wronglyLost: func(i int) []int {
		if i < 2 {
			return []int{2, 3}
		}
		return []int{0, 1}
	}}
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 51))
		s := scenario{size: 4, requests: []request{writeRequest(0, 1, 0, "a")}, injected: wrong}
		if _, _, fault := runRandomScenario(t, s, random); fault != nil {
			t.Logf("seed %d: %v", seed, fault)
			return
		}
	}
	t.Error("not found in 400 seeds")
}

// Every quorum without some lost members meets every majority of all, and every quorum without more lost members, in a member that is left.
func TestQuorumsWithoutLostMembersMeetAllOthers(t *testing.T) {
	for members := 3; members <= 8; members++ {
		for lost := 1; 2*lost <= members; lost++ {
			left := members - lost // the members 0 to left-1
			needed := register.Voters{Peers: make(register.Peers, left), Lost: lost}.Quorum()
			others := subsets(members, register.Voters{Peers: make(register.Peers, members)}.Quorum())
			for fewer := 1; fewer <= lost; fewer++ { // earlier, when the members from members-fewer on were lost
				others = append(others, subsets(members-fewer, register.Voters{Peers: make(register.Peers, members-fewer), Lost: fewer}.Quorum())...)
			}
			for _, quorum := range subsets(left, needed) {
				for _, other := range others {
					if !slices.ContainsFunc(quorum, func(i int) bool { return slices.Contains(other, i) }) {
						t.Fatalf("%d members, %d lost: %v does not meet %v", members, lost, quorum, other)
					}
				}
			}
		}
	}
}
