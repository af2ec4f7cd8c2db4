package controlplane

import (
	"encoding/json"
	"slices"
	"time"

	"asterridge/protocol"
)

const (
	// nodesFile holds the addresses of the processes that this core knew.
	nodesFile = "nodes"
	// nodesInterval is the time between two looks at whether they have changed.
	nodesInterval = 2 * time.Second
)

// recordNodes writes the addresses of the known processes to disk if they have changed. After a restart of the whole fleet the cores thus
// find the agents whose seeds are all gone, and which know nobody themselves.
func (c *Core) recordNodes() {
	known := c.detector.KnownAddresses()
	if len(known) == 0 || slices.Equal(known, c.recordedNodes) {
		return
	}
	raw, _ := json.Marshal(known) // encoding strings cannot fail
	if err := c.disk.Put(protocol.IdentityFolder, nodesFile, raw); err != nil {
		c.host.Log.Warn().Err(err).Msg("known processes not recorded on disk")
		return
	}
	c.recordedNodes = known
}

// loadNodes makes the failure detector look for the processes that an earlier run of this core recorded. A missing or unreadable file counts
// as an empty one.
func (c *Core) loadNodes() {
	raw, err := c.disk.Get(protocol.IdentityFolder, nodesFile)
	if err != nil || json.Unmarshal(raw, &c.recordedNodes) != nil {
		c.recordedNodes = nil
	}
	c.detector.Remember(c.recordedNodes)
}
