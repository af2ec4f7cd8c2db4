package controlplane

import (
	"slices"
	"time"

	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/watch"
)

const (
	// takeoverInterval is how long a core may leave a task undone before the next one in the order of a key takes it up too. It leaves an
	// owner the time to hear a majority.
	takeoverInterval = protocol.QuorumTimeout
	// outdatedGrace is how long a core may have an older list of members than another one before it gets no tasks.
	outdatedGrace = 2 * tickInterval
)

// taskAge is since when a task has been due without interruption, as seen by this core; zero while it is not due.
//
// Which core does a task is drawn among the cores that answer. One that answers may still be unable to do it, for instance while its disk
// takes no writes. Two cores that do the same task are kept apart by their epochs.
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

// coreForTask returns the core that has to do a key's task which has been due for some time: the first candidate in the key's order, then
// the next one after each takeoverInterval, and the first one again after the last.
func coreForTask(key string, candidates []string, dueFor time.Duration) string {
	if len(candidates) == 0 {
		return ""
	}
	remaining := slices.Clone(candidates)
	for passed := int(dueFor/takeoverInterval) % len(candidates); passed > 0; passed-- {
		unable := rendezvous.Pick(key, remaining)
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == unable })
	}
	return rendezvous.Pick(key, remaining)
}

// observeOutdated records which members have had an older list of members than another core, this one or a peer, and since when. A disk
// that takes no writes keeps a core there, and the messages of such a core are refused by the others.
func (c *Core) observeOutdated(now time.Time) {
	own := c.acceptor.Read(config.MembersKey)
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := map[string]uint64{c.host.Name: own.Revision.Version}
	newest := uint64(0)
	if own.IsCommitted() {
		newest = own.Revision.Version
	}
	for name, peer := range c.peers {
		version, committed := membersVersion(peer)
		versions[name] = version
		if committed {
			newest = max(newest, version)
		}
	}
	outdated := map[string]time.Time{}
	for name, version := range versions {
		if version >= newest {
			continue
		}
		outdated[name] = now
		if since, known := c.outdatedSince[name]; known {
			outdated[name] = since
		}
	}
	c.outdatedSince = outdated
}

// membersVersion returns the version of the list of members that a peer has, and whether that is known to be committed.
func membersVersion(peer *watch.Client) (version uint64, committed bool) {
	revision, committedRevision := peer.Revisions(config.MembersKey)
	return revision.Version, register.IsCommitted(revision, committedRevision)
}

// able returns the live members that are to be given tasks: those that follow the list of members.
func (c *Core) able() []string {
	live, now := c.live(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return withoutOutdated(live, c.outdatedSince, now)
}

// withoutOutdated returns the live members that have not had an older list for outdatedGrace; all of them if that leaves none, since the core
// with the newest list may have ended since it reported it.
func withoutOutdated(live []string, outdatedSince map[string]time.Time, now time.Time) []string {
	var able []string
	for _, name := range live {
		if since, outdated := outdatedSince[name]; !outdated || now.Sub(since) < outdatedGrace {
			able = append(able, name)
		}
	}
	if len(able) == 0 {
		return live
	}
	return able
}
