package protocol

import (
	"asterridge/router"
	"asterridge/throttle"
	"asterridge/watch"
)

// MergeThrottles merges the throttles of a watch response into the table. Cores exchange throttles among themselves by it, and agents
// take them from cores.
func MergeThrottles(table *throttle.Table, response watch.Response) {
	for _, update := range response.Updates {
		if update.Key == router.ThrottleKey {
			table.Apply(update.Fields, update.AgesMs)
		}
	}
}
