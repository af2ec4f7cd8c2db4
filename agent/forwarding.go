package agent

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"asterridge/apierror"
	"asterridge/claim"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// maxClaimAttempts is the maximum number of cores that are tried for a claim, one after another.
const maxClaimAttempts = 2

// liveCores returns the responsive members by descending rendezvous weight for the key, so the preferred owner comes first. The cores in
// answering, whose responses are being handled, count as responsive no matter how long ago their requests were sent.
func (a *Agent) liveCores(key string, answering ...*watch.Client) (live []config.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		core := a.cores[m.Address]
		if core != nil && (slices.Contains(answering, core) || time.Since(core.FreshAsOf(m.Incarnation)) < membership.LivenessTimeout) {
			live = append(live, m)
		}
	}
	sort.Slice(live, func(i, j int) bool {
		return rendezvous.Weight(key, live[i].Name) > rendezvous.Weight(key, live[j].Name)
	})
	return live
}

// forwardThrottle sends a throttle to all live cores in parallel, so that a failed core causes no delay; the owner of the scope's register
// stores it. One success is enough. The error is apierror.Unreachable if there is no live core.
func (a *Agent) forwardThrottle(ctx context.Context, n throttle.Notice) (struct{}, error) {
	a.throttles.Merge(n, throttle.Longest)
	cores := a.liveCores(protocol.ThrottlePrefix + n.Scope)
	if len(cores) == 0 {
		return struct{}{}, apierror.New(apierror.Unreachable, "no core answers")
	}
	results := make(chan error, len(cores))
	for i, m := range cores {
		path := "/core/hold"
		if i == 0 {
			path = "/op/hold"
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), protocol.OperationTimeout)
			defer cancel()
			_, err := rpc.Call[struct{}](ctx, a.rpc, m.Address, path, n)
			results <- err
		}()
	}
	var err error
	for range cores {
		if err = <-results; err == nil {
			return struct{}{}, nil
		}
	}
	return struct{}{}, err
}

// forwardClaim sends a claim of the proxy to the owner of its register. If that core does not answer or cannot decide, it tries another.
func (a *Agent) forwardClaim(ctx context.Context, c router.Claim) (struct{}, error) {
	request := claim.Request{Claim: c}
	if proxy, connected := a.proxyStatus(protocol.ProxyTimeout); connected && proxy.Proxy != "" {
		request.Proxy = proxy.RunName()
	}
	cores := a.liveCores(request.Register())
	err := error(apierror.New(apierror.Unreachable, "no core answers"))
	for _, m := range cores[:min(maxClaimAttempts, len(cores))] {
		if err = a.callClaim(ctx, m.Address, request); err == nil || !mayRetryClaim(err) {
			return struct{}{}, err
		}
	}
	return struct{}{}, err
}

func (a *Agent) callClaim(ctx context.Context, address string, request claim.Request) error {
	ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
	defer cancel()
	_, err := rpc.Call[struct{}](ctx, a.rpc, address, "/op/claim", request)
	return err
}

// mayRetryClaim reports whether another core may answer differently. Claims are idempotent, so one that is in doubt may be sent again.
func mayRetryClaim(err error) bool {
	return apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.NoMajority) ||
		apierror.Is(err, apierror.Undecided) || apierror.Is(err, apierror.Superseded)
}

// handleQuery forwards a core's query to the proxy. The error is apierror.Unreachable if no proxy is connected.
func (a *Agent) handleQuery(ctx context.Context, q router.Query) ([]router.Row, error) {
	if proxy, connected := a.proxyStatus(protocol.ProxyTimeout); connected && proxy.Admin != "" {
		return rpc.Call[[]router.Row](ctx, a.rpc, proxy.Admin, "/proxy/query", q)
	}
	return nil, apierror.New(apierror.Unreachable, "no proxy is connected to %s", a.host.Name)
}

// forwardProxies sends the proxy the set of proxies that share the replicas, merged from all responsive cores. The caller holds a.mu.
func (a *Agent) forwardProxies() {
	proxies := register.Fields{}
	for _, core := range a.cores {
		if time.Since(core.FreshAt()) < a.options.FreshLimit {
			for name, raw := range core.Read(router.ProxiesKey).Fields {
				proxies[name] = raw
			}
		}
	}
	if change := config.Delta(a.proxies, proxies); len(change) > 0 && len(proxies) > 0 {
		a.proxies = proxies
		a.proxyUpdates.PublishHint(router.ProxiesKey, change, false)
	}
}

// coreTimeout is how long a core may go without a response before its address is withdrawn from the proxy. It is longer than a watch
// request is held open, so that a core without changes stays listed. The proxy itself skips cores that do not answer it.
const coreTimeout = 2 * membership.LivenessTimeout

// forwardCores sends the proxy the addresses of the responsive cores.
func (a *Agent) forwardCores() {
	live := register.Fields{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		if core := a.cores[m.Address]; core != nil && time.Since(core.FreshAsOf(m.Incarnation)) < coreTimeout {
			live[m.Name], _ = json.Marshal(m.Address) // encoding a string cannot fail
		}
	}
	if change := config.Delta(a.liveCoreFields, live); len(change) > 0 {
		a.liveCoreFields = live
		a.proxyUpdates.PublishHint(router.CoresKey, change, false)
	}
}

// forwardModelVersions tells the proxy since when each model version has been published: the earliest time that any core reports.
func (a *Agent) forwardModelVersions(response watch.Response) {
	for _, update := range response.Updates {
		if update.Key != router.ModelVersionsKey {
			continue
		}
		if moved := a.modelVersions.Apply(update.Fields, update.AgesMs); len(moved) > 0 {
			a.proxyUpdates.PublishHint(router.ModelVersionsKey, moved, false)
		}
	}
}
