package main

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"asterridge/daemon"
	"asterridge/standin"
)

var scripts = []script{
	{"calm", "nothing happens", func(context.Context, *fleet) error { return nil }},
	{"stay", "the callers ask, and the fleet stays up until it is interrupted", stay},
	{"large", "a blueprint of 5000 tenants is accepted, then small changes upon it", large},
	{"throttle", "every replica refuses one tenant for four seconds", throttle},
}

// after waits for a moment of the script.
func after(ctx context.Context, d time.Duration) {
	schedule := time.NewTimer(d)
	defer schedule.Stop()
	select {
	case <-schedule.C:
	case <-ctx.Done():
	}
}

// throttle measures how long it takes from the first refusal until all proxies hold.
func throttle(ctx context.Context, f *fleet) error {
	after(ctx, 3*time.Second)
	tenant := f.keys[0].Tenant
	if err := f.behave(standin.Behaviour{Tenant: tenant, IsRefusing: true}); err != nil {
		return err
	}
	began := time.Now()
	err := eventually(ctx, 15*time.Second, "all proxies hold "+tenant, func() bool {
		holding := map[string]bool{}
		for _, row := range f.query("proxyholds") {
			if row["scope"] == tenant {
				holding[row["where"].(string)] = true
			}
		}
		return len(holding) == f.options.proxies
	})
	if err != nil {
		return err
	}
	f.note("all %d proxies hold %s %d ms after the replicas began to refuse", f.options.proxies, tenant, time.Since(began).Milliseconds())
	after(ctx, 4*time.Second-time.Since(began))
	return f.behave(standin.Behaviour{Tenant: tenant})
}

// stay leaves the fleet to the user.
func stay(ctx context.Context, f *fleet) error {
	fmt.Printf("ask it: %s -fleet %s -cores %s show acks\n", filepath.Join(f.options.bin, "shell"), fleetName, strings.Join(f.cores, ","))
	fmt.Printf("a proxy: http://%s/v1/chat/completions with key %s\n", f.proxies[0], f.keys[0].Access)
	<-ctx.Done()
	return nil
}

// large measures how long a very large blueprint and small changes upon it take, to the operator's yes and to the last proxy.
func large(ctx context.Context, f *fleet) error {
	after(ctx, 2*time.Second)
	var more []map[string]any
	for i := range 5000 {
		more = append(more, map[string]any{"name": fmt.Sprintf("visitor-%d", i), "weight": 1 + i%50, "backlog": 16})
	}
	text, err := json.Marshal(map[string]any{"tenants": more})
	if err != nil {
		return err
	}
	for n := range 4 {
		what := fmt.Sprintf("a blueprint of %d bytes", len(text))
		if n > 0 {
			text = fmt.Appendf(nil, `{"tenants":[{"name":"visitor-1","weight":%d}]}`, 60+n)
			what = "a small change upon it"
		}
		began := time.Now()
		a, err := f.order(ctx, "blueprint", daemon.BlueprintOrder{Text: text, IsPartial: true})
		if err != nil {
			return err
		}
		accepted := time.Since(began)
		if err := eventually(ctx, 20*time.Second, "all proxies have "+what, func() bool { return f.areReady(a.Version) }); err != nil {
			return err
		}
		f.note("%s: accepted after %d ms, used by the last proxy after %d ms", what, accepted.Milliseconds(), time.Since(began).Milliseconds())
	}
	return nil
}
