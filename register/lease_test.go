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

// leaseStore writes terms in a register: reads from a node's own disk, takes by whichever owner is asked.
type leaseStore struct {
	cluster   *cluster
	candidate *candidate
}

func (b leaseStore) Read(string) lease.Grant {
	record := b.cluster.acceptors[b.candidate.node].Read(leaseKey)
	return lease.ReadGrant(record.Fields, record.Revision.Version)
}

func (b leaseStore) Acquire(ctx context.Context, _ string, made, met lease.Grant) (uint64, error) {
	return b.write(ctx, made.Replace(met))
}

func (b leaseStore) write(ctx context.Context, op register.Op) (uint64, error) {
	revision, err := b.cluster.owners[b.candidate.asked.Load()].Change(ctx, leaseKey, op)
	return revision.Version, err
}

// candidate is a process with a candidate. While it is frozen it neither steps nor acts.
type candidate struct {
	candidate *lease.Candidate
	store     lease.Store
	node      int
	life      int
	frozen    bool
	asked     atomic.Int64 // the node whose owner takes its next change
	stepping  sync.Mutex
}

// step has a candidate renew or take the duty, unless it is still at it.
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

// fences are the term numbers under which something was done, by holder.
type fences map[uint64]string

// act has everybody that believes to hold the duty do something under its number.
func (f fences) act(all []*candidate) error {
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
			return fmt.Errorf("fence %d was used by %s and by %s", number, before, c.candidate.Holder())
		}
		for used, by := range f {
			if used > number && by != c.candidate.Holder() {
				return fmt.Errorf("%s acts under fence %d after %s under %d", c.candidate.Holder(), number, by, used)
			}
		}
		f[number] = c.candidate.Holder()
	}
	if len(holders) > 1 {
		return fmt.Errorf("several hold the duty at once: %v", holders)
	}
	return nil
}

// leases are the planted faults: nil functions for the real code alone.
type leases struct {
	length func(node int) time.Duration                 // that a candidate counts with
	store  func(node int, real lease.Store) lease.Store // that it reads and writes
}

// randomLeases plays candidates on one register under cuts, freezes and restarts of the candidates.
func randomLeases(t *testing.T, seed uint64, planted leases) (terms int, fault error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 11))
		c := newCluster(t, 3+random.IntN(2))
		var all []*candidate
		sit := func(one *candidate) {
			one.life++
			length := leaseLength
			if planted.length != nil {
				length = planted.length(one.node)
			}
			one.store = leaseStore{c, one}
			if planted.store != nil {
				one.store = planted.store(one.node, one.store)
			}
			one.candidate = lease.New(lease.Options{Role: "d", Holder: fmt.Sprintf("%d.%d", one.node, one.life), Length: length, Margin: leaseMargin, Store: one.store, Log: zerolog.Nop()})
		}
		for node := range c.owners {
			one := &candidate{node: node}
			sit(one)
			all = append(all, one)
		}
		used := fences{}
		for tick := range 1200 {
			time.Sleep(20 * time.Millisecond)
			if fault = used.act(all); fault != nil {
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
				sit(one)
			case 3, 4:
				for _, other := range all {
					other.frozen = false
					c.isolate(other.node, false, false)
				}
			}
			for _, stepping := range all {
				if !stepping.frozen && random.IntN(20) == 0 {
					stepping.asked.Store(int64(stepping.node))
					if random.IntN(3) == 0 {
						stepping.asked.Store(int64(random.IntN(len(all))))
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

// At no moment do two hold a duty, and no term's number is used by two, whatever is cut off, frozen, woken or started anew.
func TestLeasesOnTheRegisterUnderRandomFaults(t *testing.T) {
	sum := 0
	for n := range uint64(*modelSeeds) {
		seed := *modelFirst + n
		terms, fault := randomLeases(t, seed, leases{})
		sum += terms
		if fault != nil {
			t.Fatalf("seed %d (-seeds 1 -first %d): %v", seed, seed, fault)
		}
	}
	t.Logf("%d terms in all", sum)
	if sum < *modelSeeds {
		t.Errorf("only %d terms: too rough to show anything", sum)
	}
}

// overAnything takes the duty whatever stands there by now.
type overAnything struct{ leaseStore }

func (b overAnything) Acquire(ctx context.Context, _ string, made, _ lease.Grant) (uint64, error) {
	return b.write(ctx, func(now register.Fields, version uint64) (register.Fields, error) {
		return made.Replace(lease.ReadGrant(now, version))(now, version)
	})
}

// fromMemory grants the duty without asking anybody.
type fromMemory struct{ leaseStore }

func (b fromMemory) Acquire(_ context.Context, _ string, _, met lease.Grant) (uint64, error) {
	return met.Version + 1, nil
}

// The test of the test: leases that are not waited out, or that were granted by no majority, are found.
func TestLeaseModelFindsPlantedFaults(t *testing.T) {
	for name, planted := range map[string]leases{
		"a lease is not waited out": {length: func(node int) time.Duration {
			if node == 0 {
				return leaseLength / 2
			}
			return leaseLength
		}},
		"a lease is taken over another's": {store: func(_ int, real lease.Store) lease.Store { return overAnything{real.(leaseStore)} }},
		"a lease from no majority":        {store: func(_ int, real lease.Store) lease.Store { return fromMemory{real.(leaseStore)} }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if _, fault := randomLeases(t, seed, planted); fault != nil {
					t.Logf("seed %d: %v", seed, fault)
					return
				}
			}
			t.Error("not found in 100 seeds")
		})
	}
}
