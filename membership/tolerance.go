package membership

import (
	"slices"

	"asterridge/config"
)

// Tolerance is what a deployment may lose at once with all its promises kept: any machines, or whole zones, or whole regions.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
	RegionOf map[string]string // region by zone; zones without an entry are in no region
}

// Losses is the largest number of these members that the tolerated losses can take.
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

// sumOfLargest adds up the n largest counts.
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

// Majority is the least number of members that is more than half of them.
func Majority(members int) int { return members/2 + 1 }

// SpareLosses is how many more members a list of this size bears losing before it has no majority, if some are unresponsive already.
func SpareLosses(members, unresponsive int) int { return members - unresponsive - Majority(members) }
