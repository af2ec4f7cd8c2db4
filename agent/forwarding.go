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

// maxClaimAttempts is how many cores are asked for a claim, one after another.
const maxClaimAttempts = 2

// liveCores lists the members that answer, the one that would own the key first. A core whose response is just being handled counts, however
// long ago its request was sent.
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

// forwardThrottle passes a throttle on to all live cores at once, so that one that is gone delays nobody; the owner of the scope's register
// stores it. One answer is enough. The error is apierror.Unreachable if no core answers.
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

// forwardClaim takes a claim of the proxy to its register's owner. If that core does not answer, or cannot decide, another one is asked.
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

// mayRetryClaim reports whether another core may answer differently. Claims are idempotent, so an undecided one may be sent again.
func mayRetryClaim(err error) bool {
	return apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.NoMajority) ||
		apierror.Is(err, apierror.Undecided) || apierror.Is(err, apierror.Superseded)
}

// handleQuery passes a core's query on to the proxy. The error is apierror.Unreachable if no proxy is connected.
func (a *Agent) handleQuery(ctx context.Context, q router.Query) ([]router.Row, error) {
	if proxy, connected := a.proxyStatus(protocol.ProxyTimeout); connected && proxy.Admin != "" {
		return rpc.Call[[]router.Row](ctx, a.rpc, proxy.Admin, "/proxy/query", q)
	}
	return nil, apierror.New(apierror.Unreachable, "no proxy beside %s", a.host.Name)
}

// forwardProxies gives the proxy the names of those that share the replicas, from all cores that answer; a.mu is held.
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

// coreTimeout is for how long a core may be silent that the proxy is given: longer than a request is held, so that an idle one stays. The
// proxy leaves alone a core that does not answer it.
const coreTimeout = 2 * membership.LivenessTimeout

// forwardCores gives the proxy the addresses of the cores that answer.
func (a *Agent) forwardCores() {
	live := register.Fields{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		if core := a.cores[m.Address]; core != nil && time.Since(core.FreshAsOf(m.Incarnation)) < coreTimeout {
			live[m.Name], _ = json.Marshal(m.Address) // a string always encodes
		}
	}
	if change := config.Delta(a.liveCoreFields, live); len(change) > 0 {
		a.liveCoreFields = live
		a.proxyUpdates.PublishHint(router.CoresKey, change, false)
	}
}

// forwardModelVersions tells the proxy since when versions of models are published, as the core knows it that has known it for longest.
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
