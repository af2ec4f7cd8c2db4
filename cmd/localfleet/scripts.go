package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/membership"
	"asterridge/rpc"
)

var scripts = []script{
	{"calm", "nothing happens", func(context.Context, *fleet) error { return nil }},
	{"stay", "the callers ask, and the fleet stays up until it is interrupted", stay},
	{"large", "a configuration of 5000 tenants is accepted, then small changes upon it", large},
	{"weights", "new weights are accepted for both pools and roll over the replicas", weights},
	{"retire", "three adapters are moved to another base model, and the old one is dropped everywhere", retire},
	{"retire-kill", "… while the core that carries it out is killed twice", retireKill},
	{"revoke", "a tenant's key is revoked, and a replica leaves", revoke},
	{"kill", "a core is killed while changes go on, and comes back", killCore},
	{"kill-all", "all cores, agents and proxies are killed at once and started again", killAll},
	{"freeze", "a core, an agent and a proxy are frozen in turn past every lease, with a change meanwhile", freeze},
	{"lose-disk", "a core is killed and its disk emptied; it is retired and admitted anew", loseDisk},
	{"roll", "every daemon is stopped kindly and started again, one after another", rollDaemons},
	{"throttle", "every replica refuses one tenant for four seconds", throttle},
	{"random", "faults drawn from the seed, up to three at a time, and at the end all daemons killed", random},
}

// after waits for a moment of the script.
func after(ctx context.Context, d time.Duration) {
	_ = rpc.Sleep(ctx, d) // the script looks at the context itself
}

// throttle measures the time from the first refusal until all proxies apply the throttle.
func throttle(ctx context.Context, f *fleet) error {
	after(ctx, 3*time.Second)
	tenant := f.keys[0].Tenant
	f.behave(fake.Behaviour{Tenant: tenant, Refusing: true})
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
	f.behave(fake.Behaviour{Tenant: tenant})
	return nil
}

// stay leaves the fleet running for the user.
func stay(ctx context.Context, f *fleet) error {
	fmt.Printf("ask it: %s -fleet %s -cores %s show acks\n", filepath.Join(f.options.bin, "asterridgectl"), fleetName, strings.Join(f.cores, ","))
	fmt.Printf("a proxy: http://%s/v1/chat/completions with key %s\n", f.proxies[0], f.keys[0].Access)
	<-ctx.Done()
	return nil
}

// large measures the time that a very large configuration, and small changes to it, take to the operator's answer and to the last proxy.
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
		what := fmt.Sprintf("a configuration of %d bytes", len(text))
		if n > 0 {
			text = fmt.Appendf(nil, `{"tenants":[{"name":"visitor-1","weight":%d}]}`, 60+n)
			what = "a small change upon it"
		}
		began := time.Now()
		a, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: text, Partial: true})
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

// change applies a small change and records how long that and the way to the last proxy took.
func (f *fleet) change(ctx context.Context, what string, weight int) error {
	began := time.Now()
	text := fmt.Appendf(nil, `{"tenants":[{"name":%q,"weight":%d}]}`, f.keys[0].Tenant, weight)
	var a controlplane.Accepted
	err := eventually(ctx, 12*time.Second, "a change is accepted "+what, func() (so bool) {
		var err error
		a, err = f.order(ctx, config.Key, controlplane.ConfigChange{Text: text, Partial: true})
		return err == nil
	})
	if err != nil {
		return err
	}
	accepted := time.Since(began)
	if err := eventually(ctx, 12*time.Second, "all proxies have the change "+what, func() bool { return f.areReady(a.Version) }); err != nil {
		return err
	}
	f.note("%s: a change accepted after %d ms, used by every proxy after %d ms", what, accepted.Milliseconds(), time.Since(began).Milliseconds())
	return nil
}

func weights(ctx context.Context, f *fleet) error {
	after(ctx, 3*time.Second)
	began := time.Now()
	for _, pool := range []string{"quick", "deep"} {
		text := fmt.Appendf(nil, `{"pools":[{"name":%q,"weights":"w2"}]}`, pool)
		if _, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: text, Partial: true}); err != nil {
			return err
		}
	}
	err := eventually(ctx, 30*time.Second, "all replicas have the new weights", func() bool {
		done := map[string]bool{}
		for _, row := range f.query("replicas") {
			if row["weights"] == "w2" && row["pool"] != "web" {
				done[row["replica"].(string)] = true
			}
		}
		return len(done) == f.options.replicas
	})
	if err == nil {
		f.note("all %d replicas are on the new weights after %d ms", f.options.replicas, time.Since(began).Milliseconds())
	}
	return err
}

func revoke(ctx context.Context, f *fleet) error {
	after(ctx, 3*time.Second)
	victim := f.keys[1]
	if _, err := f.order(ctx, "keys", controlplane.AccessKeyChange{Tenant: victim.Tenant, Hash: config.HashKey(victim.Access), Revoked: true}); err != nil {
		return err
	}
	if _, err := f.order(ctx, "replicas", controlplane.ReplicasChange{Text: []byte(`{"replicas":[{"name":"deep-1","state":"leaving"}]}`)}); err != nil {
		return err
	}
	return nil
}

func killCore(ctx context.Context, f *fleet) error {
	for i := range 4 {
		name := fmt.Sprintf("core-%d", i+1)
		after(ctx, 2*time.Second)
		if err := f.end(syscall.SIGKILL, name); err != nil {
			return err
		}
		if err := f.change(ctx, "with "+name+" killed", 10+i); err != nil {
			return err
		}
		if err := f.again(name); err != nil {
			return err
		}
		if err := eventually(ctx, 12*time.Second, name+" is ready again", f.isFounded); err != nil {
			return err
		}
	}
	return nil
}

func killAll(ctx context.Context, f *fleet) error {
	after(ctx, 3*time.Second)
	if err := f.change(ctx, "before all are killed", 17); err != nil {
		return err
	}
	version, names := f.factLog.Newest(), f.daemons()
	if err := f.end(syscall.SIGKILL, names...); err != nil {
		return err
	}
	after(ctx, time.Second)
	began := time.Now()
	if err := f.again(names...); err != nil {
		return err
	}
	if err := eventually(ctx, 12*time.Second, "service is back with what was accepted", func() bool { return f.areReady(version) }); err != nil {
		return err
	}
	f.note("all %d daemons killed: every proxy ready again with version %d after %d ms", len(names), version, time.Since(began).Milliseconds())
	return f.change(ctx, "after all were killed", 18)
}

func freeze(ctx context.Context, f *fleet) error {
	for i, name := range []string{"core-2", "agent-1", "proxy-2", "core-4"} {
		after(ctx, time.Second)
		if err := f.signal(name, syscall.SIGSTOP); err != nil {
			return err
		}
		text := fmt.Appendf(nil, `{"tenants":[{"name":%q,"weight":%d}]}`, f.keys[0].Tenant, 30+i)
		began := time.Now()
		err := eventually(ctx, 12*time.Second, "a change is accepted with "+name+" frozen", func() bool {
			_, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: text, Partial: true})
			return err == nil
		})
		f.note("%s frozen: a change accepted after %d ms", name, time.Since(began).Milliseconds())
		after(ctx, 5*time.Second)
		if wake := f.signal(name, syscall.SIGCONT); err == nil {
			err = wake
		}
		if err != nil {
			return err
		}
		began = time.Now()
		if err := eventually(ctx, 12*time.Second, "all are ready after "+name+" woke", func() bool { return f.areReady(f.factLog.Newest()) }); err != nil {
			return err
		}
		f.note("%s woken: every proxy ready with the newest configuration after %d ms", name, time.Since(began).Milliseconds())
	}
	return nil
}

func loseDisk(ctx context.Context, f *fleet) error {
	after(ctx, 2*time.Second)
	if err := f.change(ctx, "just before a disk is lost", 40); err != nil {
		return err
	}
	if err := f.end(syscall.SIGKILL, "core-3"); err != nil {
		return err
	}
	if err := os.RemoveAll(f.path("core-3")); err != nil {
		return err
	}
	if err := f.again("core-3"); err != nil {
		return err
	}
	began := time.Now()
	for _, do := range []string{"retire", "admit"} {
		err := eventually(ctx, 20*time.Second, do+" core-3", func() bool {
			_, err := f.order(ctx, "members", membership.Change{Action: membership.Action(do), Name: "core-3"})
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	err := eventually(ctx, 20*time.Second, "the keys are carried over", func() bool {
		rows := f.query("members")
		for _, row := range rows {
			if row["state"] != "member" {
				return false
			}
		}
		return len(rows) == 4
	})
	if err != nil {
		return err
	}
	f.note("a lost disk: retired, admitted and all keys carried over after %d ms", time.Since(began).Milliseconds())
	if err := f.end(syscall.SIGKILL, "core-1"); err != nil {
		return err
	}
	if err := f.change(ctx, "with the readmitted core's vote", 41); err != nil {
		return err
	}
	return f.again("core-1")
}

func rollDaemons(ctx context.Context, f *fleet) error {
	names := f.daemons()
	began := time.Now()
	for _, name := range names {
		after(ctx, 300*time.Millisecond)
		if err := f.end(syscall.SIGTERM, name); err != nil {
			return err
		}
		if err := f.again(name); err != nil {
			return err
		}
		if err := eventually(ctx, 12*time.Second, "all are ready after "+name+" was restarted", func() bool { return f.isFounded() && f.areReady(1) }); err != nil {
			return err
		}
	}
	f.note("%d daemons restarted one after another in %d ms", len(names), time.Since(began).Milliseconds())
	return nil
}
