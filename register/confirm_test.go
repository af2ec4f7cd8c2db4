package register_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/sim"
)

// cluster is the acceptors and owners of several cores, joined by links that can be cut in one direction.
type cluster struct {
	mu              sync.Mutex
	cuts            map[[2]int]bool // cut links, as pairs of sender and receiver
	disks           []*sim.Disk
	acceptors       []*register.Acceptor
	owners          []*register.Owner
	confirmRequests atomic.Int64 // number of Confirm requests
}

const majorityTimeout = 300 * time.Millisecond

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{cuts: map[[2]int]bool{}}
	for i := range count {
		d := sim.NewDisk()
		acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
			OnSkipped: func(_, file string, err error) { t.Errorf("file %s: %v", file, err) }})
		if err != nil {
			t.Fatal(err)
		}
		c.disks, c.acceptors = append(c.disks, d), append(c.acceptors, acceptor)
		c.owners = append(c.owners, register.NewOwner(register.OwnerOptions{
			MemberID: func() uint32 { return uint32(i + 1) }, Acceptor: acceptor, Timeout: majorityTimeout,
			Voters: func(string) (register.Voters, error) {
				var all register.Peers
				for j := range count {
					all = append(all, clusterPeer{c, i, j})
				}
				return register.Voters{Peers: all}, nil
			},
		}))
	}
	return c
}

// cut cuts or restores the link from one core to another.
func (c *cluster) cut(from, to int, isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]int{from, to}] = isCut
}

// isolate cuts or restores all links of a core: those for sending, those for receiving, or both.
func (c *cluster) isolate(core int, sendingCut, receivingCut bool) {
	for other := range c.acceptors {
		if other != core {
			c.cut(core, other, sendingCut)
			c.cut(other, core, receivingCut)
		}
	}
}

func (c *cluster) writes() (sum int) {
	for _, d := range c.disks {
		sum += d.Usage().Writes
	}
	return sum
}

// clusterPeer is a core's acceptor as seen by the owner of a core.
type clusterPeer struct {
	cluster  *cluster
	from, to int
}

func callPeer[T any](ctx context.Context, l clusterPeer, call func(*register.Acceptor) (T, error)) (T, error) {
	var zero T
	cross := func(from, to int) error {
		l.cluster.mu.Lock()
		cut := l.cluster.cuts[[2]int{from, to}]
		l.cluster.mu.Unlock()
		if cut {
			<-ctx.Done()
			return apierror.New(apierror.Unreachable, "lost from %d to %d", from, to)
		}
		time.Sleep(time.Millisecond)
		return nil
	}
	if err := cross(l.from, l.to); err != nil {
		return zero, err
	}
	answer, err := call(l.cluster.acceptors[l.to])
	if lost := cross(l.to, l.from); lost != nil {
		return zero, lost
	}
	return answer, err
}

func (l clusterPeer) Prepare(ctx context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	return callPeer(ctx, l, func(a *register.Acceptor) (register.Record, error) { return a.Prepare(key, epoch, known) })
}

func (l clusterPeer) Confirm(ctx context.Context, key string, epoch uint64) error {
	l.cluster.confirmRequests.Add(1)
	_, err := callPeer(ctx, l, func(a *register.Acceptor) (struct{}, error) { return struct{}{}, a.Confirm(key, epoch) })
	return err
}

func (l clusterPeer) Accept(ctx context.Context, change register.Change) error {
	_, err := callPeer(ctx, l, func(a *register.Acceptor) (struct{}, error) { return struct{}{}, a.Accept(change) })
	return err
}

func (l clusterPeer) Commit(ctx context.Context, key string, revision register.Revision) {
	_, _ = callPeer(ctx, l, func(a *register.Acceptor) (struct{}, error) { a.Commit(key, revision); return struct{}{}, nil })
}

// setNumber returns an op that replaces the number basedOn by number. It returns Conflict if the key has another number, and succeeds
// without a change if the key already has the new one.
func setNumber(basedOn, number int) register.Op {
	return func(current register.Fields, _ uint64) (register.Fields, error) {
		present := 0
		_ = json.Unmarshal(current["number"], &present)
		switch {
		case present == number:
			return nil, nil
		case present != basedOn:
			return nil, apierror.New(apierror.Conflict, "based on %d, but the present number is %d", basedOn, present)
		}
		return register.Fields{"number": json.RawMessage(fmt.Sprint(number))}, nil
	}
}

// Guards against answers from outdated memory: an owner that was cut off while another one took over must return no conflict, no
// success without a write, and no read. Once it is reachable again, it answers according to the committed content.
func TestSupersededOwnerAnswersNothingFromMemory(t *testing.T) {
	for _, empty := range []bool{false, true} { // whether the key had no content when the owner was cut off
		for _, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Minute) // lets everything in progress end
				c := newCluster(t, 4)
				ctx := context.Background()
				number := 0
				if !empty {
					_, err := c.owners[0].Change(ctx, "k", setNumber(0, 1))
					is.NoErr(err)
					number = 1
				} else {
					_, err := c.owners[0].Change(ctx, "k", setNumber(7, 8)) // acquires the key, and refuses the change
					is.True(apierror.Is(err, apierror.Conflict))
				}
				c.isolate(0, cut[0], cut[1])
				_, err := c.owners[1].Change(ctx, "k", setNumber(number, 5))
				is.NoErr(err)
				for since := time.Now(); time.Since(since) < 20*time.Second; time.Sleep(time.Second) {
					_, err = c.owners[0].Change(ctx, "k", setNumber(5, 6)) // based on the committed number
					is.True(!apierror.Is(err, apierror.Conflict) && err != nil)
					_, err = c.owners[0].Change(ctx, "k", setNumber(0, number)) // from memory, this would succeed without a write
					is.True(!apierror.Is(err, apierror.Conflict) && err != nil)
					_, err = c.owners[0].Commit(ctx, "k", false)
					is.True(err != nil)
					_, err = c.owners[0].Commit(ctx, "k", true)
					is.True(err != nil)
				}
				c.isolate(0, false, false)
				_, err = c.owners[0].Change(ctx, "k", setNumber(number, 9))
				is.True(apierror.Is(err, apierror.Conflict)) // another number is committed
				_, err = c.owners[0].Change(ctx, "k", setNumber(number, 5))
				is.NoErr(err) // this number is already committed
				_, err = c.owners[0].Change(ctx, "k", setNumber(5, 6))
				is.NoErr(err)
				revision, err := c.owners[2].Commit(ctx, "k", false)
				is.NoErr(err)
				is.True(revision.Version > 0)
			})
		}
	}
}

// Checks that an owner that was cut off learns of the new owner from the confirmation that its first answer needs, acquires the key again,
// and answers the same call according to the committed content.
func TestSupersededOwnerReacquiresWithinTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(time.Minute)
		c := newCluster(t, 4)
		ctx := context.Background()
		_, err := c.owners[0].Change(ctx, "k", setNumber(0, 1))
		is.NoErr(err)
		c.isolate(0, true, true)
		_, err = c.owners[1].Change(ctx, "k", setNumber(1, 5))
		is.NoErr(err)
		time.Sleep(20 * time.Second)
		c.isolate(0, false, false)
		_, err = c.owners[0].Change(ctx, "k", setNumber(5, 6)) // a conflict according to its outdated memory
		is.NoErr(err)
	})
}

// Guards against a conflict that is reported although it was caused by a change in the same batch whose write has failed.
func TestRejectionFailsWithTheWriteItDependsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(time.Minute)
		c := newCluster(t, 4)
		ctx := context.Background()
		_, err := c.owners[0].Change(ctx, "k", setNumber(0, 1))
		is.NoErr(err)
		c.isolate(0, true, true)
		errs := make([]error, 3)
		var all sync.WaitGroup
		all.Go(func() { _, errs[0] = c.owners[0].Commit(ctx, "k", true) }) // keeps the owner busy, so that the next calls form one batch
		time.Sleep(time.Millisecond)
		c.isolate(0, false, false)
		all.Go(func() { _, errs[1] = c.owners[0].Change(ctx, "k", setNumber(1, 2)) })
		time.Sleep(time.Millisecond)
		all.Go(func() { _, errs[2] = c.owners[0].Change(ctx, "k", setNumber(1, 3)) })
		time.Sleep(majorityTimeout - 3*time.Millisecond) // the next batch starts to acquire the key …
		time.Sleep(3 * time.Millisecond)
		c.isolate(0, false, true) // … and its answers are lost from its write on
		all.Wait()
		is.True(errs[1] != nil)
		is.True(errs[2] != nil)
		is.True(!apierror.Is(errs[2], apierror.Conflict))
	})
}

// Checks that calls without a write cost one confirm request per member for all waiting calls together, and no write to disk.
func TestConfirmationIsOneRoundWithoutAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(time.Minute)
		c := newCluster(t, 4)
		ctx := context.Background()
		_, err := c.owners[0].Change(ctx, "k", setNumber(0, 1))
		is.NoErr(err)
		time.Sleep(time.Second)
		before := c.writes()
		const rounds = 4 // the first call, the changes queued behind it, the reads queued when those were answered, and the remaining reads
		var all sync.WaitGroup
		began := time.Now()
		all.Go(func() { _, _ = c.owners[0].Change(ctx, "k", setNumber(0, 9)) })
		time.Sleep(100 * time.Microsecond) // the first call is in progress, so the others are queued behind it
		for range 50 {
			all.Go(func() {
				_, err := c.owners[0].Change(ctx, "k", setNumber(0, 9))
				is.True(apierror.Is(err, apierror.Conflict))
				_, err = c.owners[0].Commit(ctx, "k", false)
				is.NoErr(err)
			})
		}
		all.Wait()
		is.Equal(c.writes(), before)
		is.True(c.confirmRequests.Load() > 0 && c.confirmRequests.Load() <= rounds*4)
		is.True(time.Since(began) <= rounds*2*time.Millisecond)
		_, err = c.owners[0].Change(ctx, "k", setNumber(1, 2)) // a write needs no confirmation
		is.NoErr(err)
		is.True(c.confirmRequests.Load() <= rounds*4)
	})
}

// Guards against a change that is based on an uncommitted version. A disk that received only this change would record the version before it
// as committed, although no majority has it.
func TestChangeIsBasedOnACommittedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(time.Minute)
		c := newCluster(t, 3)
		ctx := context.Background()
		_, err := c.owners[0].Change(ctx, "k", setNumber(0, 1))
		is.NoErr(err)
		time.Sleep(time.Second)
		c.isolate(0, true, true)
		_, err = c.owners[0].Change(ctx, "k", setNumber(1, 2))
		is.True(apierror.Is(err, apierror.Undecided)) // only one disk has version 2
		c.isolate(0, false, false)
		c.cut(2, 1, true) // the next owner hears only from disk 0 and its own
		var all sync.WaitGroup
		all.Go(func() { _, err = c.owners[1].Change(ctx, "k", setNumber(2, 3)) })
		time.Sleep(1500 * time.Microsecond)
		c.cut(2, 1, false)
		c.cut(1, 0, true) // what it writes reaches only disk 2
		c.cut(1, 1, true)
		all.Wait()
		is.True(apierror.Is(err, apierror.Undecided))
		is.Equal(c.acceptors[2].Revision("k").Version, uint64(2))
		is.True(c.acceptors[2].Uncommitted("k"))
	})
}

// Guards against an owner that waits for its own disk without a limit: with its disk stalled and the others out of reach it says within its
// time that it has no majority, so that its callers can go on to another core.
func TestOwnerDoesNotWaitForItsOwnStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.isolate(0, true, true)
		release := c.disks[0].Stall()
		defer func() {
			release()
			time.Sleep(time.Second) // the stalled write ends
		}()
		began := time.Now()
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		_, err := c.owners[0].Change(ctx, "key", setNumber(0, 1))
		is.True(apierror.Is(err, apierror.NoMajority))
		is.True(time.Since(began) <= majorityTimeout)
	})
}
