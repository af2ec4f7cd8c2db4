package register_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/sim"
)

// world is four cores' registers with a network that loses, delays and doubles messages, and processes that crash.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	loss    float64
	disks   []*sim.Disk
	nodes   []*node
	settled map[register.Revision]int // content size met as settled, by revision
	checked int
}

type node struct {
	acceptor *register.Acceptor
	owner    *register.Owner
}

func (w *world) isLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.loss
}

func (w *world) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.IntN(40)) * time.Millisecond
}

func (w *world) at(i int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// start opens a node's registers from its disk: a restart after a crash.
func (w *world) start(i int) {
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: w.disks[i].Open(), OnChange: w.news,
		OnSkipped: func(_, file string, err error) { w.t.Errorf("file %s: %v", file, err) }})
	if err != nil {
		w.t.Error(err)
		return
	}
	n := &node{acceptor: acceptor}
	n.owner = register.NewOwner(register.OwnerOptions{
		MemberID: func() uint32 { return uint32(i + 1) }, Acceptor: acceptor, Timeout: 300 * time.Millisecond,
		Peers: func() (register.Peers, error) {
			var all register.Peers
			for j := range w.disks {
				all = append(all, flaky{w, j})
			}
			return all, nil
		},
	})
	w.mu.Lock()
	w.nodes[i] = n
	w.mu.Unlock()
}

// news checks that one settled revision means one content, on whichever disk.
func (w *world) news(_ string, r register.Record, _ register.Fields, _ bool) {
	if !r.IsCommitted() || r.Revision == (register.Revision{}) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checked++
	if size, met := w.settled[r.Revision]; met && size != len(r.Fields) {
		w.t.Errorf("stamp %v is settled with %d and with %d fields", r.Revision, size, len(r.Fields))
	}
	w.settled[r.Revision] = len(r.Fields)
}

// flaky is another node over a bad network.
type flaky struct {
	w *world
	j int
}

var errLost = apierror.New(apierror.Unreachable, "lost")

func over[T any](f flaky, ctx context.Context, do func(*register.Acceptor) (T, error)) (T, error) {
	var none T
	if delay := f.w.delay(); delay > 0 { // a timer that is due already can crash the race detector inside a bubble (docs/results.md)
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return none, errLost
		}
	}
	if f.w.isLost() {
		return none, errLost
	}
	answer, err := do(f.w.at(f.j).acceptor)
	if f.w.isLost() {
		late := f.w.delay() * 5
		go func() { // a copy arrives late
			time.Sleep(late)
			_, _ = do(f.w.at(f.j).acceptor)
		}()
	}
	if f.w.isLost() {
		return none, errLost // it was done, but nobody hears of it
	}
	return answer, err
}

func (f flaky) Prepare(ctx context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	return over(f, ctx, func(k *register.Acceptor) (register.Record, error) { return k.Prepare(key, epoch, has) })
}

func (f flaky) Confirm(ctx context.Context, key string, epoch uint64) error {
	_, err := over(f, ctx, func(k *register.Acceptor) (struct{}, error) { return struct{}{}, k.Confirm(key, epoch) })
	return err
}

func (f flaky) Accept(ctx context.Context, change register.Change) error {
	_, err := over(f, ctx, func(k *register.Acceptor) (struct{}, error) { return struct{}{}, k.Accept(change) })
	return err
}

func (f flaky) Commit(ctx context.Context, key string, revision register.Revision) {
	_, _ = over(f, ctx, func(k *register.Acceptor) (struct{}, error) { k.Commit(key, revision); return struct{}{}, nil })
}

// Any mix of owners, losses, doubles and crashes keeps one order for each key and loses no accepted change.
func TestNoAcceptedChangeIsLostUnderRandomSchedules(t *testing.T) {
	sumYes := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), loss: 0.12, nodes: make([]*node, 4), settled: map[register.Revision]int{}}
			for range 4 {
				w.disks = append(w.disks, sim.NewDisk())
			}
			for i := range 4 {
				w.start(i)
			}
			yes, no := map[string]uint64{}, map[string]bool{}
			var mu sync.Mutex
			var clients sync.WaitGroup
			for c := range 6 {
				clients.Go(func() {
					for n := range 25 {
						time.Sleep(w.delay() * 3)
						w.mu.Lock()
						i := w.random.IntN(4)
						if w.random.Float64() < 0.7 {
							i = 0 // mostly one owner, sometimes a race
						}
						w.mu.Unlock()
						id := fmt.Sprintf("%d.%d", c, n)
						revision, err := w.at(i).owner.Change(context.Background(), "k", func(_ register.Fields, version uint64) (register.Fields, error) {
							return register.Fields{id: json.RawMessage(fmt.Sprint(version + 1))}, nil
						})
						mu.Lock()
						switch {
						case err == nil:
							yes[id] = revision.Version
						case apierror.Is(err, apierror.NoMajority), apierror.Is(err, apierror.Superseded):
							no[id] = true
						}
						mu.Unlock()
					}
				})
			}
			crashing, stop := context.WithCancel(t.Context())
			var chaos sync.WaitGroup
			chaos.Go(func() {
				for n := 0; crashing.Err() == nil; n++ {
					time.Sleep(w.delay() * 20)
					w.start(n % 4)
				}
			})
			clients.Wait()
			stop()
			chaos.Wait()
			w.mu.Lock()
			w.loss = 0
			w.mu.Unlock()
			time.Sleep(5 * time.Second)
			var err error
			for range 5 {
				if _, err = w.at(2).owner.Change(context.Background(), "k", func(register.Fields, uint64) (register.Fields, error) {
					return register.Fields{"last": json.RawMessage(`1`)}, nil
				}); err == nil {
					break
				}
			}
			is.NoErr(err)
			time.Sleep(2 * time.Second) // this core's own disk need not be among the majority of the yes
			final := w.at(2).acceptor.Read("k")
			for id, version := range yes {
				is.Equal(string(final.Fields[id]), fmt.Sprint(version)) // a yes stands, at its version
			}
			for id := range no {
				is.Equal(final.Fields[id], nil) // a no does not
			}
			sumYes += len(yes)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			w.mu.Lock()
			defer w.mu.Unlock()
			is.True(w.checked > 20)
		})
	}
	if sumYes < 1000 {
		t.Errorf("only %d changes were accepted in all runs: the schedules are too rough to show anything", sumYes)
	}
}
