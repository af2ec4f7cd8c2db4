package controlplane

import (
	"encoding/json"
	"maps"
	"time"

	"asterridge/config"
	"asterridge/protocol"
)

// unresponsiveFile notes which members were unresponsive, so that a restart of all cores does not begin the count anew.
const unresponsiveFile = "silent"

// observeLiveness has the tracker look at the members, at each tick.
func (c *Core) observeLiveness(members []config.Member) {
	hasQuorum := c.hasMajorityOf(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveness.Observe(time.Now(), members, c.lastHeard, hasQuorum)
	if recordable := c.liveness.Recordable(); !maps.Equal(recordable, c.liveness.Recorded) {
		c.liveness.Recorded = recordable
		go c.recordUnresponsive()
	}
}

// lastHeard is when a member last answered; c.mu is held.
func (c *Core) lastHeard(m config.Member) time.Time {
	if m.Incarnation == c.incarnation {
		return time.Now()
	}
	if peer := c.peers[m.Name]; peer != nil {
		return peer.FreshAsOf(m.Incarnation)
	}
	return time.Time{}
}

// recordUnresponsive writes down who is unresponsive. Nothing waits for the disk.
func (c *Core) recordUnresponsive() {
	c.recordingSlot <- struct{}{}
	defer func() { <-c.recordingSlot }()
	c.mu.Lock()
	raw, _ := json.Marshal(c.liveness.Recorded) // a map of strings always encodes
	c.mu.Unlock()
	if err := c.disk.Put(protocol.IdentityFolder, unresponsiveFile, raw); err != nil {
		c.host.Log.Warn().Err(err).Msg("unresponsive members not recorded on disk")
	}
}

// loadUnresponsive reads who was unresponsive before this process started. Without the file, or with a torn one, the count begins at zero.
func (c *Core) loadUnresponsive() {
	raw, err := c.disk.Get(protocol.IdentityFolder, unresponsiveFile)
	if err == nil {
		err = json.Unmarshal(raw, &c.liveness.Recorded)
	}
	if err != nil {
		c.liveness.Recorded = nil
	}
}
