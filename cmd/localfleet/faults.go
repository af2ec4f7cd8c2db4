package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/membership"
	"asterridge/router"
)

// fault returns a function that undoes it. Each fault is also a script of its own.
type fault struct {
	name, purpose string
	harm          bool // costs a disk
	do            func(c *chaos) (undo func() error, err error)
}

// faults lists all faults by name.
var faults = []fault{
	{"cut", "a machine is cut off both ways", false, func(c *chaos) (func() error, error) {
		ip := c.machine()
		c.relays.part(ip, true)
		return func() error { c.relays.part(ip, false); return nil }, nil
	}},
	{"one-way", "a machine hears, and is not heard", false, func(c *chaos) (func() error, error) { return c.partition(c.machine(), "") }},
	{"lost-link", "one link is broken and cut", false, func(c *chaos) (func() error, error) {
		a, b := c.machine(), c.machine()
		c.relays.reset(a)
		return c.partition(a, b)
	}},
	{"slow-link", "one link takes 300 ms", false, func(c *chaos) (func() error, error) {
		a, b := c.machine(), c.machine()
		c.relays.slow(a, b, 300*time.Millisecond)
		return func() error { c.relays.slow(a, b, 0); return nil }, nil
	}},
	{"cut-replica", "a proxy is cut from a replica", false, func(c *chaos) (func() error, error) {
		return c.partition(ipOf(c.proxies[c.pair()]), ipOf(c.replicas[c.replica()]))
	}},
	{"split", "the core is split two and two", false, func(c *chaos) (func() error, error) {
		all := c.present()
		set := func(isCut bool) {
			for n, i := range all {
				for m, j := range all {
					if n%2 != m%2 {
						c.relays.cut(ipOf(c.cores[i]), ipOf(c.cores[j]), isCut)
					}
				}
			}
		}
		set(true)
		return func() error { set(false); return nil }, nil
	}},
	{"kill-core", "a core is killed", false, func(c *chaos) (func() error, error) { return c.kill(syscall.SIGKILL, coreName(c.core())) }},
	{"kill-cores", "all cores are killed", false, func(c *chaos) (func() error, error) {
		var names []string
		for _, i := range c.present() {
			names = append(names, coreName(i))
		}
		return c.kill(syscall.SIGKILL, names...)
	}},
	{"kill-pair", "an agent and its proxy are killed", false, func(c *chaos) (func() error, error) { return c.kill(syscall.SIGKILL, pairNames(c.pair())...) }},
	{"stop-pair", "an agent and its proxy are stopped with their grace", false, func(c *chaos) (func() error, error) { return c.kill(syscall.SIGTERM, pairNames(c.pair())...) }},
	{"kill-replica", "a replica is killed", false, func(c *chaos) (func() error, error) { return c.kill(syscall.SIGKILL, c.replica()) }},
	{"zone", "a core, its zone's proxies and agents are killed", false, func(c *chaos) (func() error, error) {
		i := c.core()
		names := []string{coreName(i)}
		for n := i % 4; n < c.options.proxies; n += 4 {
			names = append(names, pairNames(n)...)
		}
		return c.kill(syscall.SIGKILL, names...)
	}},
	{"freeze-one", "a core, an agent or a proxy is frozen under load", false, func(c *chaos) (func() error, error) {
		name := append(pairNames(c.pair()), coreName(c.core()))[c.random.IntN(3)]
		if !c.runs(name) {
			return nothing, nil
		}
		p := c.processes[name]
		return func() error { return wake(p) }, p.cmd.Process.Signal(syscall.SIGSTOP)
	}},
	{"wipe", "a core's disk is lost in the instant after a yes", true, func(c *chaos) (func() error, error) {
		i := c.core()
		text := fmt.Appendf(nil, `{"tenants":[{"name":%q,"weight":%d}]}`, c.tenant(), 1+c.random.IntN(9))
		_, _ = c.order(c.ctx, config.Key, controlplane.ConfigChange{Partial: true, Text: text}) // asked of the cores in turn: the first says yes
		return nothing, c.wipe(i)
	}},
	{"torn", "a core's newest file of the configuration is torn", true, func(c *chaos) (func() error, error) {
		name := coreName(c.core())
		undo, err := c.kill(syscall.SIGKILL, name)
		if err != nil {
			return undo, err
		}
		c.harmed = "torn"
		files, err := filepath.Glob(filepath.Join(c.path(name), "k"+config.Key, "v.*"))
		if err != nil || len(files) == 0 {
			return undo, err
		}
		newest := files[len(files)-1]
		info, err := os.Stat(newest)
		if err != nil {
			return undo, err
		}
		return undo, os.Truncate(newest, info.Size()/2)
	}},
	{"refuse-disk", "a core's disk takes no more files", false, func(c *chaos) (func() error, error) {
		folder := c.path(coreName(c.core()))
		if _, err := os.Stat(folder + ".away"); err == nil {
			return nothing, nil
		}
		if err := os.Rename(folder, folder+".away"); err != nil {
			return nothing, err
		}
		if err := os.WriteFile(folder, nil, 0o644); err != nil {
			return nothing, err
		}
		return func() error {
			if err := os.RemoveAll(folder); err != nil { // a file, or what a core made that was started meanwhile
				return err
			}
			return os.Rename(folder+".away", folder)
		}, nil
	}},
	{"replace", "a core machine is replaced by an empty one at a new address", true, func(c *chaos) (func() error, error) {
		i, made := c.core(), len(c.cores)
		if made >= 8 {
			return nothing, nil
		}
		c.harmed = coreName(i)
		if _, err := c.kill(syscall.SIGKILL, c.harmed); err != nil {
			return nothing, err
		}
		c.gone[i] = true
		c.try("retire", c.harmed)
		if err := c.placeCore(200 + made); err != nil {
			return nothing, err
		}
		if err := c.run(coreName(made), "core", c.coreArgs(made)...); err != nil {
			return nothing, err
		}
		c.try("admit", coreName(made))
		return nothing, nil
	}},
	{"seeds", "an agent is started with other agents as seeds", false, func(c *chaos) (func() error, error) {
		i := c.pair()
		name := pairNames(i)[0]
		if _, err := c.kill(syscall.SIGKILL, name); err != nil {
			return nothing, err
		}
		args := slices.Clone(c.processes[name].args)
		seeds := args[len(args)-1]
		args[len(args)-1] = c.agents[(i+1)%c.options.proxies] + "," + c.agents[(i+3)%c.options.proxies]
		if err := c.run(name, "agent", args...); err != nil {
			return nothing, err
		}
		args = slices.Clone(args)
		args[len(args)-1] = seeds
		c.processes[name].args = args // the next start has the right ones again
		return nothing, nil
	}},
	{"race", "two operators race, in bursts", false, func(c *chaos) (func() error, error) {
		for n := range 20 {
			c.partial(`{"tenants":[{"name":%q,"weight":%d}]}`, c.tenant(), 1+n)
		}
		return nothing, nil
	}},
	{"wide", "a very large configuration is accepted", false, func(c *chaos) (func() error, error) {
		var more []string
		for n := range 2000 {
			more = append(more, fmt.Sprintf(`{"name":"visitor-%d","weight":%d,"backlog":16}`, n, 1+n%50))
		}
		c.partial(`{"tenants":[%s]}`, strings.Join(more, ","))
		return nothing, nil
	}},
	{"storm", "six tenants are refused without a ground", false, func(c *chaos) (func() error, error) {
		set := func(isRefusing bool) error {
			for _, tenant := range c.tenants[:6] {
				c.behave(fake.Behaviour{Tenant: tenant, Refusing: isRefusing, Unnamed: true})
			}
			return nil
		}
		return func() error { return set(false) }, set(true)
	}},
	{"cut-streams", "a tenant's streams break off", false, func(c *chaos) (func() error, error) {
		tenant := c.tenant()
		c.behave(fake.Behaviour{Tenant: tenant, BreakAfter: 1 + c.random.IntN(5)})
		return func() error { c.behave(fake.Behaviour{Tenant: tenant}); return nil }, nil
	}},
	{"news", "what replicas say of their caches is wrong", false, func(c *chaos) (func() error, error) {
		c.behave(fake.Behaviour{News: []string{"wrong", "lost"}[c.random.IntN(2)]})
		return func() error { c.behave(fake.Behaviour{News: "true"}); return nil }, nil
	}},
	{"store", "the store comes back empty", false, func(c *chaos) (func() error, error) {
		undo, err := c.kill(syscall.SIGKILL, "store-1")
		if err != nil {
			return undo, err
		}
		return nothing, undo()
	}},
	{"slow-peers", "fetching from peers and the store is slower than reading anew", false, func(c *chaos) (func() error, error) {
		c.behave(fake.Behaviour{Link: 2})
		return func() error { c.behave(fake.Behaviour{Link: 400}); return nil }, nil
	}},
	{"reweigh", "other weights are accepted for a pool", false, func(c *chaos) (func() error, error) {
		c.partial(`{"pools":[{"name":%q,"weights":"w%d"}]}`, []string{"quick", "deep"}[c.random.IntN(2)], 1+c.random.IntN(3))
		return nothing, nil
	}},
	{"revoke-spare", "a tenant's second key is revoked", false, func(c *chaos) (func() error, error) {
		tenant := c.tenant()
		c.spared++
		c.sendReplicaUpdate("keys", controlplane.AccessKeyChange{Tenant: tenant, Hash: config.HashKey(c.spare(tenant)), Revoked: true})
		c.sendReplicaUpdate("keys", controlplane.AccessKeyChange{Tenant: tenant, Hash: config.HashKey(fmt.Sprint(tenant, c.spared))})
		return nothing, nil
	}},
	{"leave", "a replica leaves and comes back", false, func(c *chaos) (func() error, error) {
		name := c.replica()
		c.reportReplica(name, "leaving")
		return func() error { c.reportReplica(name, "present"); return nil }, nil
	}},
	{"pool", "replicas are replaced: new ones come and warm up, old ones leave and end", false, func(c *chaos) (func() error, error) {
		var old, made []string
		for n := range 2 {
			old = append(old, c.replica())
			pool, _, _ := strings.Cut(old[n], "-")
			made = append(made, fmt.Sprintf("%s-%d", pool, 100+len(c.replicas)))
			if err := c.startReplica(made[n], "model", 150+len(c.replicas)); err != nil {
				return nothing, err
			}
			c.reportReplica(made[n], "warming")
		}
		return func() error {
			for n, name := range old {
				c.reportReplica(made[n], "present")
				c.reportReplica(name, "leaving")
			}
			after(c.ctx, 3*time.Second)
			for _, name := range old {
				if _, err := c.kill(syscall.SIGKILL, name); err != nil {
					return err
				}
				c.reportReplica(name, "gone")
			}
			return nil
		}, nil
	}},
	{"wall", "a tenant's wall is put up and taken down", false, func(c *chaos) (func() error, error) {
		tenant := c.tenant()
		c.partial(`{"tenants":[{"name":%q,"walled":true}]}`, tenant)
		return func() error { c.partial(`{"tenants":[{"name":%q,"walled":false}]}`, tenant); return nil }, nil
	}},
}

// repair does what operators do once all machines are back: it retires lost members and admits new ones.
func (f *fleet) repair(ctx context.Context) error {
	return eventually(ctx, 60*time.Second, "the members are what they should be", func() bool {
		rows := f.query("members")
		if len(rows) < 3 || slices.ContainsFunc(rows, func(row router.Row) bool { return row["state"] == "carrying" }) {
			return false
		}
		joiners, count := map[any]bool{}, 0
		for _, row := range rows {
			joiners[row["name"]] = joiners[row["name"]] || row["state"] == router.JoinerState
		}
		for _, row := range rows {
			name, _ := row["name"].(string)
			member := row["state"] == "member"
			if member && (joiners[name] || row["live"] != true) {
				_, _ = f.order(ctx, "members", membership.Change{Action: membership.Remove, Name: name}) // the loop asks again
				return false
			}
			if member {
				count++
			}
		}
		for name := range joiners {
			if joiners[name] && count < 4 {
				_, _ = f.order(ctx, "members", membership.Change{Action: membership.Admit, Name: name.(string)}) // the loop asks again
				return false
			}
		}
		return count == 4
	})
}
