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

// lossyCluster runs the acceptors and owners of several cores over a network that loses, delays and duplicates messages, and restarts cores.
type lossyCluster struct {
	t              *testing.T
	mu             sync.Mutex
	random         *rand.Rand
	lossRate       float64
	disks          []*sim.Disk
	nodes          []*node
	committedSizes map[register.Revision]int // number of fields of each revision that was seen as committed
	commitsChecked int
}

type node struct {
	acceptor *register.Acceptor
	owner    *register.Owner
}

func (w *lossyCluster) dropsMessage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.lossRate
}

func (w *lossyCluster) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.IntN(40)) * time.Millisecond
}

func (w *lossyCluster) node(i int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// startNode starts a node from its disk. For a running node that is a restart after a crash.
func (w *lossyCluster) startNode(i int) {
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: w.disks[i].Open(), OnChange: w.checkCommitted,
		OnSkipped: func(_, file string, err error) { w.t.Errorf("file %s: %v", file, err) }})
	if err != nil {
		w.t.Error(err)
		return
	}
	n := &node{acceptor: acceptor}
	n.owner = register.NewOwner(register.OwnerOptions{
		MemberID: func() uint32 { return uint32(i + 1) }, Acceptor: acceptor, Timeout: 300 * time.Millisecond,
		Voters: func(string) (register.Voters, error) {
			var all register.Peers
			for j := range w.disks {
				all = append(all, lossyPeer{w, j})
			}
			return register.Voters{Peers: all}, nil
		},
	})
	w.mu.Lock()
	w.nodes[i] = n
	w.mu.Unlock()
}

// checkCommitted checks that a committed revision has the same content on every disk.
func (w *lossyCluster) checkCommitted(_ string, r register.Record, _ register.Fields, _ bool) {
	if !r.IsCommitted() || r.Revision == (register.Revision{}) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitsChecked++
	if size, seen := w.committedSizes[r.Revision]; seen && size != len(r.Fields) {
		w.t.Errorf("revision %v is committed with %d fields on one disk and %d on another", r.Revision, size, len(r.Fields))
	}
	w.committedSizes[r.Revision] = len(r.Fields)
}

// lossyPeer is the acceptor of another node, reached over the lossy network.
type lossyPeer struct {
	w      *lossyCluster
	target int
}

var errLost = apierror.New(apierror.Unreachable, "lost")

func callOverNetwork[T any](f lossyPeer, ctx context.Context, call func(*register.Acceptor) (T, error)) (T, error) {
	var zero T
	if delay := f.w.delay(); delay > 0 { // a timer that is already due can crash the race detector inside a synctest bubble (docs/results.md)
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return zero, errLost
		}
	}
	if f.w.dropsMessage() {
		return zero, errLost
	}
	answer, err := call(f.w.node(f.target).acceptor)
	if f.w.dropsMessage() {
		late := f.w.delay() * 5
		go func() { // a duplicate of the request arrives late
			time.Sleep(late)
			_, _ = call(f.w.node(f.target).acceptor)
		}()
	}
	if f.w.dropsMessage() {
		return zero, errLost // the request was executed, but its answer is lost
	}
	return answer, err
}

func (f lossyPeer) Prepare(ctx context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	return callOverNetwork(f, ctx, func(a *register.Acceptor) (register.Record, error) { return a.Prepare(key, epoch, known) })
}

func (f lossyPeer) Confirm(ctx context.Context, key string, epoch uint64) error {
	_, err := callOverNetwork(f, ctx, func(a *register.Acceptor) (struct{}, error) { return struct{}{}, a.Confirm(key, epoch) })
	return err
}

func (f lossyPeer) Accept(ctx context.Context, change register.Change) error {
	_, err := callOverNetwork(f, ctx, func(a *register.Acceptor) (struct{}, error) { return struct{}{}, a.Accept(change) })
	return err
}

func (f lossyPeer) Commit(ctx context.Context, key string, revision register.Revision) {
	_, _ = callOverNetwork(f, ctx, func(a *register.Acceptor) (struct{}, error) { a.Commit(key, revision); return struct{}{}, nil })
}

// Guards against lost and reordered changes while several owners compete, messages are lost, delayed or duplicated, and cores crash. Each
// acknowledged change must be present at its version, and no rejected change may be present.
func TestNoAcceptedChangeIsLostUnderRandomSchedules(t *testing.T) {
	totalAcknowledged := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &lossyCluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), lossRate: 0.12, nodes: make([]*node, 4), committedSizes: map[register.Revision]int{}}
			for range 4 {
				w.disks = append(w.disks, sim.NewDisk())
			}
			for i := range 4 {
				w.startNode(i)
			}
			acknowledged, rejected := map[string]uint64{}, map[string]bool{}
			var mu sync.Mutex
			var clients sync.WaitGroup
			for c := range 6 {
				clients.Go(func() {
					for n := range 25 {
						time.Sleep(w.delay() * 3)
						w.mu.Lock()
						i := w.random.IntN(4)
						if w.random.Float64() < 0.7 {
							i = 0 // mostly one owner, sometimes competing ones
						}
						w.mu.Unlock()
						id := fmt.Sprintf("%d.%d", c, n)
						revision, err := w.node(i).owner.Change(context.Background(), "k", func(_ register.Fields, version uint64) (register.Fields, error) {
							return register.Fields{id: json.RawMessage(fmt.Sprint(version + 1))}, nil
						})
						mu.Lock()
						switch {
						case err == nil:
							acknowledged[id] = revision.Version
						case apierror.Is(err, apierror.NoMajority), apierror.Is(err, apierror.Superseded):
							rejected[id] = true
						}
						mu.Unlock()
					}
				})
			}
			restarting, stop := context.WithCancel(t.Context())
			var restarts sync.WaitGroup
			restarts.Go(func() {
				for n := 0; restarting.Err() == nil; n++ {
					time.Sleep(w.delay() * 20)
					w.startNode(n % 4)
				}
			})
			clients.Wait()
			stop()
			restarts.Wait()
			w.mu.Lock()
			w.lossRate = 0
			w.mu.Unlock()
			time.Sleep(5 * time.Second)
			var err error
			for range 5 {
				if _, err = w.node(2).owner.Change(context.Background(), "k", func(register.Fields, uint64) (register.Fields, error) {
					return register.Fields{"last": json.RawMessage(`1`)}, nil
				}); err == nil {
					break
				}
			}
			is.NoErr(err)
			time.Sleep(2 * time.Second) // this core's own disk may not be part of the majority that accepted the change
			final := w.node(2).acceptor.Read("k")
			for id, version := range acknowledged {
				is.Equal(string(final.Fields[id]), fmt.Sprint(version)) // an acknowledged change is present at its version
			}
			for id := range rejected {
				is.Equal(final.Fields[id], nil) // a rejected change is absent
			}
			totalAcknowledged += len(acknowledged)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			w.mu.Lock()
			defer w.mu.Unlock()
			is.True(w.commitsChecked > 20)
		})
	}
	if totalAcknowledged < 1000 {
		t.Errorf("only %d changes were accepted in all runs: too many faults for the test to be meaningful", totalAcknowledged)
	}
}
