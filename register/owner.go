package register

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

// Peer is an acceptor elsewhere, or this core's own.
type Peer interface {
	Promise(ctx context.Context, key string, epoch uint64, has Revision) (Record, error)
	// Confirm has no error if no epoch above was promised; it writes nothing.
	Confirm(ctx context.Context, key string, epoch uint64) error
	Accept(ctx context.Context, change Change) error
	Settle(ctx context.Context, key string, revision Revision)
}

// Membership is all members' acceptors, this core's own among them, as of one version of the list of members (§2.8).
type Membership []Peer

func (c Membership) majority() int { return len(c)/2 + 1 }

// Op reads the working copy and gives the fields to change, or an error that concerns its caller alone.
type Op func(now Fields, version uint64) (Fields, error)

// OwnerOptions of an owner.
type OwnerOptions struct {
	ID         func() uint32 // this core's number, the low bits of its epochs
	Acceptor   *Acceptor
	Membership func() (Membership, error)
	Wait       time.Duration // how long to wait for a majority
}

// Owner changes the keys that this core owns (§2.3).
type Owner struct {
	options OwnerOptions
	mu      sync.Mutex
	keys    map[string]*owned
}

type owned struct {
	ops      []*pending
	busy     bool
	epoch    uint64 // 0 while the key is not ours
	seen     uint64 // highest epoch met
	revision Revision
	settled  Revision
	fields   Fields
	shaken   bool // an earlier change is undecided
}

type pending struct {
	op     Op // nil to settle
	carry  bool
	ctx    context.Context // the caller's
	result chan result
}

type result struct {
	revision Revision
	err      error
}

// NewOwner makes the owner's side of a core.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, keys: map[string]*owned{}}
}

// Change applies an op to a key; nil error means that a majority has it on disk. The op's own error, and its yes to what stands already, are
// given only once a majority has confirmed the owner after the call; else the answer is undecided.
func (o *Owner) Change(ctx context.Context, key string, op Op) (Revision, error) {
	return o.do(ctx, key, &pending{op: op, ctx: ctx, result: make(chan result, 1)})
}

// Settle makes sure that what the key has is on a majority, and gives its revision: no older one than stood when it was called. With isCarry
// the present membership accepts it anew even if it is known to be settled.
func (o *Owner) Settle(ctx context.Context, key string, carry bool) (Revision, error) {
	return o.do(ctx, key, &pending{carry: carry, ctx: ctx, result: make(chan result, 1)})
}

func (o *Owner) do(ctx context.Context, key string, p *pending) (Revision, error) {
	o.mu.Lock()
	k := o.keys[key]
	if k == nil {
		k = &owned{}
		o.keys[key] = k
	}
	k.ops = append(k.ops, p)
	if !k.busy {
		k.busy = true
		go o.work(key, k)
	}
	o.mu.Unlock()
	select {
	case r := <-p.result:
		return r.revision, r.err
	case <-ctx.Done():
		return Revision{}, apierror.Wrap(ctx.Err(), apierror.Undecided, "change "+key)
	}
}

// work takes all waiting ops of a key as one batch, again and again, until none waits.
func (o *Owner) work(key string, k *owned) {
	for {
		o.mu.Lock()
		batch := k.ops
		k.ops = nil
		if len(batch) == 0 {
			k.busy = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), o.options.Wait)
		time.AfterFunc(o.options.Wait, stop) // not sooner: the slower members are to hear too of what a majority has settled
		o.serve(ctx, key, k, batch)
	}
}

// serve answers a batch. An answer counts only if a majority has stood by this owner's epoch after all of the batch had arrived: by having
// promised it, by having accepted a version under it, or by confirming it.
func (o *Owner) serve(ctx context.Context, key string, k *owned, batch []*pending) {
	membership, err := o.options.Membership()
	if err != nil {
		refuseAll(batch, err)
		return
	}
	taken, err := o.hold(ctx, membership, key, k)
	if err != nil {
		refuseAll(batch, err)
		return
	}
	e := k.evaluate(batch)
	if !e.touched && !taken {
		err := o.confirm(ctx, membership, key, k)
		if apierror.Is(err, apierror.Superseded) { // another owner may have changed the key: what was answered here is void, and nothing was written
			if _, err = o.hold(ctx, membership, key, k); err == nil {
				e = k.evaluate(batch)
			}
		}
		if err != nil {
			refuseAll(batch, apierror.New(apierror.Undecided, "not confirmed for %s: %v", key, err))
			return
		}
	}
	if e.touched {
		if err := o.write(ctx, membership, key, k, e.change, e.working); err != nil {
			refuseAll(batch, err) // those too that change nothing: their answers rest on what was to be written
			return
		}
	}
	for i, p := range batch {
		p.result <- result{revision: k.revision, err: e.refusals[i]}
	}
}

func refuseAll(batch []*pending, err error) {
	for _, p := range batch {
		p.result <- result{err: err}
	}
}

// evaluation is what a batch comes to, on the content that the owner knows.
type evaluation struct {
	working  Fields
	change   Fields
	refusals []error // one for each of the batch; nil for a yes
	touched  bool    // something is to be written
}

// evaluate applies a batch in order to one working copy.
func (k *owned) evaluate(batch []*pending) evaluation {
	e := evaluation{working: k.fields.Clone(), change: Fields{}, refusals: make([]error, len(batch)), touched: k.shaken}
	for i, p := range batch {
		if p.op == nil {
			e.touched = e.touched || p.carry && k.revision.Version > 0
			continue
		}
		if err := p.ctx.Err(); err != nil { // the caller may have gone to another core, and changed the key since
			e.refusals[i] = apierror.Wrap(err, apierror.Undecided, "the caller has gone")
			continue
		}
		delta, err := p.op(e.working, k.revision.Version)
		if err != nil {
			e.refusals[i] = err
			continue
		}
		e.working.Apply(delta)
		for name, value := range delta {
			e.change[name] = value
		}
		e.touched = e.touched || len(delta) > 0
	}
	return e
}

// hold takes the key unless it is ours; isTaken: a majority has just promised it.
func (o *Owner) hold(ctx context.Context, membership Membership, key string, k *owned) (taken bool, err error) {
	if k.epoch != 0 && o.options.Acceptor.Promised(key) > k.epoch {
		k.epoch = 0 // another owner has asked this very disk
	}
	if k.epoch != 0 {
		return false, nil
	}
	err = o.take(ctx, membership, key, k)
	for again := 0; again < 2 && apierror.Is(err, apierror.Superseded); again++ {
		err = o.take(ctx, membership, key, k)
	}
	return err == nil, err
}

// confirm asks a majority whether this owner's epoch still stands; else the key is to be taken anew. No disk is written.
func (o *Owner) confirm(ctx context.Context, membership Membership, key string, k *owned) error {
	epoch := k.epoch
	answers := gather(membership, func(p Peer) (struct{}, error) { return struct{}{}, p.Confirm(ctx, key, epoch) })
	confirmed, refused := 0, 0
	var refusal error
	for confirmed < membership.majority() {
		if refused > len(membership)-membership.majority() {
			k.epoch = 0
			return refusal
		}
		a := <-answers // each member answers, if only by the context's end
		switch {
		case a.err == nil:
			confirmed++
			continue
		case apierror.Is(a.err, apierror.Superseded):
			k.seen = max(k.seen, uint64(apierror.Of(a.err).At))
			refusal = a.err
		case refusal == nil:
			refusal = a.err
		}
		refused++
	}
	return nil
}

// take gets the key under a new epoch and adopts the highest accepted content.
func (o *Owner) take(ctx context.Context, membership Membership, key string, k *owned) error {
	epoch := nextEpoch(max(k.seen, o.options.Acceptor.Promised(key)), o.options.ID())
	k.seen = epoch
	own := o.options.Acceptor.Read(key)
	best, settled := own, own.Settled
	var refusal error
	count := 0
	answers := gather(membership, func(p Peer) (Record, error) { return p.Promise(ctx, key, epoch, own.Revision) })
	for count < membership.majority() {
		a, open := <-answers
		if !open {
			break
		}
		if a.err != nil {
			if apierror.Is(a.err, apierror.Superseded) {
				k.seen = max(k.seen, uint64(apierror.Of(a.err).At))
				refusal = a.err
			}
			continue
		}
		count++
		if best.Revision.Less(a.value.Revision) {
			best = a.value
		}
		if settled.Less(a.value.Settled) {
			settled = a.value.Settled
		}
	}
	if count < membership.majority() {
		if refusal != nil {
			return refusal
		}
		return apierror.New(apierror.NoMajority, "%d of %d promises for %s", count, membership.majority(), key)
	}
	k.epoch, k.revision, k.fields, k.settled = epoch, best.Revision, best.Fields.Clone(), settled
	k.shaken = !IsSettled(best.Revision, settled)
	return nil
}

// write has one version accepted by a majority.
func (o *Owner) write(ctx context.Context, membership Membership, key string, k *owned, change, content Fields) error {
	next := Revision{Epoch: k.epoch, Version: k.revision.Version + 1}
	if len(change) == 0 {
		next.Version = k.revision.Version // the adopted content under the new epoch
	}
	delta := Change{Key: key, Base: k.revision, Next: next, Fields: change, Settled: k.settled}
	ask := func(p Peer) (struct{}, error) {
		err := p.Accept(ctx, delta)
		if apierror.Is(err, apierror.Behind) {
			full := delta
			full.Full, full.Fields = true, content
			err = p.Accept(ctx, full)
		}
		return struct{}{}, err
	}
	count := 0
	answers := gather(membership, ask)
	var refusal error
	for count < membership.majority() {
		a, open := <-answers
		if !open {
			break
		}
		switch {
		case a.err == nil:
			count++
		case apierror.Is(a.err, apierror.Superseded):
			k.seen = max(k.seen, uint64(apierror.Of(a.err).At))
			refusal = a.err
		case refusal == nil:
			refusal = a.err
		}
	}
	if count < membership.majority() {
		k.epoch = 0
		return apierror.New(apierror.Undecided, "%d of %d disks have %s version %d: %v", count, membership.majority(), key, next.Version, refusal)
	}
	k.revision, k.fields, k.settled, k.shaken = next, content, next, false
	o.options.Acceptor.Settle(key, next)
	for _, p := range membership {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), o.options.Wait)
			defer stop()
			p.Settle(ctx, key, next)
		}()
	}
	return nil
}

// MemberBits is how many low bits of an epoch are the number of the member that owns under it. Numbers are never given twice, so that no
// two cores share an epoch.
const MemberBits = 24

// nextEpoch is a member's lowest epoch above another one.
func nextEpoch(above uint64, member uint32) uint64 {
	return (above>>MemberBits+1)<<MemberBits | uint64(member)
}

// Owns lists the keys held now with their epochs.
func (o *Owner) Owns() map[string]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]uint64{}
	for key, k := range o.keys {
		if !k.busy && k.epoch != 0 {
			all[key] = k.epoch
		}
	}
	return all
}

type answer[T any] struct {
	value T
	err   error
}

// gather asks all at once; the channel closes after the last answer.
func gather[P, T any](peers []P, ask func(P) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(peers))
	var all sync.WaitGroup
	for _, p := range peers {
		all.Go(func() {
			value, err := ask(p)
			answers <- answer[T]{value, err}
		})
	}
	go func() { all.Wait(); close(answers) }()
	return answers
}
