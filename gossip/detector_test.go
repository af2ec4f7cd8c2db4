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

// network is a simulated network of detectors with message loss, in which nodes can be cut off.
type network struct {
	mu          sync.Mutex
	random      *rand.Rand
	loss        float64
	detectors   map[string]*Detector
	unreachable map[string]bool
}

type nodeTransport struct {
	network *network
	from    string
}

func (t nodeTransport) dial(address string) (*Detector, error) {
	time.Sleep(5 * time.Millisecond)
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.network.unreachable[address] || t.network.unreachable[t.from] || t.network.random.Float64() < t.network.loss {
		return nil, errors.New("lost")
	}
	return t.network.detectors[address], nil
}

func (t nodeTransport) SendHeartbeat(ctx context.Context, address string, message Heartbeat) (HeartbeatReply, error) {
	r, err := t.dial(address)
	if err != nil {
		return HeartbeatReply{}, err
	}
	return r.HandleHeartbeat(ctx, message)
}

func (t nodeTransport) SendSuspicion(ctx context.Context, address string, suspicion Suspicion) (SuspicionReply, error) {
	r, err := t.dial(address)
	if err != nil {
		return SuspicionReply{}, err
	}
	return r.HandleSuspicion(ctx, suspicion)
}

func (n *network) setUnreachable(name string, unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[name] = unreachable
}

func (n *network) start(ctx context.Context, name, zone string, seeds []string) {
	r := New(Options{Self: Node{Name: name, Role: "agent", Zone: zone, Address: name}, Seeds: seeds, Transport: nodeTransport{n, name},
		Interval: 500 * time.Millisecond, Watchers: 3, Seed: rendezvous.Weight("seed", name), Log: zerolog.Nop()})
	n.mu.Lock()
	n.detectors[name] = r
	n.mu.Unlock()
	go r.Run(ctx)
}

// countSeenDown counts the other nodes that have marked the name down.
func (n *network) countSeenDown(name string) (count int) {
	for other, r := range n.detectors {
		r.mu.Lock()
		if e := r.nodes[name]; other != name && e != nil && e.Down {
			count++
		}
		r.mu.Unlock()
	}
	return count
}

// Checks that as the fleet grows, the message rate per daemon stays bounded, all daemons find each other from three seeds, and a failure
// is known to all within seconds; and that neither lost messages nor a flapping daemon cause lasting false alarms.
func TestDetectorScalesWithoutFalseAlarms(t *testing.T) {
	for _, size := range []int{12, 40, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				net := &network{random: rand.New(rand.NewPCG(uint64(size), 1)), loss: 0.05,
					detectors: map[string]*Detector{}, unreachable: map[string]bool{}}
				for i := range size {
					net.start(ctx, fmt.Sprintf("d%d", i), fmt.Sprintf("z%d", i%4), []string{"d0", "d1", "d2"})
				}
				began := time.Now()
				for {
					all := 0
					for _, r := range net.detectors {
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
					for _, r := range net.detectors {
						s, a := r.Stats()
						sent, alarms = sent+s, alarms+a
					}
					return
				}
				sent0, alarms0 := sum()
				time.Sleep(30 * time.Second)
				sent1, alarms1 := sum()
				perDaemon := float64(sent1-sent0) / float64(size) / 30
				is.Equal(alarms1-alarms0, 0) // 5% message loss must not mark any node down
				is.True(perDaemon < 7.5)
				net.setUnreachable("d5", true)
				began = time.Now()
				for net.countSeenDown("d5") < size-1 {
					is.True(time.Since(began) < 20*time.Second)
					time.Sleep(200 * time.Millisecond)
				}
				detected := time.Since(began)
				net.setUnreachable("d5", false)
				time.Sleep(8 * time.Second)
				is.Equal(net.countSeenDown("d5"), 0) // it is reachable again and has refuted the update
				for range 3 {                        // a flapping daemon: repeatedly silent for a little longer than its timeout
					net.setUnreachable("d6", true)
					time.Sleep(2600 * time.Millisecond)
					net.setUnreachable("d6", false)
					time.Sleep(5 * time.Second)
				}
				_, before := sum()
				net.setUnreachable("d6", true)
				time.Sleep(2600 * time.Millisecond)
				net.setUnreachable("d6", false)
				time.Sleep(5 * time.Second)
				_, after := sum()
				is.Equal(after-before, 0) // flap damping has extended its timeout by now
				t.Logf("%d daemons: all known after %v, %.1f messages/s each, a death known to all after %v",
					size, learned, perDaemon, detected)
				stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a stale cached order: watchers must be those that sorting all live nodes anew gives, also after nodes went down and
// recovered.
func TestWatchersMatchFreshlySortedRing(t *testing.T) {
	is, random := is.New(t), rand.New(rand.NewPCG(1, 2))
	r := New(Options{Self: Node{Name: "self", Zone: "zone-0"}, Watchers: 3})
	sorted := func(name, zone string) (chosen []string) {
		position := positionOf(name)
		order := []*entry{{Node: r.self, position: r.position}}
		for _, e := range r.nodes {
			if !e.Down {
				order = append(order, e)
			}
		}
		order = slices.DeleteFunc(order, func(e *entry) bool { return e.Name == name })
		slices.SortFunc(order, func(a, b *entry) int { return cmp.Compare(a.position-position, b.position-position) })
		zones := map[string]bool{zone: true}
		for _, anyZone := range []bool{false, true} {
			for _, e := range order {
				if len(chosen) < 3 && (anyZone || !zones[e.Zone]) && !slices.Contains(chosen, e.Name) {
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
