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
	RegionOf map[string]string // by zone
}

// Losses is the largest number of these members that the tolerance lets go at once.
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

// sumOfLargest adds up the largest counts, so many of them.
func sumOfLargest(counts map[string]int, howMany int) (sum int) {
	var sorted []int
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.Sort(sorted)
	slices.Reverse(sorted)
	for _, count := range sorted[:min(howMany, len(sorted))] {
		sum += count
	}
	return sum
}

// Majority is the least number of members that is more than half of them.
func Majority(members int) int { return members/2 + 1 }

// SpareLosses is how many more members may be lost before a list of this size, of whom some are silent already, has no majority.
func SpareLosses(members, unresponsive int) int { return members - unresponsive - Majority(members) }
