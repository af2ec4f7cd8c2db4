package router

import (
	"maps"
	"net/http"
	"slices"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// AdapterReport is what a replica reports of additional base models and of the adapters on them (docs/design.md §6.6).
type AdapterReport struct {
	Bases    map[string]Base    `json:"bases,omitempty"`
	Adapters map[string]Adapter `json:"adapters,omitempty"` // by NAME@BASE
}

// Base is a base model that a replica has or is loading.
type Base struct {
	Loading bool `json:"loading,omitempty"`
	Running int  `json:"running,omitempty"`
}

// Adapter is a build of an adapter that a replica has on a base.
type Adapter struct {
	Build string `json:"build"`
	State string `json:"state"`          // AdapterLoading, AdapterLoaded, AdapterTried, or AdapterBad
	Live  int    `json:"live,omitempty"` // complete responses to clients
}

// States of an adapter on a replica. AdapterTried and AdapterBad tell whether its response to the trial prompt was right.
const (
	AdapterLoading = "loading"
	AdapterLoaded  = "loaded"
	AdapterTried   = "tried"
	AdapterBad     = "bad"
)

// compileAdapters adds the current placements of the adapters to the view.
func (v *View) compileAdapters(plan *config.Config, read func(key string) (register.Revision, register.Fields)) error {
	_, fields := read(config.RetirementKey)
	retirements, _, err := config.ParseRetirements(fields)
	if err != nil {
		return err
	}
	v.adapters = map[string]adapter{}
	for name, a := range plan.Adapters {
		base, build := retirements.Route(a)
		v.adapters[name] = adapter{a.Tenants, config.Placement{Adapter: name, Base: base, Build: build}}
	}
	return nil
}

// adapter is an adapter's current placement, and the tenants that may use it; all may if there are none.
type adapter struct {
	tenants   []string
	placement config.Placement
}

// mayUse rejects a tenant that may not use the path's adapter, with apierror.NoAdapter.
func (v *View) mayUse(t *tenant, p *path) error {
	if a := v.adapters[p.Adapter]; len(a.tenants) > 0 && !slices.Contains(a.tenants, t.Name) {
		return apierror.New(apierror.NoAdapter, "adapter %s is not available to tenant %s", p.Adapter, t.Name)
	}
	return nil
}

// placement returns the base and adapter that the path's requests run on now, and reports whether the replica has them. A resumed stream
// only continues on the placement on which it began.
func (v *View) placement(x *Exchange, p *path, rep *replica) (on config.Placement, fit bool) {
	if p.Adapter == "" {
		return on, true
	}
	on = v.adapters[p.Adapter].placement
	report := rep.report.Load()
	if report == nil || x.resumedPlacement.Adapter != "" && x.resumedPlacement != on {
		return on, false
	}
	has := report.Adapters[on.Key()]
	return on, on.Build != "" && has.Build == on.Build && has.State == AdapterTried
}

// isPlacementMissing reports whether a rejection's reason is that the replica does not have the request's base or adapter.
func isPlacementMissing(reason string) bool { return reason == "base_gone" || reason == "adapter_gone" }

// forgetPlacement records, until the replica's next report, that it does not have the request's adapter on its base.
func (x *Exchange) forgetPlacement() {
	if report := x.replica.report.Load(); report != nil {
		less := *report
		less.Adapters = maps.Clone(report.Adapters)
		delete(less.Adapters, x.placement.Key())
		x.replica.report.Store(&less)
	}
}

// firstAnswerDiscount returns by how much the cost of a replica is lowered that has not yet answered a client with the adapter. Cached
// prefixes would lead all clients to a few replicas, and a move to another base waits until more than half of the replicas have answered.
func firstAnswerDiscount(rep *replica, on config.Placement) float64 {
	if on.Adapter != "" && rep.report.Load().Adapters[on.Key()].Live == 0 {
		return avoidCost
	}
	return 0
}

// domainOf adds the placement to the weights for the cache domain (docs/design.md §6.3).
func domainOf(weights string, on config.Placement) string {
	if on.Adapter == "" {
		return weights
	}
	return weights + "+" + on.Key() + "." + on.Build
}

// Headers that tell a replica which base and adapter a request runs on.
const (
	baseHeader    = "X-Base"
	adapterHeader = "X-Adapter"
	buildHeader   = "X-Adapter-Build"
)

// setPlacementHeaders sets the headers for a placement, and removes those that the client set.
func setPlacementHeaders(h http.Header, on config.Placement) {
	for name, value := range map[string]string{baseHeader: on.Base, adapterHeader: on.Adapter, buildHeader: on.Build} {
		h.Del(name)
		if on.Adapter != "" {
			h.Set(name, value)
		}
	}
}

// AdapterPath is the path at which replicas take orders for bases and adapters.
const AdapterPath = "/adapters"

// AdapterOrder tells a replica to load or drop a base, or to load or try an adapter. A replica refuses an order with a lower fencing token
// than the highest that it has received.
type AdapterOrder struct {
	config.Placement
	Do    string `json:"do"`
	Lease uint64 `json:"term"`
}

// Actions of an AdapterOrder.
const (
	LoadBase    = "load base"
	DropBase    = "drop base" // refused while requests run on the base
	LoadAdapter = "load adapter"
	TryAdapter  = "try adapter" // the replica answers a trial prompt with the adapter
)

// SendTime is W + A: a request whose check is longer ago either is at its replica or will never get there (docs/design.md §3.2).
const SendTime = writeLimit + ackLimit
