package register_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"asterridge/lease"
	"asterridge/register"
)

const (
	leaseKey    = "term/d"
	leaseLength = 2 * time.Second
	leaseMargin = leaseLength / 8
)

// leaseStore stores leases in a register. It reads from the node's own disk, and acquires through the owner at any node.
type leaseStore struct {
	cluster   *cluster
	candidate *candidate
}

func (b leaseStore) Read(string) lease.Grant {
	record := b.cluster.acceptors[b.candidate.node].Read(leaseKey)
	return lease.ReadGrant(record.Fields, record.Revision.Version)
}

func (b leaseStore) Acquire(ctx context.Context, _ string, next, seen lease.Grant) (uint64, error) {
	return b.write(ctx, next.Replace(seen))
}

func (b leaseStore) write(ctx context.Context, op register.Op) (uint64, error) {
	revision, err := b.cluster.owners[b.candidate.owner.Load()].Change(ctx, leaseKey, op)
	return revision.Version, err
}

// candidate is a process that campaigns for a lease. While it is frozen it neither campaigns nor acts.
type candidate struct {
	candidate   *lease.Candidate
	store       lease.Store
	node        int
	incarnation int
	frozen      bool
	owner       atomic.Int64 // the node whose owner executes its next change
	stepping    sync.Mutex
}

// step has a candidate renew or acquire the lease, unless the previous attempt is still in progress.
func (c *candidate) step(ctx context.Context) {
	candidate := c.candidate
	if !c.stepping.TryLock() {
		return
	}
	go func() {
		defer c.stepping.Unlock()
		candidate.Campaign(ctx)
	}()
}

// usedFences maps each fencing token that was used for an action to its holder.
type usedFences map[uint64]string

// useAll has every process that believes it holds the lease act with its fencing token. It returns an error if a token is used by two
// holders or after a higher one, or if several processes hold the lease at the same time.
func (f usedFences) useAll(all []*candidate) error {
	var holders []string
	for _, c := range all {
		number, own := c.candidate.Held()
		if !own {
			continue
		}
		holders = append(holders, c.candidate.Holder())
		if c.frozen {
			continue
		}
		if before, isUsed := f[number]; isUsed && before != c.candidate.Holder() {
			return fmt.Errorf("fencing token %d was used by %s and by %s", number, before, c.candidate.Holder())
		}
		for used, by := range f {
			if used > number && by != c.candidate.Holder() {
				return fmt.Errorf("%s acts with fencing token %d after %s with %d", c.candidate.Holder(), number, by, used)
			}
		}
		f[number] = c.candidate.Holder()
	}
	if len(holders) > 1 {
		return fmt.Errorf("several processes hold the lease at once: %v", holders)
	}
	return nil
}

// leaseFaults are injected faults. Functions that are nil change nothing.
type leaseFaults struct {
	length func(node int) time.Duration                 // the lease length that a candidate assumes
	store  func(node int, real lease.Store) lease.Store // wraps the store of a candidate
}

// runRandomLeases runs candidates on one register with random link cuts, and freezes and restarts of the candidates.
func runRandomLeases(t *testing.T, seed uint64, planted leaseFaults) (terms int, fault error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 11))
		c := newCluster(t, 3+random.IntN(2))
		var all []*candidate
		restart := func(one *candidate) {
			one.incarnation++
			length := leaseLength
			if planted.length != nil {
				length = planted.length(one.node)
			}
			one.store = leaseStore{c, one}
			if planted.store != nil {
				one.store = planted.store(one.node, one.store)
			}
			one.candidate = lease.New(lease.Options{Role: "d", Holder: fmt.Sprintf("%d.%d", one.node, one.incarnation),
				Length: length, Margin: leaseMargin, Store: one.store, Log: zerolog.Nop()})
		}
		for node := range c.owners {
			one := &candidate{node: node}
			restart(one)
			all = append(all, one)
		}
		used := usedFences{}
		for tick := range 1200 {
			time.Sleep(20 * time.Millisecond)
			if fault = used.useAll(all); fault != nil {
				fault = fmt.Errorf("at %v: %w", time.Duration(tick)*20*time.Millisecond, fault)
				break
			}
			one := all[random.IntN(len(all))]
			switch random.IntN(40) {
			case 0:
				c.isolate(one.node, random.IntN(2) == 0, random.IntN(2) == 0)
			case 1:
				one.frozen = true
			case 2:
				restart(one)
			case 3, 4:
				for _, other := range all {
					other.frozen = false
					c.isolate(other.node, false, false)
				}
			}
			for _, stepping := range all {
				if !stepping.frozen && random.IntN(20) == 0 {
					stepping.owner.Store(int64(stepping.node))
					if random.IntN(3) == 0 {
						stepping.owner.Store(int64(random.IntN(len(all))))
					}
					stepping.step(t.Context())
				}
			}
		}
		terms = len(used)
		time.Sleep(time.Minute)
	})
	return terms, fault
}

// Guards against two processes that hold a lease at the same time, or use the same fencing token, while links are cut and processes are
// frozen, resumed or restarted.
func TestLeasesOnTheRegisterUnderRandomFaults(t *testing.T) {
	sum := 0
	for n := range uint64(*modelSeeds) {
		seed := *modelFirst + n
		terms, fault := runRandomLeases(t, seed, leaseFaults{})
		sum += terms
		if fault != nil {
			t.Fatalf("seed %d (-seeds 1 -first %d): %v", seed, seed, fault)
		}
	}
	t.Logf("%d terms in total", sum)
	if sum < *modelSeeds {
		t.Errorf("only %d terms: too many faults for the test to be meaningful", sum)
	}
}

// ignoresCurrentGrant acquires the lease whatever grant the register has now.
type ignoresCurrentGrant struct{ leaseStore }

func (b ignoresCurrentGrant) Acquire(ctx context.Context, _ string, made, _ lease.Grant) (uint64, error) {
	return b.write(ctx, func(now register.Fields, version uint64) (register.Fields, error) {
		return made.Replace(lease.ReadGrant(now, version))(now, version)
	})
}

// grantsWithoutMajority grants the lease without asking any acceptor.
type grantsWithoutMajority struct{ leaseStore }

func (b grantsWithoutMajority) Acquire(_ context.Context, _ string, _, seen lease.Grant) (uint64, error) {
	return seen.Version + 1, nil
}

// Checks that the test detects leases that aren't waited out, are taken from another holder, or were granted without a majority.
func TestLeaseModelFindsInjectedFaults(t *testing.T) {
	for name, planted := range map[string]leaseFaults{
		"a lease is not waited out": {length: func(node int) time.Duration {
			if node == 0 {
				return leaseLength / 2
			}
			return leaseLength
		}},
		"a lease replaces the current one of another holder": {store: func(_ int, real lease.Store) lease.Store { return ignoresCurrentGrant{real.(leaseStore)} }},
		"a lease is granted without a majority":              {store: func(_ int, real lease.Store) lease.Store { return grantsWithoutMajority{real.(leaseStore)} }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if _, fault := runRandomLeases(t, seed, planted); fault != nil {
					t.Logf("seed %d: %v", seed, fault)
					return
				}
			}
			t.Error("not detected in 100 seeds")
		})
	}
}
