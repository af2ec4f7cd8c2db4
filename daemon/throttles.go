package daemon

import (
	"asterridge/router"
	"asterridge/throttle"
	"asterridge/watch"
)

// MergeThrottles merges the running holds of a link's answer; cores take them from each other by it, too.
func MergeThrottles(table *throttle.Table) func(*watch.Client, watch.Response) {
	return func(_ *watch.Client, answer watch.Response) {
		for _, e := range answer.Updates {
			if e.Key == router.HoldKey {
				table.Learn(e.Fields, e.AgesMs)
			}
		}
	}
}
