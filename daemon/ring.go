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
	ringStep = 500 * time.Millisecond
	watchers = 3
)

// ringCalls are the ring's messages over the wire.
type ringCalls struct{ wire *rpc.Client }

func (c ringCalls) SendHeartbeat(ctx context.Context, address string, b gossip.Heartbeat) (gossip.HeartbeatReply, error) {
	return rpc.Call[gossip.HeartbeatReply](ctx, c.wire, address, "/ring/beat", b)
}

func (c ringCalls) SendSuspicion(ctx context.Context, address string, d gossip.Suspicion) (gossip.SuspicionReply, error) {
	return rpc.Call[gossip.SuspicionReply](ctx, c.wire, address, "/ring/doubt", d)
}

// newRing makes a daemon's place on the ring and opens its endpoints.
func newRing(host Host, role string, wire *rpc.Client) *gossip.Detector {
	step := host.RingStep
	if step == 0 {
		step = ringStep
	}
	return gossip.New(gossip.Options{
		Self:  gossip.Node{Name: host.Name, Role: role, Zone: host.Zone, Address: host.Address},
		Seeds: host.Seeds, Transport: ringCalls{wire}, Interval: step, Watchers: watchers, Log: host.Log, Seed: register.Weight("seed", host.Name),
	})
}

func serveRing(mux *http.ServeMux, fleet string, r *gossip.Detector) {
	mux.Handle("POST /ring/beat", rpc.Handler(fleet, r.HandleHeartbeat))
	mux.Handle("POST /ring/doubt", rpc.Handler(fleet, r.HandleSuspicion))
}

func ringRows(r *gossip.Detector) (rows []router.Row) {
	for _, d := range r.Nodes() {
		rows = append(rows, router.Row{"name": d.Name, "role": d.Role, "zone": d.Zone, "address": d.Address, "live": !d.Down, "life": d.Incarnation})
	}
	return rows
}
