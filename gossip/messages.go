package gossip

import "context"

// Node is one process of the fleet.
type Node struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Incarnation is raised by the node to refute an update that marks it down or that stems from one of its earlier runs.
	Incarnation uint64 `json:"life"`
	Down        bool   `json:"down,omitempty"`
}

// Heartbeat tells a watcher that a node is running, and carries updates about other nodes.
type Heartbeat struct {
	From    Node   `json:"from"`
	Updates []Node `json:"news,omitempty"`
	// Full is set if Updates has all nodes known to the sender, and asks for the same in the reply.
	Full bool `json:"full,omitempty"`
}

// HeartbeatReply carries updates to the sender of a heartbeat. A sender that the receiver did not know yet gets all known nodes.
type HeartbeatReply struct {
	Updates []Node `json:"news,omitempty"`
}

// Suspicion asks another watcher of a node for how long it has not heard from the node.
type Suspicion struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
}

// SuspicionReply answers a suspicion. Watcher is false if the receiver is not a watcher of the suspected node.
type SuspicionReply struct {
	SilentMs int64 `json:"silent_ms"`
	Watcher  bool  `json:"watcher"`
}

// Transport sends messages to other nodes.
type Transport interface {
	SendHeartbeat(ctx context.Context, address string, h Heartbeat) (HeartbeatReply, error)
	SendSuspicion(ctx context.Context, address string, s Suspicion) (SuspicionReply, error)
}
