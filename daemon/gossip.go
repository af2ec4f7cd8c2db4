package daemon

import (
	"context"
	"net/http"
	"time"

	"asterridge/gossip"
	"asterridge/rendezvous"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	defaultGossipInterval = 500 * time.Millisecond
	// gossipWatchers is the number of nodes that watch each node's heartbeats.
	gossipWatchers = 3
)

// gossipTransport sends gossip as calls to the other nodes' endpoints.
type gossipTransport struct{ client *rpc.Client }

var _ gossip.Transport = gossipTransport{}

// SendHeartbeat implements gossip.Transport.
func (t gossipTransport) SendHeartbeat(ctx context.Context, address string, heartbeat gossip.Heartbeat) (gossip.HeartbeatReply, error) {
	return rpc.Call[gossip.HeartbeatReply](ctx, t.client, address, "/ring/beat", heartbeat)
}

// SendSuspicion implements gossip.Transport.
func (t gossipTransport) SendSuspicion(ctx context.Context, address string, suspicion gossip.Suspicion) (gossip.SuspicionReply, error) {
	return rpc.Call[gossip.SuspicionReply](ctx, t.client, address, "/ring/doubt", suspicion)
}

// NewDetector returns a process's failure detector. HandleGossip adds its endpoints.
func NewDetector(host Host, role string, client *rpc.Client) *gossip.Detector {
	interval := host.GossipInterval
	if interval == 0 {
		interval = defaultGossipInterval
	}
	return gossip.New(gossip.Options{
		Self:      gossip.Node{Name: host.Name, Role: role, Zone: host.Zone, Address: host.Address},
		Seeds:     host.Seeds,
		Transport: gossipTransport{client: client},
		Interval:  interval,
		Watchers:  gossipWatchers,
		Seed:      rendezvous.Weight("seed", host.Name),
		Log:       host.Log,
	})
}

// HandleGossip adds the endpoints of a failure detector.
func HandleGossip(mux *http.ServeMux, fleet string, detector *gossip.Detector) {
	mux.Handle("POST /ring/beat", rpc.Handler(fleet, detector.HandleHeartbeat))
	mux.Handle("POST /ring/doubt", rpc.Handler(fleet, detector.HandleSuspicion))
}

// NodeRows returns one row for each node that a failure detector knows, as operators see it.
func NodeRows(detector *gossip.Detector) (rows []router.Row) {
	for _, node := range detector.Nodes() {
		rows = append(rows, router.Row{"name": node.Name, "role": node.Role, "zone": node.Zone, "address": node.Address,
			"live": !node.Down, "life": node.Incarnation})
	}
	return rows
}
