package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rpc"
)

// unresponsiveFile records which members were unresponsive, so that a restart of all cores does not restart the time-outs.
const unresponsiveFile = "silent"

// observeLiveness updates the liveness tracker; called at each tick.
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

// lastHeard returns when a member last answered; c.mu must be held.
func (c *Core) lastHeard(m config.Member) time.Time {
	if m.Incarnation == c.incarnation {
		return time.Now()
	}
	if peer := c.peers[m.Name]; peer != nil {
		return peer.FreshAsOf(m.Incarnation)
	}
	return time.Time{}
}

// LivenessRequest asks a core for how long a member has been unresponsive to it.
type LivenessRequest struct {
	Member config.Member `json:"member"`
}

// LivenessResponse is for how long the member has been unresponsive to the core; 0 while the core has not been in contact with a
// majority for long enough to tell.
type LivenessResponse struct {
	UnresponsiveMs int64 `json:"unresponsive_ms"`
}

func (c *Core) handleLiveness(_ context.Context, request LivenessRequest) (LivenessResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.liveness.Stable() {
		return LivenessResponse{}, nil
	}
	return LivenessResponse{UnresponsiveMs: c.liveness.UnresponsiveFor(request.Member).Milliseconds()}, nil
}

// isConfirmed reports whether a proposal is supported by more than this core's own observation: a member is removed as unresponsive
// only if a majority of the others has not heard from it for as long. A core that does not answer, or runs an earlier build, does not
// count as confirming.
func (c *Core) isConfirmed(ctx context.Context, proposal membership.Proposal, members []config.Member) bool {
	if proposal.UnresponsiveFor == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, protocol.HelloTimeout)
	defer cancel()
	answers := make(chan bool, len(members))
	pending := 0
	for _, m := range members {
		if m.ID == proposal.Member.ID || m.Incarnation == c.incarnation {
			continue
		}
		pending++
		go func() {
			response, err := rpc.Call[LivenessResponse](ctx, c.rpc, m.Address, "/core/liveness", LivenessRequest{Member: proposal.Member})
			answers <- err == nil && response.UnresponsiveMs >= proposal.UnresponsiveFor.Milliseconds()
		}()
	}
	confirmations := 1 // this core
	for range pending {
		if <-answers {
			confirmations++
		}
		if membership.IsMissed(confirmations, len(members)) {
			return true
		}
	}
	return false
}

// recordUnresponsive writes the unresponsive members to disk. It runs in its own goroutine, so that nothing else waits for the disk.
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

// loadUnresponsive reads which members were unresponsive before this process started. If the file is missing or torn, their time-outs
// start from zero.
func (c *Core) loadUnresponsive() {
	raw, err := c.disk.Get(protocol.IdentityFolder, unresponsiveFile)
	if err == nil {
		err = json.Unmarshal(raw, &c.liveness.Recorded)
	}
	if err != nil {
		c.liveness.Recorded = nil
	}
}
