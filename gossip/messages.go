package gossip

import "context"

// Node is one process of the fleet.
type Node struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Incarnation rises when the node has to contradict an update that calls it down, or that knows a run of it before this one.
	Incarnation uint64 `json:"life"`
	Down        bool   `json:"down,omitempty"`
}

// Heartbeat tells a watcher that a node runs, and brings updates of others.
type Heartbeat struct {
	From    Node   `json:"from"`
	Updates []Node `json:"news,omitempty"`
	// Full: Updates are all that the sender knows, and it wants the same back.
	Full bool `json:"full,omitempty"`
}

// HeartbeatReply brings updates back. A node that the receiver did not know gets all that the receiver knows.
type HeartbeatReply struct {
	Updates []Node `json:"news,omitempty"`
}

// Suspicion asks another watcher of a node for how long it has not heard the node.
type Suspicion struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
}

// SuspicionReply answers a suspicion. Watcher is false from a node that does not watch the suspected one.
type SuspicionReply struct {
	SilentMs int64 `json:"silent_ms"`
	Watcher  bool  `json:"watcher"`
}

// Transport sends messages to other nodes.
type Transport interface {
	SendHeartbeat(ctx context.Context, address string, h Heartbeat) (HeartbeatReply, error)
	SendSuspicion(ctx context.Context, address string, s Suspicion) (SuspicionReply, error)
}
