package protocol

import (
	"asterridge/router"
	"asterridge/throttle"
	"asterridge/watch"
)

// MergeThrottles merges the throttles of a watch response into the table. Cores use it for throttles from other cores, agents for those
// from cores.
func MergeThrottles(table *throttle.Table, response watch.Response) {
	for _, update := range response.Updates {
		if update.Key == router.ThrottleKey {
			table.Apply(update.Fields, update.AgesMs)
		}
	}
}
