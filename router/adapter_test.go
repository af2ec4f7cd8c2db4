package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/register"
)

// A request runs only at a replica where its adapter's build on its base was tried; a stream is not resumed on another base.
func TestPlacementFollowsRouteAndReplicaReport(t *testing.T) {
	is := is.New(t)
	plan, err := config.Parse([]byte(`{"tenants":[{"name":"a"},{"name":"b"}],"pools":[{"name":"p","weights":"w1"}],
	 "adapters":[{"name":"huts","base":"m1","builds":{"m1":"h1","m2":"h2"},"tenants":["a"]}],
	 "paths":[{"name":"x","address":"/x","pool":"p","adapter":"huts"},{"name":"y","address":"/y","pool":"p"}]}`), nil, false)
	is.NoErr(err)
	fields := register.Fields{}
	compiled := func() *View {
		v := &View{}
		is.NoErr(v.compileAdapters(plan, func(string) (register.Revision, register.Fields) { return register.Revision{}, fields }))
		return v
	}
	before := compiled()
	moving := config.Retirement{Old: "m1", New: "m2", Phase: config.Moving}.With(config.Moving, "huts", config.Move{Phase: config.Switched, Build: "h2"})
	fields = config.Field("m1", moving)
	after := compiled()
	x, huts, plain := &Exchange{}, &path{Path: plan.Paths["x"]}, &path{Path: plan.Paths["y"]}
	rep := &replica{load: newLoad()}
	_, fit := before.placement(x, plain, rep)
	is.True(fit) // the path has no adapter
	_, fit = before.placement(x, huts, rep)
	is.True(!fit) // no report yet
	setAdapters := func(has map[string]Adapter) {
		rep.report.Store(&report{Report: Report{AdapterReport: AdapterReport{Adapters: has}}, at: time.Now()})
	}
	setAdapters(map[string]Adapter{"huts@m1": {Build: "h1", State: AdapterTried}, "huts@m2": {Build: "h2", State: AdapterLoaded}})
	old, fit := before.placement(x, huts, rep)
	is.True(fit)
	is.Equal(old, config.Placement{Adapter: "huts", Base: "m1", Build: "h1"})
	on, fit := after.placement(x, huts, rep)
	is.True(!fit) // loaded, but not tried
	is.Equal(on, config.Placement{Adapter: "huts", Base: "m2", Build: "h2"})
	setAdapters(map[string]Adapter{"huts@m1": {Build: "h1", State: AdapterTried}, "huts@m2": {Build: "h3", State: AdapterTried}})
	_, fit = after.placement(x, huts, rep)
	is.True(!fit) // another build
	setAdapters(map[string]Adapter{"huts@m1": {Build: "h1", State: AdapterTried}, "huts@m2": {Build: "h2", State: AdapterTried, Live: 1}})
	_, fit = after.placement(x, huts, rep)
	is.True(fit)
	is.Equal(firstAnswerDiscount(rep, on), 0.0)
	is.True(firstAnswerDiscount(rep, old) > 0)

	x.resumedPlacement = old
	_, fit = before.placement(x, huts, rep)
	is.True(fit)
	_, fit = after.placement(x, huts, rep)
	is.True(!fit) // its first chunks came from m1

	x.replica, x.placement = rep, on
	x.forgetPlacement()
	_, fit = after.placement(&Exchange{}, huts, rep)
	is.True(!fit)
	_, fit = before.placement(&Exchange{}, huts, rep)
	is.True(fit) // the rejection was about the other base

	is.NoErr(before.mayUse(&tenant{Tenant: plan.Tenants["a"]}, huts))
	is.True(apierror.Is(before.mayUse(&tenant{Tenant: plan.Tenants["b"]}, huts), apierror.NoAdapter))
	is.NoErr(before.mayUse(&tenant{Tenant: plan.Tenants["b"]}, plain))
}

func TestCacheDomainIncludesBaseAndAdapter(t *testing.T) {
	is := is.New(t)
	met := map[string]bool{}
	for _, on := range []config.Placement{{}, {Adapter: "a", Base: "m1", Build: "1"}, {Adapter: "a", Base: "m1", Build: "2"}, {Adapter: "a", Base: "m2", Build: "1"}, {Adapter: "b", Base: "m1", Build: "1"}} {
		met[prefixindex.Domain("shared", domainOf("w1", on))] = true
	}
	is.Equal(len(met), 5)
	is.Equal(domainOf("w1", config.Placement{}), "w1") // unchanged without an adapter
	h := http.Header{"X-Base": {"mine"}, "X-Adapter": {"mine"}, "X-Adapter-Build": {"mine"}}
	setPlacementHeaders(h, config.Placement{})
	is.Equal(len(h), 0) // a client cannot set them
}
