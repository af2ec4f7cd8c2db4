package register

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

// Peer is an acceptor elsewhere, or this core's own.
type Peer interface {
	Prepare(ctx context.Context, key string, epoch uint64, has Revision) (Record, error)
	// Confirm has no error if no epoch above was promised; it writes nothing.
	Confirm(ctx context.Context, key string, epoch uint64) error
	Accept(ctx context.Context, change Change) error
	Commit(ctx context.Context, key string, revision Revision)
}

// Peers is all members' acceptors, this core's own among them, as of one version of the list of members (§2.8).
type Peers []Peer

func (c Peers) majority() int { return len(c)/2 + 1 }

// Op reads the working copy and gives the fields to change, or an error that concerns its caller alone.
type Op func(now Fields, version uint64) (Fields, error)

// OwnerOptions of an owner.
type OwnerOptions struct {
	MemberID func() uint32 // this core's number, the low bits of its epochs
	Acceptor *Acceptor
	Peers    func() (Peers, error)
	Timeout  time.Duration // how long to wait for a majority
}

// Owner changes the keys that this core owns (§2.3).
type Owner struct {
	options OwnerOptions
	mu      sync.Mutex
	keys    map[string]*ownedKey
}

type ownedKey struct {
	queue       []*pending
	busy        bool
	epoch       uint64 // 0 while the key is not ours
	highestSeen uint64 // highest epoch met
	revision    Revision
	committed   Revision
	fields      Fields
	inDoubt     bool // an earlier change is undecided
}

type pending struct {
	op      Op // nil to settle
	rewrite bool
	ctx     context.Context // the caller's
	result  chan result
}

type result struct {
	revision Revision
	err      error
}

// NewOwner makes the owner's side of a core.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, keys: map[string]*ownedKey{}}
}

// Change applies an op to a key; nil error means that a majority has it on disk. The op's own error, and its yes to what stands already, are
// given only once a majority has confirmed the owner after the call; else the answer is undecided.
func (o *Owner) Change(ctx context.Context, key string, op Op) (Revision, error) {
	return o.submit(ctx, key, &pending{op: op, ctx: ctx, result: make(chan result, 1)})
}

// Commit makes sure that what the key has is on a majority, and gives its revision: no older one than stood when it was called. With isCarry
// the present membership accepts it anew even if it is known to be settled.
func (o *Owner) Commit(ctx context.Context, key string, rewrite bool) (Revision, error) {
	return o.submit(ctx, key, &pending{rewrite: rewrite, ctx: ctx, result: make(chan result, 1)})
}

func (o *Owner) submit(ctx context.Context, key string, p *pending) (Revision, error) {
	o.mu.Lock()
	k := o.keys[key]
	if k == nil {
		k = &ownedKey{}
		o.keys[key] = k
	}
	k.queue = append(k.queue, p)
	if !k.busy {
		k.busy = true
		go o.run(key, k)
	}
	o.mu.Unlock()
	select {
	case r := <-p.result:
		return r.revision, r.err
	case <-ctx.Done():
		return Revision{}, apierror.Wrap(ctx.Err(), apierror.Undecided, "change "+key)
	}
}

// run takes all waiting ops of a key as one batch, again and again, until none waits.
func (o *Owner) run(key string, k *ownedKey) {
	for {
		o.mu.Lock()
		batch := k.queue
		k.queue = nil
		if len(batch) == 0 {
			k.busy = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), o.options.Timeout)
		time.AfterFunc(o.options.Timeout, stop) // not sooner: the slower members are to hear too of what a majority has settled
		o.process(ctx, key, k, batch)
	}
}

// process answers a batch. An answer counts only if a majority has stood by this owner's epoch after all of the batch had arrived: by having
// promised it, by having accepted a version under it, or by confirming it.
func (o *Owner) process(ctx context.Context, key string, k *ownedKey, batch []*pending) {
	membership, err := o.options.Peers()
	if err != nil {
		rejectAll(batch, err)
		return
	}
	acquired, err := o.ensureOwned(ctx, membership, key, k)
	if err != nil {
		rejectAll(batch, err)
		return
	}
	e := k.evaluate(batch)
	if !e.needsWrite && !acquired {
		err := o.confirm(ctx, membership, key, k)
		if apierror.Is(err, apierror.Superseded) { // another owner may have changed the key: what was answered here is void, and nothing was written
			if _, err = o.ensureOwned(ctx, membership, key, k); err == nil {
				e = k.evaluate(batch)
			}
		}
		if err != nil {
			rejectAll(batch, apierror.New(apierror.Undecided, "not confirmed for %s: %v", key, err))
			return
		}
	}
	if e.needsWrite {
		if err := o.write(ctx, membership, key, k, e.change, e.working); err != nil {
			rejectAll(batch, err) // those too that change nothing: their answers rest on what was to be written
			return
		}
	}
	for i, p := range batch {
		p.result <- result{revision: k.revision, err: e.rejections[i]}
	}
}

func rejectAll(batch []*pending, err error) {
	for _, p := range batch {
		p.result <- result{err: err}
	}
}

// evaluation is what a batch comes to, on the content that the owner knows.
type evaluation struct {
	working    Fields
	change     Fields
	rejections []error // one for each of the batch; nil for a yes
	needsWrite bool    // something is to be written
}

// evaluate applies a batch in order to one working copy.
func (k *ownedKey) evaluate(batch []*pending) evaluation {
	e := evaluation{working: k.fields.Clone(), change: Fields{}, rejections: make([]error, len(batch)), needsWrite: k.inDoubt}
	for i, p := range batch {
		if p.op == nil {
			e.needsWrite = e.needsWrite || p.rewrite && k.revision.Version > 0
			continue
		}
		if err := p.ctx.Err(); err != nil { // the caller may have gone to another core, and changed the key since
			e.rejections[i] = apierror.Wrap(err, apierror.Undecided, "the caller has gone")
			continue
		}
		delta, err := p.op(e.working, k.revision.Version)
		if err != nil {
			e.rejections[i] = err
			continue
		}
		e.working.Apply(delta)
		for name, value := range delta {
			e.change[name] = value
		}
		e.needsWrite = e.needsWrite || len(delta) > 0
	}
	return e
}

// ensureOwned takes the key unless it is ours; isTaken: a majority has just promised it.
func (o *Owner) ensureOwned(ctx context.Context, membership Peers, key string, k *ownedKey) (acquired bool, err error) {
	if k.epoch != 0 && o.options.Acceptor.Promised(key) > k.epoch {
		k.epoch = 0 // another owner has asked this very disk
	}
	if k.epoch != 0 {
		return false, nil
	}
	err = o.acquire(ctx, membership, key, k)
	for retry := 0; retry < 2 && apierror.Is(err, apierror.Superseded); retry++ {
		err = o.acquire(ctx, membership, key, k)
	}
	return err == nil, err
}

// confirm asks a majority whether this owner's epoch still stands; else the key is to be taken anew. No disk is written.
func (o *Owner) confirm(ctx context.Context, membership Peers, key string, k *ownedKey) error {
	epoch := k.epoch
	answers := gather(membership, func(p Peer) (struct{}, error) { return struct{}{}, p.Confirm(ctx, key, epoch) })
	confirmed, rejected := 0, 0
	var rejection error
	for confirmed < membership.majority() {
		if rejected > len(membership)-membership.majority() {
			k.epoch = 0
			return rejection
		}
		a := <-answers // each member answers, if only by the context's end
		switch {
		case a.err == nil:
			confirmed++
			continue
		case apierror.Is(a.err, apierror.Superseded):
			k.highestSeen = max(k.highestSeen, uint64(apierror.Of(a.err).At))
			rejection = a.err
		case rejection == nil:
			rejection = a.err
		}
		rejected++
	}
	return nil
}

// acquire gets the key under a new epoch and adopts the highest accepted content.
func (o *Owner) acquire(ctx context.Context, membership Peers, key string, k *ownedKey) error {
	epoch := nextEpoch(max(k.highestSeen, o.options.Acceptor.Promised(key)), o.options.MemberID())
	k.highestSeen = epoch
	own := o.options.Acceptor.Read(key)
	newest, committed := own, own.Committed
	var rejection error
	count := 0
	answers := gather(membership, func(p Peer) (Record, error) { return p.Prepare(ctx, key, epoch, own.Revision) })
	for count < membership.majority() {
		a, open := <-answers
		if !open {
			break
		}
		if a.err != nil {
			if apierror.Is(a.err, apierror.Superseded) {
				k.highestSeen = max(k.highestSeen, uint64(apierror.Of(a.err).At))
				rejection = a.err
			}
			continue
		}
		count++
		if newest.Revision.Less(a.value.Revision) {
			newest = a.value
		}
		if committed.Less(a.value.Committed) {
			committed = a.value.Committed
		}
	}
	if count < membership.majority() {
		if rejection != nil {
			return rejection
		}
		return apierror.New(apierror.NoMajority, "%d of %d promises for %s", count, membership.majority(), key)
	}
	k.epoch, k.revision, k.fields, k.committed = epoch, newest.Revision, newest.Fields.Clone(), committed
	k.inDoubt = !IsCommitted(newest.Revision, committed)
	return nil
}

// write has one version accepted by a majority.
func (o *Owner) write(ctx context.Context, membership Peers, key string, k *ownedKey, change, content Fields) error {
	next := Revision{Epoch: k.epoch, Version: k.revision.Version + 1}
	if len(change) == 0 {
		next.Version = k.revision.Version // the adopted content under the new epoch
	}
	delta := Change{Key: key, Base: k.revision, Next: next, Fields: change, Committed: k.committed}
	accept := func(p Peer) (struct{}, error) {
		err := p.Accept(ctx, delta)
		if apierror.Is(err, apierror.Behind) {
			full := delta
			full.Full, full.Fields = true, content
			err = p.Accept(ctx, full)
		}
		return struct{}{}, err
	}
	count := 0
	answers := gather(membership, accept)
	var rejection error
	for count < membership.majority() {
		a, open := <-answers
		if !open {
			break
		}
		switch {
		case a.err == nil:
			count++
		case apierror.Is(a.err, apierror.Superseded):
			k.highestSeen = max(k.highestSeen, uint64(apierror.Of(a.err).At))
			rejection = a.err
		case rejection == nil:
			rejection = a.err
		}
	}
	if count < membership.majority() {
		k.epoch = 0
		return apierror.New(apierror.Undecided, "%d of %d disks have %s version %d: %v", count, membership.majority(), key, next.Version, rejection)
	}
	k.revision, k.fields, k.committed, k.inDoubt = next, content, next, false
	o.options.Acceptor.Commit(key, next)
	for _, p := range membership {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), o.options.Timeout)
			defer stop()
			p.Commit(ctx, key, next)
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

// OwnedKeys lists the keys held now with their epochs.
func (o *Owner) OwnedKeys() map[string]uint64 {
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
func gather[P, T any](peers []P, call func(P) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(peers))
	var pending sync.WaitGroup
	for _, p := range peers {
		pending.Go(func() {
			value, err := call(p)
			answers <- answer[T]{value, err}
		})
	}
	go func() { pending.Wait(); close(answers) }()
	return answers
}
