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

func (c ringCalls) Beat(ctx context.Context, address string, b gossip.Beat) (gossip.Answer, error) {
	return rpc.Call[gossip.Answer](ctx, c.wire, address, "/ring/beat", b)
}

func (c ringCalls) Doubt(ctx context.Context, address string, d gossip.Doubt) (gossip.Silence, error) {
	return rpc.Call[gossip.Silence](ctx, c.wire, address, "/ring/doubt", d)
}

// newRing makes a daemon's place on the ring and opens its endpoints.
func newRing(host Host, role string, wire *rpc.Client) *gossip.Ring {
	step := host.RingStep
	if step == 0 {
		step = ringStep
	}
	return gossip.New(gossip.Options{
		Self:  gossip.Daemon{Name: host.Name, Role: role, Zone: host.Zone, Address: host.Address},
		Seeds: host.Seeds, Calls: ringCalls{wire}, Step: step, Watchers: watchers, Log: host.Log, Seed: register.Weight("seed", host.Name),
	})
}

func serveRing(mux *http.ServeMux, fleet string, r *gossip.Ring) {
	mux.Handle("POST /ring/beat", rpc.Handler(fleet, r.Heard))
	mux.Handle("POST /ring/doubt", rpc.Handler(fleet, r.Doubted))
}

func ringRows(r *gossip.Ring) (rows []router.Row) {
	for _, d := range r.All() {
		rows = append(rows, router.Row{"name": d.Name, "role": d.Role, "zone": d.Zone, "address": d.Address, "live": !d.Down, "life": d.Life})
	}
	return rows
}
