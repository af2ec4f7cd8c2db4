package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"asterridge/standin"
)

var scripts = []script{
	{"calm", "nothing happens", func(context.Context, *fleet) error { return nil }},
	{"stay", "the callers ask, and the fleet stays up until it is interrupted", stay},
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
