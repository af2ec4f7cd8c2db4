package daemon

import (
	"context"
	"net/http"
	"time"

	"asterridge/gossip"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	defaultGossipInterval = 500 * time.Millisecond
	gossipWatchers        = 3
)

// gossipTransport are the ring's messages over the wire.
type gossipTransport struct{ wire *rpc.Client }

func (c gossipTransport) SendHeartbeat(ctx context.Context, address string, b gossip.Heartbeat) (gossip.HeartbeatReply, error) {
	return rpc.Call[gossip.HeartbeatReply](ctx, c.wire, address, "/ring/beat", b)
}

func (c gossipTransport) SendSuspicion(ctx context.Context, address string, d gossip.Suspicion) (gossip.SuspicionReply, error) {
	return rpc.Call[gossip.SuspicionReply](ctx, c.wire, address, "/ring/doubt", d)
}

// NewDetector makes a daemon's place on the ring and opens its endpoints.
func NewDetector(host Host, role string, wire *rpc.Client) *gossip.Detector {
	step := host.GossipInterval
	if step == 0 {
		step = defaultGossipInterval
	}
	return gossip.New(gossip.Options{
		Self:  gossip.Node{Name: host.Name, Role: role, Zone: host.Zone, Address: host.Address},
		Seeds: host.Seeds, Transport: gossipTransport{wire}, Interval: step, Watchers: gossipWatchers, Log: host.Log, Seed: register.Weight("seed", host.Name),
	})
}

func HandleGossip(mux *http.ServeMux, fleet string, r *gossip.Detector) {
	mux.Handle("POST /ring/beat", rpc.Handler(fleet, r.HandleHeartbeat))
	mux.Handle("POST /ring/doubt", rpc.Handler(fleet, r.HandleSuspicion))
}

func NodeRows(r *gossip.Detector) (rows []router.Row) {
	for _, d := range r.Nodes() {
		rows = append(rows, router.Row{"name": d.Name, "role": d.Role, "zone": d.Zone, "address": d.Address, "live": !d.Down, "life": d.Incarnation})
	}
	return rows
}
