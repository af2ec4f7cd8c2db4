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
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// forwardThrottle passes a throttle on to all cores at once, so that one that is gone delays nobody; the scope's owner also keeps it. One answer is enough.
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
			short, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*protocol.QuorumTimeout)
			defer stop()
			_, err := rpc.Call[struct{}](short, a.rpc, m.Address, path, n)
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

// liveCores lists the members that answer, the one that would own the key first. Who answers in this moment counts, however long ago its
// ask was sent.
func (a *Agent) liveCores(key string, answering ...*watch.Client) (live []config.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		if f := a.cores[m.Address]; f != nil && (slices.Contains(answering, f) || time.Since(f.FreshAsOf(m.Incarnation)) < protocol.LivenessTimeout) {
			live = append(live, m)
		}
	}
	sort.Slice(live, func(i, j int) bool { return register.Weight(key, live[i].Name) > register.Weight(key, live[j].Name) })
	return live
}

// forwardClaim passes a claim on to its group's owner.
func (a *Agent) forwardClaim(ctx context.Context, q router.Claim) (struct{}, error) {
	o := claim.Request{Claim: q}
	for _, s := range a.proxyUpdates.ClientStates(protocol.ProxyTimeout) {
		var p router.Status
		if s.Role == "proxy" && json.Unmarshal(s.Status, &p) == nil {
			o.Proxy = p.Proxy + "." + p.Run
		}
	}
	return callOwner[struct{}](ctx, a, o.Register(), "/op/claim", o, func(err error) bool {
		return apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.NoMajority) || apierror.Is(err, apierror.Undecided) || apierror.Is(err, apierror.Superseded)
	})
}

// callOwner asks the core that would own the key, and then the others, while the error is one that another may not have.
func callOwner[A any](ctx context.Context, a *Agent, key, path string, q any, retryable func(error) bool) (A, error) {
	cores := a.liveCores(key)
	var answer A
	err := error(apierror.New(apierror.Unreachable, "no core answers"))
	for _, m := range cores[:min(2, len(cores))] {
		short, stop := context.WithTimeout(ctx, 2*protocol.QuorumTimeout)
		answer, err = rpc.Call[A](short, a.rpc, m.Address, path, q)
		stop()
		if err == nil || !retryable(err) {
			return answer, err
		}
	}
	return answer, err
}

// handleQuery passes a core's question on to the proxy.
func (a *Agent) handleQuery(ctx context.Context, q router.Query) ([]router.Row, error) {
	for _, s := range a.proxyUpdates.ClientStates(protocol.ProxyTimeout) {
		var p router.Status
		if s.Role == "proxy" && json.Unmarshal(s.Status, &p) == nil && p.Admin != "" {
			return rpc.Call[[]router.Row](ctx, a.rpc, p.Admin, "/proxy/query", q)
		}
	}
	return nil, apierror.New(apierror.Unreachable, "no proxy beside %s", a.host.Name)
}
