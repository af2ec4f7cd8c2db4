package controlplane

import (
	"slices"
	"time"

	"asterridge/protocol"
	"asterridge/rendezvous"
)

// takeoverInterval is how long a core may leave a task undone before the next one in the order of a key takes it up too. It leaves an owner
// the time to hear a majority.
const takeoverInterval = protocol.QuorumTimeout

// taskAge is since when a task has been due without interruption, as seen by this core; zero while it is not due.
//
// Which core does a task is drawn among the cores that answer. One that answers may still be unable to do it: its disk takes no writes, or
// it follows an older list of members because of that. Two cores that do the same task are kept apart by their epochs.
type taskAge struct{ dueSince time.Time }

// observe records whether the task is due now, and returns for how long it has been.
func (t *taskAge) observe(due bool, now time.Time) time.Duration {
	switch {
	case !due:
		t.dueSince = time.Time{}
		return 0
	case t.dueSince.IsZero():
		t.dueSince = now
	}
	return now.Sub(t.dueSince)
}

// coreForTask returns the core that has to do a key's task which has been due for some time: the first live core in the key's order, then
// the next one after each takeoverInterval, and the first one again after the last.
func coreForTask(key string, live []string, dueFor time.Duration) string {
	if len(live) == 0 {
		return ""
	}
	remaining := slices.Clone(live)
	for passed := int(dueFor/takeoverInterval) % len(live); passed > 0; passed-- {
		unable := rendezvous.Pick(key, remaining)
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == unable })
	}
	return rendezvous.Pick(key, remaining)
}
