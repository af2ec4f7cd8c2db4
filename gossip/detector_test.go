package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/rendezvous"
)

// field is a network of rings with loss, on which some are dead or frozen.
type field struct {
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	rings  map[string]*Detector
	dead   map[string]bool
}

type caller struct {
	f    *field
	from string
}

func (c caller) reach(address string) (*Detector, error) {
	time.Sleep(5 * time.Millisecond)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.f.dead[address] || c.f.dead[c.from] || c.f.random.Float64() < c.f.loss {
		return nil, errors.New("lost")
	}
	return c.f.rings[address], nil
}

func (c caller) SendHeartbeat(ctx context.Context, address string, b Heartbeat) (HeartbeatReply, error) {
	r, err := c.reach(address)
	if err != nil {
		return HeartbeatReply{}, err
	}
	return r.HandleHeartbeat(ctx, b)
}

func (c caller) SendSuspicion(ctx context.Context, address string, d Suspicion) (SuspicionReply, error) {
	r, err := c.reach(address)
	if err != nil {
		return SuspicionReply{}, err
	}
	return r.HandleSuspicion(ctx, d)
}

func (f *field) setDead(name string, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[name] = dead
}

func (f *field) start(ctx context.Context, name, zone string, seeds []string) {
	r := New(Options{Self: Node{Name: name, Role: "agent", Zone: zone, Address: name}, Seeds: seeds, Transport: caller{f, name},
		Interval: 500 * time.Millisecond, Watchers: 3, Seed: rendezvous.Weight("seed", name), Log: zerolog.Nop()})
	f.mu.Lock()
	f.rings[name] = r
	f.mu.Unlock()
	go r.Run(ctx)
}

// seenDown counts those, of the living, that take the name for down.
func (f *field) seenDown(name string) (n int) {
	for other, r := range f.rings {
		r.mu.Lock()
		if e := r.nodes[name]; other != name && e != nil && e.Down {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

// As the fleet grows, messages for each daemon stay the same, all learn of all from three seeds, and of a death within seconds;
// lost messages, a flapping daemon and a frozen watcher raise no false alarm that stays.
func TestRingOfManyDaemons(t *testing.T) {
	for _, size := range []int{12, 40, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				f := &field{random: rand.New(rand.NewPCG(uint64(size), 1)), loss: 0.05, rings: map[string]*Detector{}, dead: map[string]bool{}}
				for i := range size {
					f.start(ctx, fmt.Sprintf("d%d", i), fmt.Sprintf("z%d", i%4), []string{"d0", "d1", "d2"})
				}
				began := time.Now()
				for {
					all := 0
					for _, r := range f.rings {
						r.mu.Lock()
						all += len(r.nodes) + 1
						r.mu.Unlock()
					}
					if all == size*size {
						break
					}
					is.True(time.Since(began) < 30*time.Second)
					time.Sleep(300 * time.Millisecond)
				}
				learned := time.Since(began)
				sum := func() (sent, alarms int) {
					for _, r := range f.rings {
						s, a := r.Stats()
						sent, alarms = sent+s, alarms+a
					}
					return
				}
				sent0, alarms0 := sum()
				time.Sleep(30 * time.Second)
				sent1, alarms1 := sum()
				perDaemon := float64(sent1-sent0) / float64(size) / 30
				is.Equal(alarms1-alarms0, 0) // a twentieth of all messages is lost, and nobody is taken for down
				is.True(perDaemon < 7.5)
				f.setDead("d5", true)
				began = time.Now()
				for f.seenDown("d5") < size-1 {
					is.True(time.Since(began) < 20*time.Second)
					time.Sleep(200 * time.Millisecond)
				}
				detected := time.Since(began)
				f.setDead("d5", false)
				time.Sleep(8 * time.Second)
				is.Equal(f.seenDown("d5"), 0) // it came back and has contradicted
				for range 3 {                 // a flapping daemon: silent for a little longer than the patience, again and again
					f.setDead("d6", true)
					time.Sleep(2600 * time.Millisecond)
					f.setDead("d6", false)
					time.Sleep(5 * time.Second)
				}
				_, before := sum()
				f.setDead("d6", true)
				time.Sleep(2600 * time.Millisecond)
				f.setDead("d6", false)
				time.Sleep(5 * time.Second)
				_, after := sum()
				is.Equal(after-before, 0) // by now it is given more time
				t.Logf("%d daemons: all known after %v, %.1f messages/s each, a death known to all after %v", size, learned, perDaemon, detected)
				stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// The kept order gives the watchers that sorting all daemons anew would give, also after some went down and came back.
func TestWatchersAreThoseOfTheSortedRing(t *testing.T) {
	is, random := is.New(t), rand.New(rand.NewPCG(1, 2))
	r := New(Options{Self: Node{Name: "self", Zone: "zone-0"}, Watchers: 3})
	sorted := func(name, zone string) (chosen []string) {
		place := positionOf(name)
		order := []*entry{{Node: r.self, position: r.position}}
		for _, e := range r.nodes {
			if !e.Down {
				order = append(order, e)
			}
		}
		order = slices.DeleteFunc(order, func(e *entry) bool { return e.Name == name })
		slices.SortFunc(order, func(a, b *entry) int { return cmp.Compare(a.position-place, b.position-place) })
		zones := map[string]bool{zone: true}
		for _, free := range []bool{false, true} {
			for _, e := range order {
				if len(chosen) < 3 && (free || !zones[e.Zone]) && !slices.Contains(chosen, e.Name) {
					chosen, zones[e.Zone] = append(chosen, e.Name), true
				}
			}
		}
		return chosen
	}
	for round := range 400 {
		i := random.IntN(40)
		d := Node{Name: fmt.Sprintf("d%02d", i), Zone: fmt.Sprintf("zone-%d", i%4), Incarnation: uint64(round), Down: random.IntN(3) == 0}
		r.apply(d)
		for _, name := range []string{"self", d.Name, "d07"} {
			var found []string
			for _, e := range r.watchers(name, d.Zone) {
				found = append(found, e.Name)
			}
			is.Equal(found, sorted(name, d.Zone))
		}
	}
}
