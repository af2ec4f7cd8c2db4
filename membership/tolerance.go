package membership

import (
	"slices"

	"asterridge/config"
)

// Tolerance is what a deployment may lose at once with all its guarantees kept: any machines, whole zones, or whole regions.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
	RegionOf map[string]string // region by zone; zones without an entry are in no region
}

// Losses returns the largest number of these members that the tolerated losses can affect.
func (t Tolerance) Losses(members []config.Member) int {
	byZone, byRegion := map[string]int{}, map[string]int{}
	for _, m := range members {
		byZone[m.Zone]++
		if region, ok := t.RegionOf[m.Zone]; ok {
			byRegion[region]++
		}
	}
	return max(t.Machines, sumOfLargest(byZone, t.Zones), sumOfLargest(byRegion, t.Regions))
}

// sumOfLargest returns the sum of the n largest counts.
func sumOfLargest(counts map[string]int, n int) (sum int) {
	var sorted []int
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.Sort(sorted)
	slices.Reverse(sorted)
	for _, count := range sorted[:min(n, len(sorted))] {
		sum += count
	}
	return sum
}

// Majority returns the smallest number that is more than half of the members.
func Majority(members int) int { return members/2 + 1 }

// SpareLosses returns how many more members a list of this size can lose and keep a majority, if some are unresponsive already.
func SpareLosses(members, unresponsive int) int { return members - unresponsive - Majority(members) }
