package router

import (
	"context"
	"time"

	"asterridge/apierror"
	"asterridge/rpc"
)

// Claim requests a client's idempotency key, or reports how the request that holds it ended (docs/design.md §5.5).
type Claim struct {
	Tenant string `json:"tenant"`
	Key    string `json:"key"`
	Nonce  string `json:"nonce"`
	State  string `json:"state"` // "running", "ran", "unknown", or "free" to release it
}

// Handle claims the client's idempotency key before the first attempt of a request that is not idempotent.
func (f claimFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	if x.Key == "" || x.Idempotent || x.claimed {
		return onward(ctx, x)
	}
	began := time.Now()
	_, err := rpc.Call[struct{}](ctx, f.r.rpc, f.r.options.Agent, "/agent/claim", Claim{x.Tenant.Name, x.Key, x.ID, "running"})
	f.r.counts.add("claims", 1)
	f.r.counts.add("claim_us", time.Since(began).Microseconds())
	switch {
	case err == nil:
		x.claimed = true
		return onward(ctx, x)
	case apierror.Is(err, apierror.InProgress), apierror.Is(err, apierror.KeyUnknown), apierror.Is(err, apierror.KeyExecuted):
		return err
	}
	x.claimed = true // the claim may have been granted: release it
	return again(apierror.New(apierror.NoClaim, "%v", err), time.Second)
}

// releaseClaim releases the key if the request ended without being executed, and otherwise reports its outcome as unknown.
func (r *Router) releaseClaim(x *Exchange, err error) {
	state := "free"
	if apierror.Of(err).Code.Executed != apierror.NotRun {
		state = "unknown"
	}
	r.reportClaim(x, state)
}

// reportClaim reports a claim's new state in the background.
func (r *Router) reportClaim(x *Exchange, state string) {
	if !x.claimed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := rpc.Call[struct{}](ctx, r.rpc, r.options.Agent, "/agent/claim", Claim{x.Tenant.Name, x.Key, x.ID, state})
		if err != nil {
			r.log.Warn().Str("request", x.ID).Str("state", state).Err(err).Msg("end of a claim not reported")
		}
	}()
}
