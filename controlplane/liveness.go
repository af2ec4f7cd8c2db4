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

// LivenessRequest asks a core for how long it has not heard a member.
type LivenessRequest struct {
	Member config.Member `json:"member"`
}

// LivenessResponse is the time for which the core has not heard the member; 0 while it has not heard a majority for long enough to tell.
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

// isConfirmed reports whether a proposal stands on more than this core's own word: a member is removed for its silence only if a majority of
// the others has missed it for as long. Who does not answer, or is from an earlier build, has not missed it.
func (c *Core) isConfirmed(ctx context.Context, proposal membership.Proposal, members []config.Member) bool {
	if proposal.UnresponsiveFor == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, protocol.HelloTimeout)
	defer cancel()
	answers := make(chan bool, len(members))
	asked := 0
	for _, m := range members {
		if m.ID == proposal.Member.ID || m.Incarnation == c.incarnation {
			continue
		}
		asked++
		go func() {
			response, err := rpc.Call[LivenessResponse](ctx, c.rpc, m.Address, "/core/liveness", LivenessRequest{Member: proposal.Member})
			answers <- err == nil && response.UnresponsiveMs >= proposal.UnresponsiveFor.Milliseconds()
		}()
	}
	voices := 1 // this core's
	for range asked {
		if <-answers {
			voices++
		}
		if membership.IsMissed(voices, len(members)) {
			return true
		}
	}
	return false
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
