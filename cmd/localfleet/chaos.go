package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/membership"
)

// chaos injects faults drawn from the seed.
type chaos struct {
	*fleet
	ctx    context.Context
	random *rand.Rand
	harmed string // a core whose disk is lost or torn and that is not made good: no second one may be
	orders sync.WaitGroup
	spared int
}

// nothing is the undo of a fault that ends by itself.
func nothing() error { return nil }

func (c *chaos) core() int { return c.present()[c.random.IntN(len(c.present()))] }

func (c *chaos) pair() int { return c.random.IntN(c.options.proxies) }

func (c *chaos) tenant() string { return c.tenants[c.random.IntN(len(c.tenants)-1)] } // the last is left for probes

// present lists the cores that were not replaced for good.
func (c *chaos) present() (all []int) {
	for i := range c.cores {
		if !c.gone[i] {
			all = append(all, i)
		}
	}
	return all
}

func coreName(i int) string { return fmt.Sprintf("core-%d", i+1) }

func pairNames(i int) []string {
	return []string{fmt.Sprintf("agent-%d", i+1), fmt.Sprintf("proxy-%d", i+1)}
}

// machine draws the IP address of a core or of a proxy's machine.
func (c *chaos) machine() string {
	if c.random.IntN(2) == 0 {
		return ipOf(c.cores[c.core()])
	}
	return ipOf(c.proxies[c.pair()])
}

func (c *chaos) replica() string {
	var names []string
	for name := range c.replicas {
		if !strings.HasPrefix(name, "web") && !strings.HasPrefix(name, "store") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[c.random.IntN(len(names))]
}

// kill kills those of the processes that run; its undo starts them again.
func (c *chaos) kill(s syscall.Signal, names ...string) (func() error, error) {
	names = slices.DeleteFunc(names, func(name string) bool { return !c.runs(name) })
	return func() error { return c.ensure(names...) }, c.end(s, names...)
}

func (c *chaos) sendReplicaUpdate(name string, order any) {
	c.orders.Go(func() { _, _ = c.order(c.ctx, name, order) }) // the fact log has how it ended
}

// reportReplica sends the platform's update about a replica. Updates are sent one after another.
func (c *chaos) reportReplica(name, state string) {
	pool, _, _ := strings.Cut(name, "-")
	c.orders.Wait()
	c.sendReplicaUpdate("replicas", controlplane.ReplicasChange{Text: fmt.Appendf(nil, `{"replicas":[{"name":%q,"address":%q,"pool":%q,"zone":"zone-1","limit":8,"state":%q}]}`,
		name, c.replicas[name], pool, state)})
}

func (c *chaos) partial(format string, args ...any) {
	c.sendReplicaUpdate(config.Key, controlplane.ConfigChange{Partial: true, Text: fmt.Appendf(nil, format, args...)})
}

// wipe empties a core's disk and starts the core again, as one that is not a member.
func (c *chaos) wipe(i int) error {
	c.harmed = coreName(i)
	if _, err := c.kill(syscall.SIGKILL, c.harmed); err != nil {
		return err
	}
	if err := os.RemoveAll(c.path(c.harmed)); err != nil {
		return err
	}
	return c.ensure(c.harmed)
}

func (c *chaos) partition(from, to string) (func() error, error) {
	c.relays.cut(from, to, true)
	return func() error { c.relays.cut(from, to, false); return nil }, nil
}

func wake(p *process) error {
	select {
	case <-p.ended: // killed by another fault meanwhile
		return nil
	default:
		return p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// try orders a membership change under the present faults. A change that fails is made up for at the end.
func (c *chaos) try(do, name string) {
	for range 6 {
		if _, err := c.order(c.ctx, "members", membership.Change{Action: membership.Action(do), Name: name}); err == nil {
			return
		}
		after(c.ctx, 500*time.Millisecond)
	}
}

// scriptOf returns a script with one fault that lasts 4 s.
func scriptOf(made fault) script {
	return script{made.name, made.purpose, func(ctx context.Context, f *fleet) error {
		return newChaos(ctx, f).bring([]fault{made}, 1)
	}}
}

func newChaos(ctx context.Context, f *fleet) *chaos {
	return &chaos{fleet: f, ctx: ctx, random: rand.New(rand.NewPCG(f.options.seed, 9))}
}

// random injects faults drawn from the seed, up to three at a time.
func random(ctx context.Context, f *fleet) error { return newChaos(ctx, f).bring(faults, 12) }

// bring injects that many faults, undoes them all, and starts what is dead.
func (c *chaos) bring(among []fault, count int) error {
	type activeFault struct {
		until time.Time
		undo  func() error
	}
	var now []activeFault
	var played []string
	after(c.ctx, 2*time.Second)
	for len(played) < count || len(now) > 0 {
		if len(now) < 3 && len(played) < count {
			pick := among[c.random.IntN(len(among))]
			if !pick.harm || c.harmed == "" {
				played = append(played, pick.name)
				undo, err := pick.do(c)
				if err != nil {
					return fmt.Errorf("%s: %w", pick.name, err)
				}
				now = append(now, activeFault{time.Now().Add(time.Duration(1500+c.random.IntN(3500)) * time.Millisecond), undo})
			}
		}
		after(c.ctx, time.Duration(300+c.random.IntN(900))*time.Millisecond)
		var kept []activeFault
		for _, s := range now {
			if time.Now().Before(s.until) {
				kept = append(kept, s)
			} else if err := s.undo(); err != nil {
				return err
			}
		}
		now = kept
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
	}
	c.orders.Wait()
	if c.closing {
		if _, err := c.kill(syscall.SIGKILL, c.daemons()...); err != nil {
			return err
		}
		played = append(played, "closing: all daemons killed")
	}
	c.note("faults: %s", strings.Join(played, ", "))
	return c.ensure(slices.DeleteFunc(slices.Clone(c.started), func(name string) bool {
		var i int
		_, _ = fmt.Sscanf(name, "core-%d", &i) // other names keep the number 0
		return name == "callers" || c.gone[i-1]
	})...)
}
